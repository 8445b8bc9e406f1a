"""Sends and receives heartbeats and publishes membership events."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from ..coordination.membership import (
    MemberEvent,
    MemberEventKind,
    expire_members,
    make_heartbeat,
    receive_heartbeat,
)
from ..protocol.kinds import Kind
from ..protocol.membership_messages import decode_heartbeat, encode_heartbeat
from ..state.members import MemberTable
from .application import Hooks
from .event_log import log_event
from .peer_link import PeerLink

HEARTBEAT_INTERVAL_SECONDS = 0.25
LEASE_SECONDS = 1.0

MemberListener = Callable[[MemberEvent], None]


class Membership:
    """Keeps the member table of this entry up to date.

    ``listeners`` are called with each event after the table is updated.
    """

    def __init__(self, *, table: MemberTable, link: PeerLink) -> None:
        self.table = table
        self.link = link
        self.listeners: list[MemberListener] = []
        table.report = table.report._replace(incarnation=time.time_ns() // 1_000)
        link.register(Kind.HEARTBEAT, self.receive)

    def receive(self, sender: str, body: bytes) -> None:
        """Handle a heartbeat of a peer."""
        now = anyio.current_time()
        heartbeat = decode_heartbeat(body)
        self.publish(receive_heartbeat(self.table, sender, heartbeat, now))

    def publish(self, events: list[MemberEvent]) -> None:
        """Log events and pass them to the listeners."""
        for event in events:
            if event.kind is not MemberEventKind.REPORTED:
                log_event(f"member_{event.kind.value}", member=event.name)
            for listener in self.listeners:
                listener(event)

    def send_heartbeats(self) -> None:
        """Send a heartbeat to every peer at once."""
        now = anyio.current_time()
        for peer in self.table.members:
            body = encode_heartbeat(make_heartbeat(self.table, peer, now))
            self.link.send(peer, Kind.HEARTBEAT, body)

    async def run(self) -> None:
        """Send heartbeats and expire members without recent ones, until cancelled."""
        while True:
            self.publish(expire_members(self.table, anyio.current_time()))
            self.send_heartbeats()
            await anyio.sleep(HEARTBEAT_INTERVAL_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Start sending heartbeats."""
        group.start_soon(self.run)

    async def drain(self) -> None:
        """Announce to the peers that this entry is leaving."""
        self.table.report = self.table.report._replace(leaving=True)
        self.send_heartbeats()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="membership", start=self.start, drain=self.drain)
