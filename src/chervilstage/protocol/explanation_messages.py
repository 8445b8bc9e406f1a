"""Encoding of questions about flows and their answers."""

from __future__ import annotations

from typing import NamedTuple

from ..coordination.flow_explanation import FlowExplanation
from ..state.types import Address
from .schemas import pack, reading, schema, unpack


class FlowQuery(NamedTuple):
    """A question where the packets of a caller go."""

    service: str
    caller: Address


def encode_flow_query(query: FlowQuery) -> bytes:
    """Return the encoding of a question."""
    return pack(
        schema("explanation").FlowQuery.new_message(
            service=query.service, host=query.caller.host, port=query.caller.port
        )
    )


@reading()
def decode_flow_query(data: bytes) -> FlowQuery:
    """Decode a question.

    :raises EnvelopeFormatError: the bytes are no question.
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


@reading()
def decode_explanation(data: bytes) -> FlowExplanation:
    """Decode an explanation.

    :raises EnvelopeFormatError: the bytes are no explanation.
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
