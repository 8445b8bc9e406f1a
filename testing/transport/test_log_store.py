"""The files of the log: what was synced survives, and damage is found."""

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
from chervilstage.state.replica import Snapshot, Stored, Vote
from chervilstage.transport.log_store import LogStore

IDENTITY = 77


class CrashError(Exception):
    """The process dies at a sync."""


def entry(position: int, term: int = 1) -> LogEntry:
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


def entries(first: int, last: int, term: int = 1) -> tuple[LogEntry, ...]:
    """Return entries from one position to another."""
    return tuple(entry(position, term) for position in range(first, last + 1))


def snapshot_at(position: int) -> Snapshot:
    """Return a snapshot that covers entries up to a position."""
    return Snapshot(
        position=position, term=1, configuration=Configuration(revision=position)
    )


def opened(folder: Path) -> Stored:
    """Open a folder as a process that starts does, and return what it holds."""
    store = LogStore(folder=folder, identity=IDENTITY + 1)
    store.close()
    return store.stored


def save_all(store: LogStore, note: Callable[[Stored], None]) -> None:
    """Save a vote, entries, a snapshot and a conflict, and note what is synced."""
    held = store.stored
    for term in (1, 2):
        store.save_vote(Vote(term=term, candidate=IDENTITY))
        store.sync()
        held = held._replace(vote=Vote(term=term, candidate=IDENTITY))
        note(held)
    for first in (1, 4, 7):
        store.save_entries(first - 1, entries(first, first + 2))
        store.sync()
        held = held._replace(entries=held.entries + entries(first, first + 2))
        note(held)
    store.save_snapshot(snapshot_at(4), entries(5, 9))
    store.sync()
    held = held._replace(snapshot=snapshot_at(4), entries=entries(5, 9))
    note(held)
    store.save_entries(6, entries(7, 8, term=2))
    store.sync()
    note(held._replace(entries=entries(5, 6) + entries(7, 8, term=2)))


class FakeSyncs:
    """Knows how much of each file was synced, and dies at one of the syncs."""

    def __init__(self, dies_at: int) -> None:
        self.left = dies_at
        self.sizes: dict[int, int] = {}

    def sync(self, descriptor: int) -> None:
        """Take note of a sync, or die."""
        self.left -= 1
        if not self.left:
            raise CrashError
        status = os.fstat(descriptor)
        self.sizes[status.st_ino] = status.st_size

    def lose(self, folder: Path, kept_bytes: int) -> None:
        """Cut off what was not synced of each file, but for a first part of it."""
        for path in folder.iterdir():
            status = path.stat()
            size = self.sizes.get(status.st_ino, 0) + kept_bytes
            os.truncate(path, min(size, status.st_size))


class LogStoreTests(TestCase):
    """Guards against acknowledged data that is lost, and damage that goes unseen."""

    def folder(self) -> Path:
        """Return a new folder."""
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, folder, ignore_errors=True)
        return folder / "data"

    def filled(self) -> tuple[Path, Stored]:
        """Return a folder after a series of saves, and what it must hold."""
        folder, states = self.folder(), []
        store = LogStore(folder=folder, identity=IDENTITY)
        save_all(store, states.append)
        store.close()
        return folder, states[-1]

    def test_all_is_there_after_a_restart(self) -> None:
        folder, held = self.filled()
        self.assertThat(opened(folder), Equals(held))
        self.assertThat(opened(folder), Equals(held))
        self.assertThat(len(list(folder.iterdir())), Equals(3))

    @given(st.integers(1, 45), st.integers(0, 400))
    def test_death_at_any_sync_keeps_all_that_was_synced(
        self, dies_at: int, kept_bytes: int
    ) -> None:
        folder, synced = self.folder(), FakeSyncs(dies_at)
        states: list[Stored] = []
        try:
            store = LogStore(folder=folder, identity=IDENTITY, sync_file=synced.sync)
            states.append(store.stored)
            with closing(store):
                save_all(store, states.append)
        except CrashError:
            pass
        synced.lose(folder, kept_bytes)
        found = opened(folder)
        if states:
            self.assertThat(found in self.possible(len(states)), Is(True))

    def possible(self, count: int) -> list[Stored]:
        """Return what a folder may hold after a death that follows a state."""
        states: list[Stored] = []
        store = LogStore(folder=self.folder(), identity=IDENTITY)
        states.append(store.stored)
        save_all(store, states.append)
        held, later = states[count - 1], states[min(count, len(states) - 1)]
        possible = [held, later]
        if later.entries[: len(held.entries)] == held.entries:
            lengths = range(len(held.entries), len(later.entries))
            possible += [held._replace(entries=later.entries[:n]) for n in lengths]
        return possible

    @given(st.integers(1, 200))
    def test_torn_tail_is_cut(self, written: int) -> None:
        folder, held = self.filled()
        path = next(folder.glob("log-*"))
        with path.open("ab") as file:
            file.write((b"\x00\x00\x01\x00" + bytes(range(250)))[:written])
        self.assertThat(opened(folder), Equals(held))

    @given(st.data())
    def test_damage_of_synced_bytes_is_an_error_and_no_start(
        self, data: st.DataObject
    ) -> None:
        folder, _ = self.filled()
        path = data.draw(st.sampled_from(sorted(folder.iterdir())))
        content = bytearray(path.read_bytes())
        place = data.draw(st.integers(0, len(content) - 1))
        if data.draw(st.booleans()):
            content[place] ^= 1 << data.draw(st.integers(0, 7))
            path.write_bytes(content)
        else:
            path.write_bytes(content[:place])
        self.assertRaises(LogDamagedError, LogStore, folder=folder, identity=1)

    def test_missing_files_are_damage(self) -> None:
        for pattern in ("meta", "log-*", "snapshot-*"):
            folder, _ = self.filled()
            next(folder.glob(pattern)).unlink()
            self.assertRaises(LogDamagedError, LogStore, folder=folder, identity=1)

    def test_folder_has_one_process(self) -> None:
        folder = self.folder()
        store = LogStore(folder=folder, identity=1)
        self.assertRaises(FolderInUseError, LogStore, folder=folder, identity=1)
        store.close()
        self.assertThat(opened(folder).identity, Equals(1))

    def test_sync_reports_its_stall(self) -> None:
        stalls: list[float] = []
        store = LogStore(folder=self.folder(), identity=1, observe=stalls.append)
        store.sync()
        self.assertThat(len(stalls), Equals(2))
