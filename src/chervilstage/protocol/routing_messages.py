"""Encoding of the routing table that a control replica sends to an entry."""

from __future__ import annotations

import zlib

from ..errors.access import EnvelopeFormatError
from ..state.configuration import RoutingDocument
from .schemas import pack, schema, unpack, wrap_decode_errors

COMPRESSION_LEVEL = 6
MAXIMUM_TABLE_BYTES = 64 * 1024 * 1024


def encode_routing_query(version: int) -> bytes:
    """Return the encoding of a query for a routing table of this version or later."""
    return pack(schema("feed").RoutingQuery.new_message(version=version))


def decode_routing_query(data: bytes) -> int:
    """Return the version that a query asks for.

    :raises EnvelopeFormatError: the bytes are not a valid query.
    """
    with wrap_decode_errors():
        version: int = unpack(schema("feed").RoutingQuery, data).version
        return version


def encode_routing_table(document: RoutingDocument) -> bytes:
    """Return the compressed encoding of a routing table."""
    content = zlib.compress(document.content, COMPRESSION_LEVEL)
    return pack(
        schema("feed").RoutingTable.new_message(
            version=document.version, content=content
        )
    )


def decode_routing_table(data: bytes) -> RoutingDocument:
    """Decode a routing table.

    :raises EnvelopeFormatError: the bytes are not a valid table, or it is too large.
    """
    with wrap_decode_errors():
        message = unpack(schema("feed").RoutingTable, data)
        decompressor = zlib.decompressobj()
        content = decompressor.decompress(message.content, MAXIMUM_TABLE_BYTES)
        if not decompressor.eof:
            raise EnvelopeFormatError(reason="incomplete or too large")
        return RoutingDocument(version=message.version, content=content)
