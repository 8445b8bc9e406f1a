"""A fake clock and network for tests of decisions without processes."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import NamedTuple


class FakeClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.now = 1_000.0


class Parcel(NamedTuple):
    """A message in transit; ``order`` breaks ties of time."""

    at: float
    order: int
    sender: str
    receiver: str
    message: object


class FakeNetwork:
    """Delivers messages late, out of order, or not at all.

    Messages of muted senders are lost, though these still receive messages.

    :param loss: the share of messages that are lost.
    :param delay: the maximum delay in seconds; each message has a random one.
    """

    def __init__(
        self, *, clock: FakeClock, rng: Random, loss: float, delay: float
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.loss = loss
        self.delay = delay
        self.cuts: set[frozenset[str]] = set()
        self.muted: set[str] = set()
        self.parcels: list[Parcel] = []
        self.orders = itertools.count()

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Queue a message for delivery, unless it is lost."""
        lost = self.rng.random() < self.loss or sender in self.muted
        if lost or frozenset((sender, receiver)) in self.cuts:
            return
        at = self.clock.now + self.rng.random() * self.delay
        heapq.heappush(
            self.parcels, Parcel(at, next(self.orders), sender, receiver, message)
        )

    def due(self) -> list[Parcel]:
        """Remove and return the messages that have arrived by now."""
        arrived = []
        while self.parcels and self.parcels[0].at <= self.clock.now:
            arrived.append(heapq.heappop(self.parcels))
        return arrived

    def cut(self, side: set[str], others: set[str]) -> None:
        """Cut all links between two sets of names."""
        self.cuts |= {frozenset((a, b)) for a in side for b in others}
