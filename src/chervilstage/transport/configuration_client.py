"""Follows the control replicas and puts newer configurations in force."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..protocol.documents import decode_configuration
from ..protocol.kinds import Kind
from ..state.in_force import ConfigurationInForce
from ..state.types import Peer
from .application import Hooks
from .event_log import log_event
from .frame_channel import FrameClient

POLL_SECONDS = 5.0
RETRY_SECONDS = 0.5
REVISION_BYTES = 8


class ConfigurationClient:
    """Polls the replicas in turn.

    :param on_change: called after a newer configuration has been put in force.
    """

    def __init__(
        self,
        *,
        replicas: Sequence[Peer],
        frames: FrameClient,
        in_force: ConfigurationInForce,
        on_change: Callable[[], None],
    ) -> None:
        self.replicas = replicas
        self.frames = frames
        self.in_force = in_force
        self.on_change = on_change

    async def follow(self) -> None:
        """Poll until cancelled."""
        position = 0
        while True:
            replica = self.replicas[position % len(self.replicas)]
            try:
                await self.poll(replica)
            except ChervilstageError as error:
                position += 1
                log_event(
                    "configuration_poll_failed",
                    level=logging.WARNING,
                    replica=replica.name,
                    code=error.code,
                    reason=error,
                )
                await anyio.sleep(RETRY_SECONDS)

    async def poll(self, replica: Peer) -> None:
        """Ask one replica for a newer configuration; it answers when there is one."""
        known = self.in_force.current.revision.to_bytes(REVISION_BYTES, "big")
        body = await self.frames.call(
            replica.address, Kind.CONFIGURATION_FETCH, known, POLL_SECONDS * 2
        )
        if body and self.in_force.take(decode_configuration(body)):
            log_event("configuration_in_force", revision=self.in_force.current.revision)
            self.on_change()

    async def start(self, group: TaskGroup) -> None:
        """Begin to follow."""
        if self.replicas:
            group.start_soon(self.follow)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="configuration_client", start=self.start)
