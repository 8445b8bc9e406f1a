"""A clock and a network for decisions that run without processes."""

from __future__ import annotations

import heapq
import itertools
from random import Random
from typing import NamedTuple


class FakeClock:
    """A clock that only the test moves."""

    def __init__(self) -> None:
        self.now = 1_000.0


class Parcel(NamedTuple):
    """A message on its way; ``order`` breaks ties of time."""

    at: float
    order: int
    sender: str
    receiver: str
    message: object


class FakeNetwork:
    """Delivers messages late, out of order, or not at all.

    ``muted`` are the senders whose messages do not arrive, though they hear others.

    :param loss: the share of messages that are lost.
    :param delay: the longest delay in seconds; each message has its own.
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
        """Put a message on its way."""
        lost = self.rng.random() < self.loss or sender in self.muted
        if lost or frozenset((sender, receiver)) in self.cuts:
            return
        at = self.clock.now + self.rng.random() * self.delay
        heapq.heappush(
            self.parcels, Parcel(at, next(self.orders), sender, receiver, message)
        )

    def due(self) -> list[Parcel]:
        """Return the messages that have arrived by now."""
        arrived = []
        while self.parcels and self.parcels[0].at <= self.clock.now:
            arrived.append(heapq.heappop(self.parcels))
        return arrived

    def cut(self, side: set[str], others: set[str]) -> None:
        """Cut every connection between two sides."""
        self.cuts |= {frozenset((a, b)) for a in side for b in others}
