"""Follows the control replicas and peers and puts newer configurations in force."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.membership import MemberEvent
from ..errors import ChervilstageError
from ..protocol.configuration_records import encode_configuration
from ..protocol.control_messages import ConfigurationQuery, decode_query, encode_query
from ..protocol.documents import decode_configuration
from ..protocol.kinds import Kind
from ..state.configuration import Configuration
from ..state.in_force import ConfigurationInForce
from ..state.members import MemberTable
from ..state.types import Peer
from .application import Hooks
from .event_log import log_event
from .frame_channel import FrameClient, FrameServer

POLL_SECONDS = 2.0
RETRY_SECONDS = 0.5
FETCH_SECONDS = 1.0
START_SECONDS = 2.0
START_JITTER_SECONDS = 0.2
POLLERS = 2


class ConfigurationClient:
    """Polls the replicas in turn and fetches from peers that have more.

    Two polls run at a time and each goes on to the next replica after an answer
    without news, so that one replica that is frozen, or cut off from the others, does
    not delay a change.

    :param own: this entry.
    :param members: what the peers report in their heartbeats.
    :param on_change: called after a newer configuration has been put in force.
    """

    def __init__(
        self,
        *,
        own: Peer,
        replicas: Sequence[Peer],
        frames: FrameClient,
        frame_server: FrameServer,
        members: MemberTable,
        in_force: ConfigurationInForce,
        on_change: Callable[[], None],
    ) -> None:
        self.replicas = replicas
        self.frames = frames
        self.members = members
        self.in_force = in_force
        self.on_change = on_change
        self.peers = [member.peer for member in members.members.values()]
        self.group = (own, *self.peers)
        self.news = anyio.Event()
        self.rng = Random()
        frame_server.serve(Kind.CONFIGURATION_FETCH, self.answer)

    async def answer(self, sender: str, body: bytes) -> bytes:
        """Answer a peer at once, with nothing if it has the newest configuration."""
        current = self.in_force.current
        if current.revision <= decode_query(body).revision:
            return b""
        return encode_configuration(current)

    def notice(self, event: MemberEvent) -> None:
        """Take note that a peer has reported something."""
        self.news.set()

    async def fetch(
        self, peer: Peer, wait_seconds: float, timeout: float
    ) -> Configuration | None:
        """Ask a replica or a peer for a newer configuration.

        :param wait_seconds: how long it may wait until there is one.
        """
        query = ConfigurationQuery(
            revision=self.in_force.current.revision,
            wait_seconds=wait_seconds,
            group=self.group[:1],
        )
        body = await self.frames.call(
            peer.address, Kind.CONFIGURATION_FETCH, encode_query(query), timeout
        )
        return decode_configuration(body) if body else None

    def put_in_force(self, configuration: Configuration | None) -> bool:
        """Put a configuration in force if it is newer, and tell whether it was."""
        if configuration is None or not self.in_force.take(configuration):
            return False
        log_event("configuration_in_force", revision=configuration.revision)
        self.on_change()
        return True

    async def follow(self, position: int) -> None:
        """Poll until cancelled.

        :param position: the replica to begin with.
        """
        while True:
            replica = self.replicas[position % len(self.replicas)]
            try:
                timeout = POLL_SECONDS + FETCH_SECONDS
                newer = await self.fetch(replica, POLL_SECONDS, timeout)
                if not self.put_in_force(newer):
                    position += 1
            except ChervilstageError as error:
                position += 1
                log_event(
                    "configuration_poll_failed",
                    level=logging.WARNING,
                    replica=replica.name,
                    code=error.code,
                    reason=error,
                )
                await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))

    async def follow_peers(self) -> None:
        """Fetch from a peer whenever one reports a higher revision."""
        while True:
            await self.news.wait()
            self.news = anyio.Event()
            while (peer := self.peer_ahead()) is not None:
                if not await self.fetch_from_peer(peer):
                    await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))

    async def fetch_from_peer(self, peer: Peer) -> bool:
        """Take the configuration of a peer and tell whether it was newer."""
        try:
            return self.put_in_force(await self.fetch(peer, 0.0, FETCH_SECONDS))
        except ChervilstageError as error:
            log_event(
                "configuration_fetch_failed",
                level=logging.WARNING,
                peer=peer.name,
                code=error.code,
            )
            return False

    def peer_ahead(self) -> Peer | None:
        """Return a live peer with a higher revision, any of the highest."""
        current = self.in_force.current.revision
        ahead = [
            (member.report.revision, self.rng.random(), member.peer)
            for name, member in self.members.members.items()
            if name in self.members.live_names and member.report.revision > current
        ]
        return max(ahead)[2] if ahead else None

    async def take_highest(self) -> None:
        """Ask all peers and replicas and put the highest answer in force.

        The front ends open with it, so that a restarted entry does not serve by a
        configuration older than that of its peers.
        """
        found: list[Configuration] = []

        async def ask(peer: Peer) -> None:
            """Collect the configuration of one process, if it answers."""
            try:
                configuration = await self.fetch(peer, 0.0, START_SECONDS)
            except ChervilstageError:
                return
            if configuration is not None:
                found.append(configuration)

        async with anyio.create_task_group() as group:
            for peer in (*self.peers, *self.replicas):
                group.start_soon(ask, peer)
        highest = max(found, key=lambda c: c.revision, default=None)
        self.put_in_force(highest)

    async def start(self, group: TaskGroup) -> None:
        """Take the highest known configuration, then begin to follow."""
        await anyio.sleep(START_JITTER_SECONDS * self.rng.random())
        await self.take_highest()
        first = self.rng.randrange(len(self.replicas) or 1)
        for number in range(min(POLLERS, len(self.replicas))):
            group.start_soon(self.follow, first + number)
        group.start_soon(self.follow_peers)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="configuration_client", start=self.start)
