"""Sends datagrams at no more than the link rate of a VM."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..coordination.link_schedule import (
    can_send_immediately,
    is_opening_expired,
    pop_sendable_packet,
    seconds_to_next_send,
)
from ..state.counters import Counters
from ..state.link import Link
from ..state.link_queue import LinkQueue, QueuedPacket
from .clock import replica_clock


class PacedSender:
    """Queues datagrams beyond the rate of the link and sends them when it has room.

    :param send_queued: sends one datagram and accounts for it on the link.
    """

    def __init__(
        self,
        *,
        link: Link,
        queue: LinkQueue,
        send_queued: Callable[[QueuedPacket, float], None],
        counters: Counters,
    ) -> None:
        self.link = link
        self.queue = queue
        self.send_queued = send_queued
        self.counters = counters
        self.work_available = anyio.Event()
        self.queue_emptied = anyio.Event()

    def has_room(self, now: float) -> bool:
        """Return whether a datagram may be sent without waiting."""
        return can_send_immediately(self.link, self.queue, now)

    def enqueue(self, queued: QueuedPacket) -> None:
        """Queue a datagram until the link has room."""
        if self.queue.add(queued):
            self.work_available.set()
        else:
            self.counters.add("packets_dropped", "link_queue_full")

    def send_due(self) -> None:
        """Send the queued datagrams that the link has room for."""
        now = replica_clock()
        while queued := pop_sendable_packet(self.link, self.queue, now):
            if is_opening_expired(queued, now):
                self.counters.add("packets_dropped", "attempt_over")
            else:
                self.send_queued(queued, now)

    async def run(self) -> None:
        """Send queued datagrams as the link gets room, until cancelled."""
        while True:
            await self.work_available.wait()
            self.work_available = anyio.Event()
            while self.queue.flows:
                self.send_due()
                await anyio.sleep(seconds_to_next_send(self.link, replica_clock()))
            self.queue_emptied.set()
            self.queue_emptied = anyio.Event()

    async def wait_until_sent(self) -> None:
        """Wait until all queued datagrams are sent."""
        if self.queue.flows:
            await self.queue_emptied.wait()
