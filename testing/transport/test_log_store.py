"""The files of the log: what was synced survives, and damage is found."""

from __future__ import annotations

import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from chervilstage.errors.configuration import LogDamagedError
from chervilstage.protocol.log_files import read_meta
from chervilstage.state.configuration import (
    Change,
    Configuration,
    DataCentre,
    Inventory,
)
from chervilstage.state.replica import ChangeCommand, LogEntry, Snapshot, Stored, Vote
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

    @given(st.integers(1, 40), st.integers(0, 400))
    def test_death_at_any_sync_keeps_all_that_was_synced(
        self, dies_at: int, lost_bytes: int
    ) -> None:
        folder, states = self.folder(), []
        count = 0

        def sync_or_die(descriptor: int) -> None:
            nonlocal count
            count += 1
            if count == dies_at:
                raise CrashError

        try:
            store = LogStore(folder=folder, identity=IDENTITY, sync_file=sync_or_die)
            states.append(store.stored)
            save_all(store, states.append)
        except CrashError:
            pass
        if not states:
            opened(folder)
            return
        self.tear(folder, lost_bytes)
        found, held = opened(folder), states[-1]
        self.assertThat(found.identity, Equals(IDENTITY))
        self.assertThat(found.vote.term >= held.vote.term, Is(True))
        self.assertThat(found.snapshot.position >= held.snapshot.position, Is(True))
        if found.snapshot == held.snapshot:
            kept = found.entries[: len(held.entries)]
            changed = [e for e in kept if e.term == 2]
            self.assertThat(bool(changed) or kept == held.entries, Is(True))

    @staticmethod
    def tear(folder: Path, lost_bytes: int) -> None:
        """Cut off bytes of the newest log that were not synced."""
        held = opened_meta(folder)
        path = folder / f"log-{held[0]}"
        size = path.stat().st_size
        keep = max(held[1], size - lost_bytes)
        with path.open("r+b") as file:
            file.truncate(keep)

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

    def test_sync_reports_its_stall(self) -> None:
        stalls: list[float] = []
        LogStore(folder=self.folder(), identity=1, observe=stalls.append).sync()
        self.assertThat(len(stalls), Equals(2))


def opened_meta(folder: Path) -> tuple[int, int]:
    """Return the number of the log in use and its synced bytes."""
    meta = read_meta((folder / "meta").read_bytes(), "meta")
    return meta.log_number, meta.synced_bytes
