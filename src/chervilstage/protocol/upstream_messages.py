"""Encoding of upstream records between entries."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ..state.dissemination import DigestItem, SilentRecord
from ..state.registry import has_left, is_leaving
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .schemas import pack, read_valid_items, schema, unpack, wrap_decode_errors


def encode_records(records: Sequence[UpstreamRecord]) -> bytes:
    """Return the encoding of upstream records."""
    message = schema("upstreams").UpstreamRecords.new_message()
    items = message.init("records", len(records))
    for item, record in zip(items, records, strict=True):
        write_record(item, record)
    return pack(message)


@wrap_decode_errors()
def decode_records(data: bytes) -> tuple[list[UpstreamRecord], int]:
    """Decode upstream records, and count those that cannot be read.

    :raises EnvelopeFormatError: the bytes are not upstream records.
    """
    message = unpack(schema("upstreams").UpstreamRecords, data)
    return read_valid_items(read_record, message.records)


def encode_silent_upstreams(records: Sequence[SilentRecord]) -> bytes:
    """Return the encoding of the records of silent upstreams."""
    message = schema("upstreams").SilentUpstreams.new_message()
    items = message.init("records", len(records))
    for item, silent in zip(items, records, strict=True):
        write_record(item.record, silent.record)
        item.seconds = silent.seconds
    return pack(message)


@wrap_decode_errors()
def decode_silent_upstreams(data: bytes) -> tuple[list[SilentRecord], int]:
    """Decode the records of silent upstreams, and count those that cannot be read.

    :raises EnvelopeFormatError: the bytes are not such records.
    """
    message = unpack(schema("upstreams").SilentUpstreams, data)
    return read_valid_items(_read_silent_record, message.records)


def encode_digest(items: Sequence[DigestItem]) -> bytes:
    """Return the encoding of a digest of upstream records."""
    message = schema("upstreams").UpstreamDigest.new_message()
    builders = message.init("items", len(items))
    for builder, item in zip(builders, items, strict=True):
        builder.key = item.key
        builder.sequence = item.sequence
        builder.load = item.load
        builder.leaving = item.leaving
        builder.left = item.left
        builder.silent = item.is_silent
    return pack(message)


@wrap_decode_errors()
def decode_digest(data: bytes) -> list[DigestItem]:
    """Decode a digest.

    :raises EnvelopeFormatError: the bytes are not a valid digest.
    """
    message = unpack(schema("upstreams").UpstreamDigest, data)
    return [
        DigestItem(
            key=item.key,
            sequence=item.sequence,
            load=item.load,
            leaving=item.leaving,
            left=item.left,
            is_silent=item.silent,
        )
        for item in message.items
    ]


def encode_fetch(keys: Sequence[int]) -> bytes:
    """Return the encoding of a request for the upstream records with these keys."""
    message = schema("upstreams").UpstreamFetch.new_message()
    message.keys = list(keys)
    return pack(message)


@wrap_decode_errors()
def decode_fetch(data: bytes) -> list[int]:
    """Return the keys in a request for upstream records.

    :raises EnvelopeFormatError: the bytes are not a valid request.
    """
    return list(unpack(schema("upstreams").UpstreamFetch, data).keys)


def write_record(item: Any, record: UpstreamRecord) -> None:
    """Write an upstream record into a message."""
    item.host, item.port = record.identity.address
    item.requestPort = record.request_address.port
    item.incarnation = record.identity.incarnation
    item.service = record.identity.service
    item.dataCentre = record.data_centre
    item.sequence = record.sequence
    item.leaving = is_leaving(record)
    item.left = has_left(record)
    item.slots = record.slots
    item.load = record.load
    item.label = record.label
    item.coldSeconds = record.cold_seconds


def _read_silent_record(item: Any) -> SilentRecord:
    return SilentRecord(record=read_record(item.record), seconds=item.seconds)


def _read_phase(item: Any) -> UpstreamPhase:
    if item.left:
        return UpstreamPhase.LEFT
    return UpstreamPhase.LEAVING if item.leaving else UpstreamPhase.READY


def read_record(item: Any) -> UpstreamRecord:
    """Return the upstream record that a message contains."""
    return UpstreamRecord(
        identity=UpstreamId(
            address=Address(host=item.host, port=item.port),
            incarnation=item.incarnation,
            service=item.service,
        ),
        request_address=Address(host=item.host, port=item.requestPort),
        data_centre=item.dataCentre,
        sequence=item.sequence,
        phase=_read_phase(item),
        slots=item.slots,
        load=item.load,
        label=item.label,
        cold_seconds=item.coldSeconds,
    )
