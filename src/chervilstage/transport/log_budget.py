"""A bound on the number of log lines of events that come with the load."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Any

from ..state.counters import Counters
from .event_log import log_event

# A line costs about as much processor time as a packet.
LINES_PER_SECOND = 25.0
BURST_LINES = 50.0


class LogBudget:
    """Tells which lines may be written, and counts those that are left out."""

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.lines = BURST_LINES
        self.spent_at = float("-inf")
        self.left_out: Counter[str] = Counter()

    def may_write(self, event: str, now: float) -> bool:
        """Take a line from the budget, or count the one that is left out."""
        earned = (now - self.spent_at) * LINES_PER_SECOND
        self.lines = min(BURST_LINES, self.lines + earned)
        self.spent_at = now
        if self.lines >= 1.0:
            self.lines -= 1.0
            return True
        self.left_out[event] += 1
        self.counters.add("log_lines_left_out", event)
        return False

    def log(
        self, event: str, now: float, level: int = logging.INFO, **fields: Any
    ) -> None:
        """Log an event if its line may be written, after those left out before."""
        if self.may_write(event, now):
            self.flush()
            log_event(event, level=level, **fields)

    def flush(self) -> None:
        """Log how many lines were left out since the last call."""
        if self.left_out:
            log_event("log_lines_left_out", **dict(self.left_out))
            self.left_out.clear()
