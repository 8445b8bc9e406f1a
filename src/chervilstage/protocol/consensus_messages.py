"""Encoding of the messages between the replicas of the configuration log."""

from __future__ import annotations

from typing import Any

from ..state.replica_messages import (
    Append,
    AppendReply,
    Body,
    Hello,
    InstallSnapshot,
    LeadershipTransfer,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from ..state.types import Address
from .kinds import Kind
from .log_records import entry_fields, read_entry, read_snapshot, snapshot_fields
from .replica_members import member_fields, read_members
from .schemas import pack, schema, unpack, wrap_decode_errors


def frame_kind(body: Body) -> Kind:
    """Return the kind of the frame that carries a message with this body."""
    if isinstance(body, VoteRequest | VoteReply | LeadershipTransfer):
        return Kind.VOTE
    return Kind.SNAPSHOT if isinstance(body, InstallSnapshot) else Kind.APPEND


def encode_replica_message(message: ReplicaMessage) -> bytes:
    """Return the encoding of a message."""
    name, fields = _body_fields(message.body)
    return pack(
        schema("consensus").ReplicaMessage.new_message(
            sender=message.sender,
            to=message.to,
            host=message.origin.host,
            port=message.origin.port,
            **{name: fields},
        )
    )


def decode_replica_message(data: bytes) -> ReplicaMessage:
    """Decode a message.

    :raises EnvelopeFormatError: the bytes are not a valid message.
    """
    with wrap_decode_errors():
        message = unpack(schema("consensus").ReplicaMessage, data)
        return ReplicaMessage(
            sender=message.sender,
            to=message.to,
            origin=Address(host=message.host, port=message.port),
            body=_read_body(message),
        )


def encode_hello(hello: Hello) -> bytes:
    """Return the encoding of a hello, by which replicas find their set."""
    return pack(
        schema("consensus").Hello.new_message(
            name=hello.name,
            identity=hello.identity,
            dataCentre=hello.data_centre,
            host=hello.address.host,
            port=hello.address.port,
            formed=hello.formed,
            members=member_fields(hello.members),
            leader=hello.leader,
        )
    )


def decode_hello(data: bytes) -> Hello:
    """Decode a hello.

    :raises EnvelopeFormatError: the bytes are not a valid hello.
    """
    with wrap_decode_errors():
        message = unpack(schema("consensus").Hello, data)
        return Hello(
            name=message.name,
            identity=message.identity,
            data_centre=message.dataCentre,
            address=Address(host=message.host, port=message.port),
            formed=message.formed,
            members=read_members(message.members),
            leader=message.leader,
        )


def _body_fields(body: Body) -> tuple[str, dict[str, Any]]:
    if isinstance(body, VoteRequest):
        return "voteRequest", {
            "term": body.term,
            "lastIndex": body.last_index,
            "lastTerm": body.last_term,
            "trial": body.trial,
            "handedOver": body.handed_over,
        }
    if isinstance(body, LeadershipTransfer):
        return "handOver", body._asdict()
    if isinstance(body, VoteReply):
        return "voteReply", body._asdict()
    if isinstance(body, AppendReply):
        return "appendReply", {
            "term": body.term,
            "success": body.success,
            "matched": body.matched,
            "sentAt": body.sent_at,
        }
    if isinstance(body, InstallSnapshot):
        return "installSnapshot", {
            "term": body.term,
            "snapshot": snapshot_fields(body.snapshot),
            "sentAt": body.sent_at,
        }
    return "append", {
        "term": body.term,
        "previousIndex": body.previous_index,
        "previousTerm": body.previous_term,
        "entries": [entry_fields(entry) for entry in body.entries],
        "commit": body.commit,
        "sentAt": body.sent_at,
    }


def _read_body(message: Any) -> Body:
    kind = message.which()
    body = getattr(message, kind)
    if kind == "voteRequest":
        return VoteRequest(
            term=body.term,
            last_index=body.lastIndex,
            last_term=body.lastTerm,
            trial=body.trial,
            handed_over=body.handedOver,
        )
    if kind == "handOver":
        return LeadershipTransfer(term=body.term)
    if kind == "voteReply":
        return VoteReply(
            term=body.term,
            granted=body.granted,
            trial=body.trial,
            leaderless=body.leaderless,
        )
    if kind == "appendReply":
        return AppendReply(
            term=body.term,
            success=body.success,
            matched=body.matched,
            sent_at=body.sentAt,
        )
    if kind == "installSnapshot":
        return InstallSnapshot(
            term=body.term, snapshot=read_snapshot(body.snapshot), sent_at=body.sentAt
        )
    return Append(
        term=body.term,
        previous_index=body.previousIndex,
        previous_term=body.previousTerm,
        entries=tuple(read_entry(entry) for entry in body.entries),
        commit=body.commit,
        sent_at=body.sentAt,
    )
