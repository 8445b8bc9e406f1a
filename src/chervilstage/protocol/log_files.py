"""The format of the log files.

Each record is a header and its content. The header has the length and the CRC-32 of the
content, both as 32-bit big-endian numbers.
"""

from __future__ import annotations

import zlib
from struct import Struct
from typing import NamedTuple

from ..errors import ChervilstageError
from ..errors.configuration import LogDamagedError
from ..state.log_entries import LogEntry
from ..state.replica import Snapshot, Vote
from .log_records import decode_entry, decode_snapshot, encode_entry, encode_snapshot
from .schemas import pack, schema, unpack

RECORD_HEADER = Struct(">II")


class LogMetadata(NamedTuple):
    """The replica's identity and vote, the files in use and the synced log size."""

    identity: int
    vote: Vote
    log_number: int
    snapshot_number: int
    synced_bytes: int


class Records(NamedTuple):
    """The entries of a log file, and the offset of the end of each."""

    entries: tuple[LogEntry, ...]
    ends: tuple[int, ...]


def encode_record(content: bytes) -> bytes:
    """Return a record with its header."""
    return RECORD_HEADER.pack(len(content), zlib.crc32(content)) + content


def encode_log_entry(entry: LogEntry) -> bytes:
    """Return the record of a log entry."""
    return encode_record(encode_entry(entry))


def read_records(data: bytes, synced_bytes: int, file: str) -> Records:
    """Read a log file up to its torn tail.

    Bytes that were never reported as synced may be torn, since none of them has been
    acknowledged. Any other record that cannot be read is damage.

    :raises LogDamagedError: a synced record is damaged or missing.
    """
    entries: list[LogEntry] = []
    ends: list[int] = []
    offset = 0
    while offset < len(data):
        try:
            content = _record_content(data, offset, file)
            entry = decode_entry(content)
            _check_positions(entries, entry, offset, file)
        except ChervilstageError as error:
            if offset >= synced_bytes:
                break
            raise _damage_error(file, offset, str(error)) from error
        entries.append(entry)
        offset += RECORD_HEADER.size + len(content)
        ends.append(offset)
    if offset < synced_bytes:
        raise _damage_error(file, offset, "synced records are missing")
    return Records(entries=tuple(entries), ends=tuple(ends))


def encode_metadata(meta: LogMetadata) -> bytes:
    """Return the content of the metadata file."""
    message = schema("consensus").ReplicaMeta.new_message(
        identity=meta.identity,
        term=meta.vote.term,
        candidate=meta.vote.candidate,
        logNumber=meta.log_number,
        snapshotNumber=meta.snapshot_number,
        syncedBytes=meta.synced_bytes,
    )
    return encode_record(pack(message))


def read_metadata(data: bytes, file: str) -> LogMetadata:
    """Read the metadata file.

    :raises LogDamagedError: the file is damaged.
    """
    content = read_single_record(data, file)
    message = unpack(schema("consensus").ReplicaMeta, content)
    return LogMetadata(
        identity=message.identity,
        vote=Vote(term=message.term, candidate=message.candidate),
        log_number=message.logNumber,
        snapshot_number=message.snapshotNumber,
        synced_bytes=message.syncedBytes,
    )


def encode_snapshot_file(snapshot: Snapshot) -> bytes:
    """Return the content of a snapshot file."""
    return encode_record(encode_snapshot(snapshot))


def read_snapshot_file(data: bytes, file: str) -> Snapshot:
    """Read a snapshot file.

    :raises LogDamagedError: the file is damaged.
    """
    return decode_snapshot(read_single_record(data, file))


def read_single_record(data: bytes, file: str) -> bytes:
    """Return the content of a file that holds one record.

    :raises LogDamagedError: the file is damaged.
    """
    content = _record_content(data, 0, file)
    if RECORD_HEADER.size + len(content) != len(data):
        raise _damage_error(file, len(data), "bytes after the record")
    return content


def _record_content(data: bytes, offset: int, file: str) -> bytes:
    start = offset + RECORD_HEADER.size
    if start > len(data):
        raise _damage_error(file, offset, "header cut short")
    length, checksum = RECORD_HEADER.unpack_from(data, offset)
    content = data[start : start + length]
    if not content or len(content) < length:
        raise _damage_error(file, offset, "content cut short")
    if zlib.crc32(content) != checksum:
        raise _damage_error(file, offset, "checksum differs")
    return content


def _check_positions(
    entries: list[LogEntry], entry: LogEntry, offset: int, file: str
) -> None:
    if entries and entry.position != entries[-1].position + 1:
        raise _damage_error(file, offset, f"entry {entry.position} is out of order")


def _damage_error(file: str, offset: int, reason: str) -> LogDamagedError:
    return LogDamagedError(file=file, offset=offset, reason=reason)
