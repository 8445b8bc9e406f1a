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


class QueuedMessage(NamedTuple):
    """A message in transit; ``order`` breaks ties of time."""

    delivery_time: float
    order: int
    sender: str
    receiver: str
    message: object


class FakeNetwork:
    """Delivers messages late, out of order, or not at all.

    All messages of ``muted_senders`` are lost; these still receive messages.

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
        self.cut_links: set[frozenset[str]] = set()
        self.muted_senders: set[str] = set()
        self.queued_messages: list[QueuedMessage] = []
        self.sequence_numbers = itertools.count()

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Queue a message for delivery, unless it is lost."""
        lost = self.rng.random() < self.loss or sender in self.muted_senders
        if lost or frozenset((sender, receiver)) in self.cut_links:
            return
        arrival_time = self.clock.now + self.rng.random() * self.delay
        heapq.heappush(
            self.queued_messages,
            QueuedMessage(
                arrival_time, next(self.sequence_numbers), sender, receiver, message
            ),
        )

    def pop_due(self) -> list[QueuedMessage]:
        """Remove and return the messages that have arrived by now."""
        arrived = []
        while (
            self.queued_messages
            and self.queued_messages[0].delivery_time <= self.clock.now
        ):
            arrived.append(heapq.heappop(self.queued_messages))
        return arrived

    def cut(self, side: set[str], others: set[str]) -> None:
        """Cut all links between two sets of names."""
        self.cut_links |= {frozenset((a, b)) for a in side for b in others}
