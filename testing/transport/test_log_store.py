"""Log files: synced data survives a crash, and damage is detected."""

from __future__ import annotations

import os
import shutil
import tempfile
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from chervilstage.errors.configuration import FolderInUseError, LogDamagedError
from chervilstage.state.configuration import (
    Change,
    Configuration,
    DataCentre,
    Inventory,
)
from chervilstage.state.log_entries import ChangeCommand, LogEntry
from chervilstage.state.replica import Snapshot, StoredReplica, Vote
from chervilstage.transport.log_store import LogStore

IDENTITY = 77


class CrashError(Exception):
    """The process crashes at a sync."""


def make_entry(position: int, term: int = 1) -> LogEntry:
    """Return an entry that carries a change."""
    inventory = Inventory(data_centres=(DataCentre(name=f"dc-{position}"),))
    change = Change(
        operation_id=f"change-{position}-{term}",
        operator="maria",
        base_revision=position - 1,
        inventory=inventory,
    )
    return LogEntry(
        position=position, term=term, command=ChangeCommand(change=change, at=1.5)
    )


def make_entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    """Return entries from the first to the last position."""
    return tuple(make_entry(position, term) for position in range(first, last + 1))


def snapshot_at(position: int) -> Snapshot:
    """Return a snapshot of all entries up to a position."""
    return Snapshot(
        position=position, term=1, configuration=Configuration(revision=position)
    )


def load(folder: Path) -> StoredReplica:
    """Open a folder as a starting process does, and return its stored state."""
    store = LogStore(folder=folder, identity=IDENTITY + 1)
    store.close()
    return store.stored


def save_all(store: LogStore, report: Callable[[StoredReplica], None]) -> None:
    """Save votes, entries, a snapshot and a conflict; report each synced state."""
    expected = store.stored
    for term in (1, 2):
        store.save_vote(Vote(term=term, candidate=IDENTITY))
        store.sync()
        expected = expected._replace(vote=Vote(term=term, candidate=IDENTITY))
        report(expected)
    for first in (1, 4, 7):
        store.save_entries(first - 1, make_entries(first, first + 2))
        store.sync()
        expected = expected._replace(
            entries=expected.entries + make_entries(first, first + 2)
        )
        report(expected)
    store.save_snapshot(snapshot_at(4), make_entries(5, 9))
    store.sync()
    expected = expected._replace(snapshot=snapshot_at(4), entries=make_entries(5, 9))
    report(expected)
    store.save_entries(6, make_entries(7, 8, term=2))
    store.sync()
    report(expected._replace(entries=make_entries(5, 6) + make_entries(7, 8, term=2)))


class FakeSyncs:
    """Records the synced size of each file, and crashes at one of the syncs."""

    def __init__(self, crashes_at: int) -> None:
        self.syncs_left = crashes_at
        self.synced_sizes: dict[int, int] = {}

    def sync(self, descriptor: int) -> None:
        """Record a sync, or crash."""
        self.syncs_left -= 1
        if not self.syncs_left:
            raise CrashError
        status = os.fstat(descriptor)
        self.synced_sizes[status.st_ino] = status.st_size

    def lose_unsynced(self, folder: Path, unsynced_bytes: int) -> None:
        """Truncate each file to its synced size and some unsynced bytes after it."""
        for path in folder.iterdir():
            status = path.stat()
            size = self.synced_sizes.get(status.st_ino, 0) + unsynced_bytes
            os.truncate(path, min(size, status.st_size))


class LogStoreTests(TestCase):
    """Guards against loss of acknowledged data and undetected damage."""

    def new_folder(self) -> Path:
        """Return the path of a new data folder."""
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        return folder / "data"

    def fill_folder(self) -> tuple[Path, StoredReplica]:
        """Return a folder after a series of saves, and the state that it must store."""
        folder, states = self.new_folder(), []
        store = LogStore(folder=folder, identity=IDENTITY)
        save_all(store, states.append)
        store.close()
        return folder, states[-1]

    def test_all_synced_data_is_loaded_after_a_restart(self) -> None:
        folder, expected = self.fill_folder()
        self.assertThat(load(folder), Equals(expected))
        self.assertThat(load(folder), Equals(expected))
        self.assertThat(len(list(folder.iterdir())), Equals(3))

    @given(st.integers(1, 45), st.integers(0, 400))
    def test_crash_at_any_sync_keeps_all_synced_data(
        self, crashes_at: int, unsynced_bytes: int
    ) -> None:
        folder, syncs = self.new_folder(), FakeSyncs(crashes_at)
        states: list[StoredReplica] = []
        try:
            store = LogStore(folder=folder, identity=IDENTITY, sync_file=syncs.sync)
            states.append(store.stored)
            with closing(store):
                save_all(store, states.append)
        except CrashError:
            pass
        syncs.lose_unsynced(folder, unsynced_bytes)
        found = load(folder)
        if states:
            self.assertThat(found in self.possible_states(len(states)), Is(True))

    def possible_states(self, count: int) -> list[StoredReplica]:
        """Return the states that a crash after ``count`` reported states may leave."""
        states: list[StoredReplica] = []
        store = LogStore(folder=self.new_folder(), identity=IDENTITY)
        states.append(store.stored)
        save_all(store, states.append)
        expected, later = states[count - 1], states[min(count, len(states) - 1)]
        possible = [expected, later]
        if later.entries[: len(expected.entries)] == expected.entries:
            lengths = range(len(expected.entries), len(later.entries))
            possible += [expected._replace(entries=later.entries[:n]) for n in lengths]
        return possible

    @given(st.integers(1, 200))
    def test_partial_write_after_the_synced_bytes_is_ignored(
        self, written_bytes: int
    ) -> None:
        folder, expected = self.fill_folder()
        path = next(folder.glob("log-*"))
        with path.open("ab") as file:
            file.write((b"\x00\x00\x01\x00" + bytes(range(250)))[:written_bytes])
        self.assertThat(load(folder), Equals(expected))

    @given(st.data())
    def test_damage_of_synced_bytes_prevents_the_start(
        self, data: st.DataObject
    ) -> None:
        folder, _ = self.fill_folder()
        path = data.draw(st.sampled_from(sorted(folder.iterdir())))
        content = bytearray(path.read_bytes())
        offset = data.draw(st.integers(0, len(content) - 1))
        if data.draw(st.booleans()):
            content[offset] ^= 1 << data.draw(st.integers(0, 7))
            path.write_bytes(content)
        else:
            path.write_bytes(content[:offset])
        self.assertRaises(LogDamagedError, LogStore, folder=folder, identity=1)

    def test_missing_files_are_damage(self) -> None:
        for pattern in ("meta", "log-*", "snapshot-*"):
            folder, _ = self.fill_folder()
            next(folder.glob(pattern)).unlink()
            self.assertRaises(LogDamagedError, LogStore, folder=folder, identity=1)

    def test_folder_is_locked_by_one_process(self) -> None:
        """Guards against two processes that write to the same folder."""
        folder = self.new_folder()
        store = LogStore(folder=folder, identity=1)
        self.assertRaises(FolderInUseError, LogStore, folder=folder, identity=1)
        store.close()
        self.assertThat(load(folder).identity, Equals(1))

    def test_sync_reports_its_stall(self) -> None:
        """Guards against loop stalls by syncs that the observer does not receive."""
        stalls: list[float] = []
        store = LogStore(folder=self.new_folder(), identity=1, observe=stalls.append)
        store.sync()
        self.assertThat(len(stalls), Equals(2))
