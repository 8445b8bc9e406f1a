"""How long datagrams may have waited in a socket before they were read."""

from __future__ import annotations

# Shorter delays say nothing: the loop is watched by a timer that runs as often.
STALL_SECONDS = 0.4


class ArrivalBound:
    """Bounds the wait of unread datagrams by when the event loop last ran.

    Not every platform tells when a datagram arrived. While the loop runs on time, what
    it reads has just come. What waited while the loop stood still came after it last
    ran, and may be as old until the socket has been read to its end.

    :param now: when the socket was opened, in seconds.
    """

    def __init__(self, *, now: float) -> None:
        self.ran_at = now
        self.stalled_from: float | None = now

    def note_timer(self, due: float, now: float) -> None:
        """Take note of when a timer of the loop was due and when it ran."""
        if self.stalled_from is None and now - due >= STALL_SECONDS:
            self.stalled_from = self.ran_at
        self.ran_at = now

    def note_drained(self, now: float) -> None:
        """Take note that no datagram waits any more."""
        self.ran_at = now
        self.stalled_from = None

    def longest_wait(self, now: float) -> float:
        """Return the seconds that a datagram which is read now may have waited."""
        if self.stalled_from is not None:
            return now - self.stalled_from
        gap = now - self.ran_at
        return gap if gap >= STALL_SECONDS else 0.0
