"""How late the event loop has run its timers lately."""

from __future__ import annotations

KEPT_SECONDS = 5.0


class LoopLateness:
    """Keeps the worst delay of a timer over the last seconds.

    A loop that stood still, or had too little processor time, read packets late.
    """

    def __init__(self) -> None:
        self.delay = 0.0
        self.noted_at = 0.0

    def note(self, due: float, now: float) -> None:
        """Take note of when a timer was due and when it ran, in seconds."""
        delay = max(0.0, now - due)
        if delay >= self.worst(now):
            self.delay, self.noted_at = delay, now

    def worst(self, now: float) -> float:
        """Return the longest delay of the last seconds, 0 if none was noted."""
        return self.delay if now - self.noted_at <= KEPT_SECONDS else 0.0
