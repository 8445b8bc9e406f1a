"""Fetches newer configurations from the control replicas and from peers."""

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

# How long a polled replica may wait for a newer configuration before it answers.
POLL_SECONDS = 2.0
RETRY_SECONDS = 0.5
FETCH_TIMEOUT_SECONDS = 1.0
START_FETCH_TIMEOUT_SECONDS = 2.0
START_JITTER_SECONDS = 0.2
CONCURRENT_POLLS = 2


class ConfigurationClient:
    """Polls the replicas in turn and fetches from peers with a higher revision.

    Two polls run concurrently, and each continues with the next replica after an
    answer without a newer configuration, so that one replica that hangs or is
    partitioned from the others does not delay a change.

    :param own: name, data centre and address of this entry.
    :param replicas: the control replicas in the settings.
    :param members: the other entries (peers) with their latest heartbeat reports.
    :param on_change: called after a newer configuration has been applied.
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
        self.peer_report_arrived = anyio.Event()
        self.rng = Random()
        frame_server.register(Kind.CONFIGURATION_FETCH, self.answer)

    async def answer(self, sender: str, body: bytes) -> bytes:
        """Answer a peer immediately; the body is empty if the peer is up to date."""
        current = self.in_force.current
        if current.revision <= decode_query(body).revision:
            return b""
        return encode_configuration(current)

    def on_member_event(self, event: MemberEvent) -> None:
        """Wake the peer fetcher after a report of a peer."""
        self.peer_report_arrived.set()

    async def fetch(
        self, peer: Peer, wait_seconds: float, timeout: float
    ) -> Configuration | None:
        """Return a newer configuration of a replica or a peer, None if it has none.

        :param wait_seconds: how long the other side may wait for a newer one.
        :param timeout: the time limit of the call, in seconds.
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

    def apply_configuration(self, configuration: Configuration | None) -> bool:
        """Apply a configuration if it is newer; return whether it was."""
        if configuration is None or not self.in_force.update_if_newer(configuration):
            return False
        log_event("configuration_in_force", revision=configuration.revision)
        self.on_change()
        return True

    async def poll_replicas(self, index: int) -> None:
        """Poll the replicas in turn until cancelled.

        :param index: the index of the first replica to poll.
        """
        while True:
            replica = self.replicas[index % len(self.replicas)]
            try:
                timeout = POLL_SECONDS + FETCH_TIMEOUT_SECONDS
                newer = await self.fetch(replica, POLL_SECONDS, timeout)
                if not self.apply_configuration(newer):
                    index += 1
            except ChervilstageError as error:
                index += 1
                log_event(
                    "configuration_poll_failed",
                    level=logging.WARNING,
                    replica=replica.name,
                    code=error.code,
                    reason=error,
                )
                await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))

    async def fetch_from_newer_peers(self) -> None:
        """Fetch from a peer whenever one reports a higher revision."""
        while True:
            await self.peer_report_arrived.wait()
            self.peer_report_arrived = anyio.Event()
            while (peer := self.find_newer_peer()) is not None:
                if not await self.fetch_from_peer(peer):
                    await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))

    async def fetch_from_peer(self, peer: Peer) -> bool:
        """Apply the configuration of a peer; return whether it was newer."""
        try:
            return self.apply_configuration(
                await self.fetch(peer, 0.0, FETCH_TIMEOUT_SECONDS)
            )
        except ChervilstageError as error:
            log_event(
                "configuration_fetch_failed",
                level=logging.WARNING,
                peer=peer.name,
                code=error.code,
            )
            return False

    def find_newer_peer(self) -> Peer | None:
        """Return a random live peer with the highest revision above the current one."""
        current = self.in_force.current.revision
        newer_peers = [
            (member.report.revision, self.rng.random(), member.peer)
            for name, member in self.members.members.items()
            if name in self.members.live_names and member.report.revision > current
        ]
        return max(newer_peers)[2] if newer_peers else None

    async def fetch_highest(self) -> None:
        """Query all peers and replicas and apply the configuration of highest revision.

        It runs before the front ends open, so that a restarted entry does not serve
        with an older configuration than its peers.
        """
        configurations: list[Configuration] = []

        async def fetch_from(peer: Peer) -> None:
            """Store the configuration of one process, if it answers."""
            try:
                configuration = await self.fetch(peer, 0.0, START_FETCH_TIMEOUT_SECONDS)
            except ChervilstageError:
                return
            if configuration is not None:
                configurations.append(configuration)

        async with anyio.create_task_group() as group:
            for peer in (*self.peers, *self.replicas):
                group.start_soon(fetch_from, peer)
        highest = max(configurations, key=lambda c: c.revision, default=None)
        self.apply_configuration(highest)

    async def start(self, group: TaskGroup) -> None:
        """Apply the configuration of highest revision, then start to poll."""
        await anyio.sleep(START_JITTER_SECONDS * self.rng.random())
        await self.fetch_highest()
        first = self.rng.randrange(len(self.replicas) or 1)
        for number in range(min(CONCURRENT_POLLS, len(self.replicas))):
            group.start_soon(self.poll_replicas, first + number)
        group.start_soon(self.fetch_from_newer_peers)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="configuration_client", start=self.start)
