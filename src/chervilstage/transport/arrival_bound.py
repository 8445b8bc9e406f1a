"""An upper bound on how long data may have waited in a socket before it was read."""

from __future__ import annotations

from math import inf

# Shorter delays are not significant: the timers that check the loop run only every
# 0.2 s.
STALL_SECONDS = 0.4


class ArrivalBound:
    """Bounds how long unread data has waited, by the time the event loop last ran.

    Not every platform reports when a datagram arrived. While the loop runs on time, the
    data that it reads has just arrived. After a stall, the data that it reads may have
    arrived at any time since the loop last ran, until the socket is known to be empty,
    or as many bytes have been read as the socket can hold.

    ``unread_since`` is the earliest time at which the data that is read next may have
    arrived, None if it has just arrived.

    :param now: when the socket was opened, in seconds.
    :param buffer_bytes: how many bytes the socket can hold, if that is known.
    """

    def __init__(self, *, now: float, buffer_bytes: float = inf) -> None:
        self.buffer_bytes = buffer_bytes
        self.last_ran_at = now
        self.unread_since: float | None = now
        self.unread_bytes = buffer_bytes

    def record_timer(self, due: float, now: float) -> None:
        """Record when a timer of the loop was due and when it ran."""
        if now - due >= STALL_SECONDS:
            self._record_stall()
        self.last_ran_at = now

    def record_drained(self, now: float) -> None:
        """Record that no data is waiting in the socket."""
        self.last_ran_at = now
        self.unread_since = None

    def record_read(self, size: int, now: float) -> float:
        """Record a read and return the seconds that its data may have waited."""
        if now - self.last_ran_at >= STALL_SECONDS:
            self._record_stall()
        if self.unread_since is None:
            return 0.0
        waited = now - self.unread_since
        self.unread_bytes -= size
        if self.unread_bytes <= 0:
            self.record_drained(now)
        return waited

    def _record_stall(self) -> None:
        if self.unread_since is None:
            self.unread_since = self.last_ran_at
            self.unread_bytes = self.buffer_bytes
