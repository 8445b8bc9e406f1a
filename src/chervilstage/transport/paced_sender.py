"""Gives packets to the link of a VM at the rate that it carries."""

from __future__ import annotations

import socket

import anyio

from ..coordination.link_schedule import (
    is_too_late,
    next_packet,
    note_given,
    seconds_to_next,
    takes_at_once,
)
from ..state.counters import Counters
from ..state.link_queue import QueuedPacket
from ..state.token_flows import TokenRelayState
from .clock import replica_clock
from .datagrams import send_datagram


class PacedSender:
    """Sends callers' packets to upstreams, at once or when the link has room."""

    def __init__(
        self, *, sock: socket.socket, state: TokenRelayState, counters: Counters
    ) -> None:
        self.sock = sock
        self.state = state
        self.counters = counters
        self.has_work = anyio.Event()
        self.emptied = anyio.Event()

    def send(self, queued: QueuedPacket) -> None:
        """Send a packet, or keep it until the link has room."""
        link = self.state.link
        if takes_at_once(link, queued.queued_at):
            self.give(queued, queued.queued_at)
        elif link.queue.add(queued):
            self.has_work.set()
        else:
            self.counters.add("packets_dropped", "link_queue_full")

    def give(self, queued: QueuedPacket, now: float) -> None:
        """Give a packet to the link."""
        if send_datagram(self.sock, queued.datagram, queued.address):
            note_given(self.state, queued, now)
        else:
            self.counters.add("packets_unsent", "upstream")

    def give_due(self) -> None:
        """Give the link the packets that it has room for."""
        now = replica_clock()
        while queued := next_packet(self.state.link, now):
            if is_too_late(queued, now):
                self.counters.add("packets_dropped", "attempt_over")
            else:
                self.give(queued, now)

    async def run(self) -> None:
        """Give packets to the link as it gets room, until cancelled."""
        link = self.state.link
        while True:
            await self.has_work.wait()
            self.has_work = anyio.Event()
            while link.queue.flows:
                self.give_due()
                await anyio.sleep(seconds_to_next(link, replica_clock()))
            self.emptied.set()
            self.emptied = anyio.Event()

    async def finish(self) -> None:
        """Wait until the link has taken all packets."""
        if self.state.link.queue.flows:
            await self.emptied.wait()
