"""Sends messages to other replicas; what cannot be sent is lost."""

from __future__ import annotations

from collections import deque

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..protocol.consensus_messages import encode_replica_message, kind_of
from ..protocol.kinds import Kind
from ..state.replica_messages import ReplicaMessage
from ..state.types import Address
from .frame_channel import FrameClient

WAITING_MESSAGES = 16
SEND_SECONDS = 0.5
SNAPSHOT_SECONDS = 10.0


class Link:
    """The messages that wait for one address; the oldest ones give way."""

    def __init__(self) -> None:
        self.waiting: deque[ReplicaMessage] = deque(maxlen=WAITING_MESSAGES)
        self.news = anyio.Event()

    def put(self, message: ReplicaMessage) -> None:
        """Add a message."""
        self.waiting.append(message)
        self.news.set()

    async def take(self) -> ReplicaMessage:
        """Wait for the next message."""
        while not self.waiting:
            self.news = anyio.Event()
            await self.news.wait()
        return self.waiting.popleft()


class ReplicaLinks:
    """One queue and one sender for each address."""

    def __init__(self, *, frames: FrameClient) -> None:
        self.frames = frames
        self.links: dict[Address, Link] = {}
        self.group: TaskGroup | None = None

    def send(self, address: Address, message: ReplicaMessage) -> None:
        """Queue a message."""
        link = self.links.get(address)
        if link is None:
            link = self.links[address] = Link()
            if self.group is not None:
                self.group.start_soon(self.run, address, link)
        link.put(message)

    async def run(self, address: Address, link: Link) -> None:
        """Send the messages of one link until cancelled."""
        while True:
            message = await link.take()
            kind = kind_of(message.body)
            limit = SNAPSHOT_SECONDS if kind is Kind.SNAPSHOT else SEND_SECONDS
            try:
                body = encode_replica_message(message)
                await self.frames.call(address, kind, body, limit)
            except ChervilstageError as error:
                self.frames.counters.add("replica_messages_lost", error.code)

    async def start(self, group: TaskGroup) -> None:
        """Begin to send."""
        self.group = group
        for address, link in self.links.items():
            group.start_soon(self.run, address, link)
