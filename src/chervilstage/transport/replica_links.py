"""Sends messages to other replicas; messages that cannot be sent are dropped."""

from __future__ import annotations

from collections import deque

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..protocol.consensus_messages import encode_replica_message, frame_kind
from ..protocol.kinds import Kind
from ..state.replica_messages import ReplicaMessage
from ..state.types import Address
from .frame_channel import FrameClient

MAX_QUEUED_MESSAGES = 16
SEND_TIMEOUT_SECONDS = 0.5
SNAPSHOT_TIMEOUT_SECONDS = 10.0


class MessageQueue:
    """Queue of messages for one address; a full queue drops its oldest message."""

    def __init__(self) -> None:
        self.messages: deque[ReplicaMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self.message_added = anyio.Event()

    def put(self, message: ReplicaMessage) -> None:
        """Append a message to the queue."""
        self.messages.append(message)
        self.message_added.set()

    async def next_message(self) -> ReplicaMessage:
        """Remove and return the next message, waiting for one if necessary."""
        while not self.messages:
            self.message_added = anyio.Event()
            await self.message_added.wait()
        return self.messages.popleft()


class ReplicaLinks:
    """Runs one queue and one sender task for each address."""

    def __init__(self, *, frames: FrameClient) -> None:
        self.frames = frames
        self.queues: dict[Address, MessageQueue] = {}
        self.group: TaskGroup | None = None

    def send(self, address: Address, message: ReplicaMessage) -> None:
        """Add a message to the queue of an address."""
        queue = self.queues.get(address)
        if queue is None:
            queue = self.queues[address] = MessageQueue()
            if self.group is not None:
                self.group.start_soon(self.run, address, queue)
        queue.put(message)

    async def run(self, address: Address, queue: MessageQueue) -> None:
        """Send the messages of one queue until cancelled."""
        while True:
            message = await queue.next_message()
            kind = frame_kind(message.body)
            timeout = (
                SNAPSHOT_TIMEOUT_SECONDS
                if kind is Kind.SNAPSHOT
                else SEND_TIMEOUT_SECONDS
            )
            try:
                body = encode_replica_message(message)
                await self.frames.call(address, kind, body, timeout)
            except ChervilstageError as error:
                self.frames.counters.add("replica_messages_lost", error.code)

    async def start(self, group: TaskGroup) -> None:
        """Start the sender tasks."""
        self.group = group
        for address, queue in self.queues.items():
            group.start_soon(self.run, address, queue)
