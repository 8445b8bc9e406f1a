"""A simulated clock and the acts that are due on it."""

from __future__ import annotations

import heapq
from collections.abc import Callable

STARTED_AT = 100.0

Action = Callable[[], None]


class Timeline:
    """The acts to come, in order of their time in seconds."""

    def __init__(self) -> None:
        self.now = STARTED_AT
        self.count = 0
        self.queue: list[tuple[float, int, Action]] = []

    def after(self, seconds: float, act: Action) -> None:
        """Call an act after a time; acts of one time keep their order."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + seconds, self.count, act))

    def play(self, seconds: float) -> None:
        """Carry out the acts of the first seconds."""
        while self.queue and self.queue[0][0] < STARTED_AT + seconds:
            self.now, _, act = heapq.heappop(self.queue)
            act()
