"""Encoding of queries about flows and their answers."""

from __future__ import annotations

from typing import NamedTuple

from ..coordination.flow_explanation import FlowExplanation
from ..state.types import Address
from .schemas import pack, schema, unpack, wrap_decode_errors


class FlowQuery(NamedTuple):
    """A query for the upstream that receives a caller's packets, and the reason."""

    service: str
    caller: Address


def encode_flow_query(query: FlowQuery) -> bytes:
    """Return the encoding of a query."""
    return pack(
        schema("explanation").FlowQuery.new_message(
            service=query.service, host=query.caller.host, port=query.caller.port
        )
    )


@wrap_decode_errors()
def decode_flow_query(data: bytes) -> FlowQuery:
    """Decode a query.

    :raises EnvelopeFormatError: the bytes are not a valid query.
    """
    message = unpack(schema("explanation").FlowQuery, data)
    return FlowQuery(
        service=message.service,
        caller=Address(host=message.host, port=message.port),
    )


def encode_explanation(explanation: FlowExplanation) -> bytes:
    """Return the encoding of an explanation."""
    return pack(
        schema("explanation").FlowExplanation.new_message(
            bucket=explanation.bucket,
            viewNumber=explanation.view_number,
            viewCoordinator=explanation.view_coordinator,
            upstream=explanation.upstream,
            reason=explanation.reason,
            candidates=list(explanation.candidates),
        )
    )


@wrap_decode_errors()
def decode_explanation(data: bytes) -> FlowExplanation:
    """Decode an explanation.

    :raises EnvelopeFormatError: the bytes are not a valid explanation.
    """
    message = unpack(schema("explanation").FlowExplanation, data)
    return FlowExplanation(
        bucket=message.bucket,
        view_number=message.viewNumber,
        view_coordinator=message.viewCoordinator,
        upstream=message.upstream,
        reason=message.reason,
        candidates=tuple(message.candidates),
    )
