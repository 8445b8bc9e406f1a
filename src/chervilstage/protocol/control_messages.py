"""Encoding of the frames for configuration, status and operators' calls."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from ..state.types import Address, Peer
from .schemas import pack, schema, unpack, wrap_decode_errors


class ConfigurationQuery(NamedTuple):
    """A query for a configuration newer than a revision.

    The receiver may delay the answer for up to ``wait_seconds`` until there is one.
    ``group`` contains only the entry that sends the query.
    """

    revision: int
    wait_seconds: float
    group: tuple[Peer, ...] = ()


class ProcessStatus(NamedTuple):
    """The status of an entry or a replica; ``group`` names the entries it knows."""

    revision: int
    gauges: Mapping[str, float]
    group: tuple[Peer, ...] = ()


class OperatorCall(NamedTuple):
    """An operator's call that a replica forwards to the leader."""

    method: str
    target: str
    body: bytes


class OperatorAnswer(NamedTuple):
    """The leader's answer; ``code`` is the code of a typed error, empty without one."""

    status: int
    code: str
    body: bytes


def encode_query(query: ConfigurationQuery) -> bytes:
    """Return the encoding of a query."""
    return pack(
        schema("control").ConfigurationQuery.new_message(
            revision=query.revision,
            waitSeconds=query.wait_seconds,
            group=[peer_fields(peer) for peer in query.group],
        )
    )


def decode_query(data: bytes) -> ConfigurationQuery:
    """Decode a query.

    :raises EnvelopeFormatError: the bytes are not a valid query.
    """
    with wrap_decode_errors():
        message = unpack(schema("control").ConfigurationQuery, data)
        return ConfigurationQuery(
            revision=message.revision,
            wait_seconds=message.waitSeconds,
            group=tuple(read_peer(item) for item in message.group),
        )


def encode_status(status: ProcessStatus) -> bytes:
    """Return the encoding of a status."""
    return pack(
        schema("control").ProcessStatus.new_message(
            revision=status.revision,
            gauges=[{"name": n, "value": v} for n, v in status.gauges.items()],
            group=[peer_fields(peer) for peer in status.group],
        )
    )


def decode_status(data: bytes) -> ProcessStatus:
    """Decode a status.

    :raises EnvelopeFormatError: the bytes are not a valid status.
    """
    with wrap_decode_errors():
        message = unpack(schema("control").ProcessStatus, data)
        return ProcessStatus(
            revision=message.revision,
            gauges={gauge.name: gauge.value for gauge in message.gauges},
            group=tuple(read_peer(item) for item in message.group),
        )


def encode_call(call: OperatorCall) -> bytes:
    """Return the encoding of a call."""
    return pack(schema("consensus").OperatorCall.new_message(**call._asdict()))


def decode_call(data: bytes) -> OperatorCall:
    """Decode a call.

    :raises EnvelopeFormatError: the bytes are not a valid call.
    """
    with wrap_decode_errors():
        message = unpack(schema("consensus").OperatorCall, data)
        return OperatorCall(
            method=message.method, target=message.target, body=bytes(message.body)
        )


def encode_answer(answer: OperatorAnswer) -> bytes:
    """Return the encoding of an answer."""
    return pack(schema("consensus").OperatorAnswer.new_message(**answer._asdict()))


def decode_answer(data: bytes) -> OperatorAnswer:
    """Decode an answer.

    :raises EnvelopeFormatError: the bytes are not a valid answer.
    """
    with wrap_decode_errors():
        message = unpack(schema("consensus").OperatorAnswer, data)
        return OperatorAnswer(
            status=message.status, code=message.code, body=bytes(message.body)
        )


def peer_fields(peer: Peer) -> dict[str, Any]:
    """Return the message fields of a process."""
    return {
        "name": peer.name,
        "dataCentre": peer.data_centre,
        "host": peer.address.host,
        "port": peer.address.port,
    }


def read_peer(message: Any) -> Peer:
    """Return the process that a message describes."""
    return Peer(
        name=message.name,
        data_centre=message.dataCentre,
        address=Address(host=message.host, port=message.port),
    )
