"""The state of a stand-in upstream."""

from __future__ import annotations

from collections import Counter

from .types import Address


class StandinState:
    """What a stand-in upstream has seen and done.

    ``runs`` counts how often the work of each idempotency key was run.

    :param slots: how many requests it runs at once.
    """

    def __init__(self, *, slots: int) -> None:
        self.slots = slots
        self.in_flight = 0
        self.most_in_flight = 0
        self.leaving = False
        self.sequence = 0
        self.runs: Counter[str] = Counter()
        self.flows: dict[Address, int] = {}
        self.foreign_packets = 0

    def begin(self) -> bool:
        """Take a slot and tell whether there was one."""
        if self.in_flight >= self.slots:
            return False
        self.in_flight += 1
        self.most_in_flight = max(self.most_in_flight, self.in_flight)
        return True

    def end(self) -> None:
        """Give a slot back."""
        self.in_flight -= 1
