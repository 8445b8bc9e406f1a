"""Recent delay of the timers of the event loop."""

from __future__ import annotations

WINDOW_SECONDS = 5.0


class LoopLateness:
    """Keeps the longest timer delay of the last ``WINDOW_SECONDS``.

    An event loop that was blocked, or had too little processor time, has read packets
    late.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self.recorded_at = 0.0

    def record_delay(self, due: float, now: float) -> None:
        """Record when a timer was due and when it ran, in seconds."""
        delay = max(0.0, now - due)
        if delay >= self.max_delay(now):
            self.delay, self.recorded_at = delay, now

    def max_delay(self, now: float) -> float:
        """Return the longest recent delay in seconds, 0 if none was recorded."""
        return self.delay if now - self.recorded_at <= WINDOW_SECONDS else 0.0
