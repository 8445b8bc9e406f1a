"""Rate limit for log lines whose number grows with the load."""

from __future__ import annotations

import logging
from collections import Counter
from typing import Any

from ..state.counters import Counters
from .event_log import log_event

# Writing a log line takes about as much processor time as relaying a packet.
LINES_PER_SECOND = 25.0
BURST_LINES = 50.0


class LogBudget:
    """Token bucket that limits log lines and counts the suppressed ones."""

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.available_lines = BURST_LINES
        self.refilled_at = float("-inf")
        self.suppressed: Counter[str] = Counter()

    def try_consume_line(self, event: str, now: float) -> bool:
        """Take a token and return true if there is one; otherwise count the line."""
        refill = (now - self.refilled_at) * LINES_PER_SECOND
        self.available_lines = min(BURST_LINES, self.available_lines + refill)
        self.refilled_at = now
        if self.available_lines >= 1.0:
            self.available_lines -= 1.0
            return True
        self.suppressed[event] += 1
        self.counters.add("log_lines_left_out", event)
        return False

    def log(
        self, event: str, now: float, level: int = logging.INFO, **fields: Any
    ) -> None:
        """Log an event if the limit allows, preceded by the suppressed counts."""
        if self.try_consume_line(event, now):
            self.flush()
            log_event(event, level=level, **fields)

    def flush(self) -> None:
        """Log how many lines were suppressed since the last call."""
        if self.suppressed:
            log_event("log_lines_left_out", **dict(self.suppressed))
            self.suppressed.clear()
