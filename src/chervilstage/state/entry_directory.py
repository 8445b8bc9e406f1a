"""The entries known to a control replica."""

from __future__ import annotations

from collections.abc import Iterable

from .types import Peer

RETENTION_SECONDS = 24 * 3600.0
MAXIMUM_ENTRIES = 10_000


class EntryDirectory:
    """Entries by name; entries without a report in the last day are ignored."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[Peer, float]] = {}

    def record_entries(self, peers: Iterable[Peer], now: float) -> None:
        """Record the entries that one entry reported, with the time of the report."""
        for peer in peers:
            self.entries.pop(peer.name, None)
            self.entries[peer.name] = (peer, now)
        while len(self.entries) > MAXIMUM_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def current_entries(self, now: float) -> list[Peer]:
        """Return the entries reported within the last day, ordered by name."""
        recent = (
            p
            for p, reported_at in self.entries.values()
            if now - reported_at < RETENTION_SECONDS
        )
        return sorted(recent)
