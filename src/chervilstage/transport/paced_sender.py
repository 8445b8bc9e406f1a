"""Gives datagrams to the link of a VM at the rate that it carries."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..coordination.link_schedule import (
    is_too_late,
    next_packet,
    seconds_to_next,
    takes_at_once,
)
from ..state.counters import Counters
from ..state.link import Link
from ..state.link_queue import LinkQueue, QueuedPacket
from .clock import replica_clock


class PacedSender:
    """Keeps datagrams that the link has no room for, and sends them when it has.

    :param give: sends one and takes note that the link has been given it.
    """

    def __init__(
        self,
        *,
        link: Link,
        queue: LinkQueue,
        give: Callable[[QueuedPacket, float], None],
        counters: Counters,
    ) -> None:
        self.link = link
        self.queue = queue
        self.give = give
        self.counters = counters
        self.has_work = anyio.Event()
        self.emptied = anyio.Event()

    def has_room(self, now: float) -> bool:
        """Tell whether a datagram may be sent without waiting."""
        return takes_at_once(self.link, self.queue, now)

    def keep(self, queued: QueuedPacket) -> None:
        """Keep a datagram until the link has room."""
        if self.queue.add(queued):
            self.has_work.set()
        else:
            self.counters.add("packets_dropped", "link_queue_full")

    def give_due(self) -> None:
        """Give the link the datagrams that it has room for."""
        now = replica_clock()
        while queued := next_packet(self.link, self.queue, now):
            if is_too_late(queued, now):
                self.counters.add("packets_dropped", "attempt_over")
            else:
                self.give(queued, now)

    async def run(self) -> None:
        """Give datagrams to the link as it gets room, until cancelled."""
        while True:
            await self.has_work.wait()
            self.has_work = anyio.Event()
            while self.queue.flows:
                self.give_due()
                await anyio.sleep(seconds_to_next(self.link, replica_clock()))
            self.emptied.set()
            self.emptied = anyio.Event()

    async def finish(self) -> None:
        """Wait until the link has taken all datagrams."""
        if self.queue.flows:
            await self.emptied.wait()
