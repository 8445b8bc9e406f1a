"""A simulated clock with scheduled actions."""

from __future__ import annotations

import heapq
from collections.abc import Callable

STARTED_AT = 100.0

Action = Callable[[], None]


class Timeline:
    """A queue of actions, ordered by their time in seconds."""

    def __init__(self) -> None:
        self.now = STARTED_AT
        self.count = 0
        self.queue: list[tuple[float, int, Action]] = []

    def call_later(self, seconds: float, action: Action) -> None:
        """Schedule an action; actions due at one time run in the order of the calls."""
        self.count += 1
        heapq.heappush(self.queue, (self.now + seconds, self.count, action))

    def run(self, seconds: float) -> None:
        """Run the actions due within some seconds of the start of the clock."""
        while self.queue and self.queue[0][0] < STARTED_AT + seconds:
            self.now, _, action = heapq.heappop(self.queue)
            action()
