"""The part of the log that a replica keeps in memory."""

from __future__ import annotations

from collections.abc import Sequence

from .log_entries import LogEntry
from .replica_set import ReplicaSet


class ReplicaLog:
    """The entries after a snapshot.

    :param index: the last entry that the snapshot covers.
    :param term: the term of that entry.
    :param members: the set of replicas as of that entry.
    """

    def __init__(
        self,
        *,
        index: int,
        term: int,
        members: ReplicaSet,
        entries: Sequence[LogEntry] = (),
    ) -> None:
        self.base_index = index
        self.base_term = term
        self.entries: list[LogEntry] = []
        self.member_sets: list[tuple[int, ReplicaSet]] = [(index, members)]
        self.extend(entries)

    @property
    def last_index(self) -> int:
        """Return the index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Return the term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self) -> ReplicaSet:
        """Return the newest set of replicas."""
        return self.member_sets[-1][1]

    @property
    def members_index(self) -> int:
        """Return the index of the entry that defined the newest set of replicas."""
        return self.member_sets[-1][0]

    def members_at(self, index: int) -> ReplicaSet:
        """Return the set of replicas as of an entry."""
        return next(m for i, m in reversed(self.member_sets) if i <= index)

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, None if the log does not contain it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entries_after(self, index: int) -> list[LogEntry]:
        """Return the entries after an index that the log covers."""
        return self.entries[index - self.base_index :]

    def extend(self, entries: Sequence[LogEntry]) -> None:
        """Append entries that follow the last one."""
        for entry in entries:
            self.entries.append(entry)
            members = getattr(entry.command, "members", None)
            if members is not None:
                self.member_sets.append((entry.position, members))

    def truncate(self, index: int) -> None:
        """Remove the entries after an index."""
        del self.entries[index - self.base_index :]
        self.member_sets = [m for m in self.member_sets if m[0] <= index]

    def compact(self, index: int) -> None:
        """Remove the entries up to an index that a snapshot covers."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        members = self.members_at(index)
        later = [m for m in self.member_sets if m[0] > index]
        self.entries = self.entries_after(index)
        self.base_index, self.base_term = index, term
        self.member_sets = [(index, members), *later]
