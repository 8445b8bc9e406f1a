"""The entries that a control replica has heard of."""

from __future__ import annotations

from collections.abc import Iterable

from .types import Peer

KEPT_SECONDS = 24 * 3600.0
MAXIMUM_ENTRIES = 10_000


class EntryDirectory:
    """Entries by name; one that nobody has named for a day is forgotten."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[Peer, float]] = {}

    def note(self, peers: Iterable[Peer], now: float) -> None:
        """Take note of entries that one of them has named."""
        for peer in peers:
            self.entries.pop(peer.name, None)
            self.entries[peer.name] = (peer, now)
        while len(self.entries) > MAXIMUM_ENTRIES:
            del self.entries[next(iter(self.entries))]

    def known(self, now: float) -> list[Peer]:
        """Return the entries in the order of their names."""
        fresh = (p for p, heard in self.entries.values() if now - heard < KEPT_SECONDS)
        return sorted(fresh)
