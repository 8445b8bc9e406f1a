"""Log files in one data folder, synced before anything is acknowledged.

``meta`` names the log file and the snapshot file in use and holds the number of synced
bytes of the log. It is replaced atomically, and only its replacement makes a vote, a
batch of entries or a snapshot durable. Files that it does not name remain from an
interrupted replacement and are removed at start.
"""

from __future__ import annotations

import errno
import fcntl
import logging
import os
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager, suppress
from io import BytesIO
from pathlib import Path
from typing import BinaryIO

from ..errors.configuration import (
    FolderInUseError,
    LogDamagedError,
    LogFullError,
    LogWriteError,
)
from ..protocol.log_files import (
    LogMetadata,
    encode_log_entry,
    encode_metadata,
    encode_snapshot_file,
    read_metadata,
    read_records,
    read_snapshot_file,
)
from ..state.log_entries import LogEntry
from ..state.replica import Snapshot, StoredReplica, Vote
from .event_log import log_event

META = "meta"
NEW_META = "meta.new"
DISK_FULL_ERRORS = frozenset({errno.ENOSPC, errno.EDQUOT})

SyncObserver = Callable[[float], None]


class LogStore:
    """Stores the log, the snapshot, the vote and the identity of a replica.

    ``has_initial_files`` is false while a full disk prevents the creation of the files
    in a blank folder. ``has_new_files`` is true until the creation of new files is
    durable. ``record_ends`` holds the offset in the log file at which each record ends.

    :param folder: the data folder.
    :param identity: the identity of the replica if the folder is blank.
    :param observe: called with the seconds of each loop stall caused by a sync or a
        snapshot.
    :raises LogDamagedError: the files are damaged.
    :raises FolderInUseError: another process uses the folder.
    :raises LogWriteError: the disk has failed.
    """

    def __init__(
        self,
        *,
        folder: Path,
        identity: int,
        observe: SyncObserver = lambda seconds: None,
        sync_file: Callable[[int], None] = os.fsync,
    ) -> None:
        self.meta: LogMetadata
        self.file: BinaryIO = BytesIO()
        self.referenced_files: frozenset[str] = frozenset()
        self.undeleted_files: set[str] = set()
        self.last_file_number = 0
        self.folder = folder
        self.observe = observe
        self.sync_file = sync_file
        self.snapshot = Snapshot()
        self.record_ends: list[int] = []
        self.has_new_files = False
        self.has_initial_files = True
        with convert_disk_errors(folder):
            folder.mkdir(parents=True, exist_ok=True)
            self.lock = self._lock_folder()
            try:
                has_data = self._has_data()
                self.stored = self._load() if has_data else self._create(identity)
            except BaseException:
                os.close(self.lock)
                raise

    def save_vote(self, vote: Vote) -> None:
        """Store a vote; it is durable after ``sync``."""
        self.meta = self.meta._replace(vote=vote)

    def save_entries(self, after: int, entries: Sequence[LogEntry]) -> None:
        """Replace all entries after a position; they are durable after ``sync``."""
        kept_count = after - self.snapshot.position
        if kept_count < len(self.record_ends):
            self._rewrite(self._read_entries(kept_count), self.record_ends[:kept_count])
        for entry in entries:
            self._write(encode_log_entry(entry))

    def save_snapshot(self, snapshot: Snapshot, entries: Sequence[LogEntry]) -> None:
        """Replace the snapshot and the log; both are durable after ``sync``."""
        started = time.perf_counter()
        number = self._next_number()
        path = self._snapshot_path(number)
        with path.open("wb") as file:
            file.write(encode_snapshot_file(snapshot))
            file.flush()
            self.sync_file(file.fileno())
        self.meta = self.meta._replace(snapshot_number=number)
        self.snapshot = snapshot
        self._rewrite(b"", [])
        for entry in entries:
            self._write(encode_log_entry(entry))
        self.observe(time.perf_counter() - started)

    def sync(self) -> None:
        """Make all saved data durable."""
        started = time.perf_counter()
        self.file.flush()
        self.sync_file(self.file.fileno())
        size = self.record_ends[-1] if self.record_ends else 0
        self.meta = self.meta._replace(synced_bytes=size)
        had_new_files = self.has_new_files
        self._replace_meta()
        if had_new_files:
            self._remove_unreferenced()
        self.observe(time.perf_counter() - started)

    def save_full_state(
        self, vote: Vote, snapshot: Snapshot, entries: Sequence[LogEntry]
    ) -> None:
        """Save and sync the full state of a replica after a partly failed save.

        New files are written, so that the files that the meta file names stay unchanged
        until the new ones are complete.

        :raises OSError: the disk still refuses writes.
        """
        # Buffered data of the old file may be lost, as the full state is saved below.
        with suppress(OSError):
            self.file.close()
        if not self.has_initial_files:
            # The meta file must exist before any data: without it, a folder with data
            # counts as damaged at the next start.
            self._create_files()
        self._remove_unreferenced()
        self.save_vote(vote)
        self.save_snapshot(snapshot, entries)
        self.sync()

    def close(self) -> None:
        """Close the log file and unlock the folder."""
        self.file.close()
        os.close(self.lock)

    def _lock_folder(self) -> int:
        """Lock the folder, since two processes with one identity could vote twice."""
        descriptor = os.open(self.folder, os.O_RDONLY)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            os.close(descriptor)
            raise FolderInUseError(folder=self.folder) from error
        return descriptor

    def _has_data(self) -> bool:
        if (self.folder / META).exists():
            return True
        has_records = any(path.stat().st_size for path in self.folder.glob("log-*"))
        if has_records or any(self.folder.glob("snapshot-*")):
            raise LogDamagedError(
                file=self.folder / META, offset=0, reason="file is missing"
            )
        return False

    def _create(self, identity: int) -> StoredReplica:
        self.meta = LogMetadata(
            identity=identity,
            vote=Vote(),
            log_number=1,
            snapshot_number=0,
            synced_bytes=0,
        )
        self.last_file_number = self.meta.log_number
        try:
            self._create_files()
        except OSError as error:
            if error.errno not in DISK_FULL_ERRORS:
                raise
            self.has_initial_files = False
        return StoredReplica(
            identity=identity, vote=Vote(), snapshot=self.snapshot, entries=()
        )

    def _create_files(self) -> None:
        self.file = self._open_log(self.meta.log_number, "wb")
        self.sync()
        sync_folder(self.folder.parent, self.sync_file)
        self.has_initial_files = True

    def _load(self) -> StoredReplica:
        self.meta = read_metadata(self._read(META), str(self.folder / META))
        if self.meta.snapshot_number:
            path = self._snapshot_path(self.meta.snapshot_number)
            self.snapshot = read_snapshot_file(self._read(path.name), str(path))
        path = self._log_path(self.meta.log_number)
        synced = self.meta.synced_bytes
        # Data after the synced bytes has not been acknowledged and is overwritten.
        records = read_records(self._read(path.name)[:synced], synced, str(path))
        self._check_start(records.entries, path)
        self.record_ends = list(records.ends)
        self.file = self._open_log(self.meta.log_number, "r+b")
        self.file.seek(synced)
        self.referenced_files = self._files_named_in(self.meta)
        self.last_file_number = max(self.meta.log_number, self.meta.snapshot_number)
        self._remove_unreferenced()
        return StoredReplica(
            identity=self.meta.identity,
            vote=self.meta.vote,
            snapshot=self.snapshot,
            entries=records.entries,
        )

    def _check_start(self, entries: Sequence[LogEntry], path: Path) -> None:
        if entries and entries[0].position != self.snapshot.position + 1:
            reason = f"entry {entries[0].position} does not follow the snapshot"
            raise LogDamagedError(file=path, offset=0, reason=reason)

    def _read(self, name: str) -> bytes:
        path = self.folder / name
        try:
            return path.read_bytes()
        except FileNotFoundError as error:
            raise LogDamagedError(
                file=path, offset=0, reason="file is missing"
            ) from error

    def _write(self, record: bytes) -> None:
        self.file.write(record)
        self.record_ends.append(
            (self.record_ends[-1] if self.record_ends else 0) + len(record)
        )

    def _read_entries(self, kept_count: int) -> bytes:
        self.file.flush()
        data = self._log_path(self.meta.log_number).read_bytes()
        return data[: self.record_ends[kept_count - 1]] if kept_count else b""

    def _rewrite(self, data: bytes, record_ends: list[int]) -> None:
        self.file.close()
        number = self._next_number()
        self.file = self._open_log(number, "wb")
        self.file.write(data)
        self.record_ends = list(record_ends)
        self.meta = self.meta._replace(log_number=number)

    def _replace_meta(self) -> None:
        new = self.folder / NEW_META
        with new.open("wb") as file:
            file.write(encode_metadata(self.meta))
            file.flush()
            self.sync_file(file.fileno())
        if self.has_new_files:
            sync_folder(self.folder, self.sync_file)
            self.has_new_files = False
        # Until the folder is synced, either meta file may survive a loss of power.
        self.referenced_files |= self._files_named_in(self.meta)
        new.replace(self.folder / META)
        sync_folder(self.folder, self.sync_file)
        self.referenced_files = self._files_named_in(self.meta)

    def _remove_unreferenced(self) -> None:
        """Remove files that no meta file names; failed removals are retried later."""
        for pattern in ("log-*", "snapshot-*"):
            for path in self.folder.glob(pattern):
                if path.name not in self.referenced_files:
                    self._remove(path)

    def _remove(self, path: Path) -> None:
        """Remove a file; log a failure only once for each file."""
        try:
            path.unlink(missing_ok=True)
        except OSError as error:
            if path.name not in self.undeleted_files:
                log_event(
                    "log_file_left", level=logging.WARNING, file=path.name, reason=error
                )
            self.undeleted_files.add(path.name)
        else:
            self.undeleted_files.discard(path.name)

    def _files_named_in(self, meta: LogMetadata) -> frozenset[str]:
        return frozenset(
            {
                self._log_path(meta.log_number).name,
                self._snapshot_path(meta.snapshot_number).name,
            }
        )

    def _next_number(self) -> int:
        """Return a file number that was never used, so that no file is overwritten."""
        self.last_file_number += 1
        return self.last_file_number

    def _open_log(self, number: int, mode: str) -> BinaryIO:
        self.has_new_files |= mode == "wb"
        file: BinaryIO = self._log_path(number).open(mode)  # type: ignore[assignment]
        return file

    def _log_path(self, number: int) -> Path:
        return self.folder / f"log-{number}"

    def _snapshot_path(self, number: int) -> Path:
        return self.folder / f"snapshot-{number}"


def sync_folder(folder: Path, sync_file: Callable[[int], None] = os.fsync) -> None:
    """Make the creation, renaming and removal of files in a folder durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        sync_file(descriptor)
    finally:
        os.close(descriptor)


@contextmanager
def convert_disk_errors(folder: Path) -> Iterator[None]:
    """Convert an ``OSError`` of the disk into a typed error.

    :raises LogFullError: the disk is full.
    :raises LogWriteError: the disk has failed in another way.
    """
    try:
        yield
    except OSError as error:
        error_type = LogFullError if error.errno in DISK_FULL_ERRORS else LogWriteError
        raise error_type(folder=folder, reason=error) from error
