"""Encoding of the messages about capacity leases."""

from __future__ import annotations

from collections.abc import Sequence

from ..state.leases import LeaseGrantItem, LeaseRequestItem
from .schemas import pack, schema, unpack, wrap_decode_errors


def encode_capacity_request(number: int, items: Sequence[LeaseRequestItem]) -> bytes:
    """Return the encoding of a capacity request; ``number`` orders the requests."""
    message = schema("capacity").CapacityAsk.new_message(number=number)
    message.items = [item._asdict() for item in items]
    return pack(message)


@wrap_decode_errors()
def decode_capacity_request(data: bytes) -> tuple[int, list[LeaseRequestItem]]:
    """Decode a capacity request into its request number and its items.

    :raises EnvelopeFormatError: the bytes are not a valid capacity request.
    """
    message = unpack(schema("capacity").CapacityAsk, data)
    items = [
        LeaseRequestItem(*(getattr(i, f) for f in LeaseRequestItem._fields))
        for i in message.items
    ]
    return message.number, items


def encode_grants(items: Sequence[LeaseGrantItem]) -> bytes:
    """Return the encoding of capacity lease grants."""
    message = schema("capacity").CapacityGrant.new_message()
    message.items = [item._asdict() for item in items]
    return pack(message)


@wrap_decode_errors()
def decode_grants(data: bytes) -> list[LeaseGrantItem]:
    """Decode capacity lease grants.

    :raises EnvelopeFormatError: the bytes are not valid capacity lease grants.
    """
    message = unpack(schema("capacity").CapacityGrant, data)
    fields = LeaseGrantItem._fields
    return [LeaseGrantItem(*(getattr(i, f) for f in fields)) for i in message.items]
