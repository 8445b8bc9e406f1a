"""Encoding of log entries and snapshots, as sent and as stored."""

from __future__ import annotations

import json
import zlib
from typing import Any

from ..state.log_entries import ChangeCommand, LogEntry, MembersCommand
from ..state.replica import Snapshot
from ..state.replica_set import ReplicaSet
from .configuration_records import (
    change_from_document,
    configuration_document,
    configuration_from_document,
    encode_change,
    outcome_from_document,
)
from .replica_members import member_fields, read_members
from .schemas import pack, schema, unpack, wrap_decode_errors

COMPRESSION_LEVEL = 1
MAXIMUM_DOCUMENT_BYTES = 64 * 1024 * 1024


def encode_entry(entry: LogEntry) -> bytes:
    """Return the encoding of a log entry."""
    return pack(schema("consensus").LogRecord.new_message(**entry_fields(entry)))


def decode_entry(data: bytes) -> LogEntry:
    """Decode a log entry.

    :raises EnvelopeFormatError: the bytes are not a valid log entry.
    """
    with wrap_decode_errors():
        return read_entry(unpack(schema("consensus").LogRecord, data))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoding of a snapshot."""
    fields = snapshot_fields(snapshot)
    return pack(schema("consensus").SnapshotRecord.new_message(**fields))


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot.

    :raises EnvelopeFormatError: the bytes are not a valid snapshot.
    """
    with wrap_decode_errors():
        return read_snapshot(unpack(schema("consensus").SnapshotRecord, data))


def entry_fields(entry: LogEntry) -> dict[str, Any]:
    """Return the message fields of a log entry."""
    fields: dict[str, Any] = {"position": entry.position, "term": entry.term}
    command = entry.command
    if isinstance(command, ChangeCommand):
        document = encode_change(command.change)
        fields["change"] = {"document": document, "at": command.at}
    elif isinstance(command, MembersCommand):
        fields["members"] = {
            "members": member_fields(command.members.members),
            "operationId": command.operation_id,
            "operator": command.operator,
            "at": command.at,
            "difference": command.difference,
        }
    else:
        fields["none"] = None
    return fields


def read_entry(message: Any) -> LogEntry:
    """Return the log entry that a message contains."""
    position, term = message.position, message.term
    kind = message.which()
    if kind == "change":
        record = message.change
        change = change_from_document(json.loads(bytes(record.document)))
        command = ChangeCommand(change=change, at=record.at)
        return LogEntry(position=position, term=term, command=command)
    if kind == "members":
        record = message.members
        members = MembersCommand(
            members=ReplicaSet(members=read_members(record.members)),
            operation_id=record.operationId,
            operator=record.operator,
            at=record.at,
            difference=record.difference,
        )
        return LogEntry(position=position, term=term, command=members)
    return LogEntry(position=position, term=term, command=None)


def snapshot_fields(snapshot: Snapshot) -> dict[str, Any]:
    """Return the message fields of a snapshot."""
    document = {
        "configuration": configuration_document(snapshot.configuration),
        "outcomes": [outcome._asdict() for outcome in snapshot.outcomes],
    }
    packed = zlib.compress(json.dumps(document).encode(), COMPRESSION_LEVEL)
    return {
        "position": snapshot.position,
        "term": snapshot.term,
        "members": member_fields(snapshot.members.members),
        "document": packed,
    }


def read_snapshot(message: Any) -> Snapshot:
    """Return the snapshot that a message contains."""
    decompressor = zlib.decompressobj()
    document = json.loads(
        decompressor.decompress(message.document, MAXIMUM_DOCUMENT_BYTES)
    )
    return Snapshot(
        position=message.position,
        term=message.term,
        members=ReplicaSet(members=read_members(message.members)),
        configuration=configuration_from_document(document["configuration"]),
        outcomes=tuple(outcome_from_document(item) for item in document["outcomes"]),
    )
