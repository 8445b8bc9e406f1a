"""How long something may have waited in a socket before it was read."""

from __future__ import annotations

from math import inf

# Shorter delays say nothing: the loop is watched by a timer that runs as often.
STALL_SECONDS = 0.4


class ArrivalBound:
    """Bounds the wait of what is unread by when the event loop last ran.

    Not every platform tells when a datagram arrived. While the loop runs on time, what
    it reads has just come. What waits when the loop has stood still came after it last
    ran, until the socket is known to be empty, or as many bytes were read as it holds.

    ``unread_since`` is the earliest time at which what is read next may have come, None
    if it has just come.

    :param now: when the socket was opened, in seconds.
    :param buffer_bytes: how many bytes the socket can hold, if that is known.
    """

    def __init__(self, *, now: float, buffer_bytes: float = inf) -> None:
        self.buffer_bytes = buffer_bytes
        self.ran_at = now
        self.unread_since: float | None = now
        self.unread_bytes = buffer_bytes

    def note_timer(self, due: float, now: float) -> None:
        """Take note of when a timer of the loop was due and when it ran."""
        if now - due >= STALL_SECONDS:
            self._note_stall()
        self.ran_at = now

    def note_drained(self, now: float) -> None:
        """Take note that nothing waits any more."""
        self.ran_at = now
        self.unread_since = None

    def note_read(self, size: int, now: float) -> float:
        """Take note of what is read and return the seconds that it may have waited."""
        if now - self.ran_at >= STALL_SECONDS:
            self._note_stall()
        if self.unread_since is None:
            return 0.0
        waited = now - self.unread_since
        self.unread_bytes -= size
        if self.unread_bytes <= 0:
            self.note_drained(now)
        return waited

    def _note_stall(self) -> None:
        if self.unread_since is None:
            self.unread_since = self.ran_at
            self.unread_bytes = self.buffer_bytes
