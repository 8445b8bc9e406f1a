"""A low-bandwidth link of an entry, and the replicas behind it."""

from __future__ import annotations

from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio

from chervilstage.errors.access import PeerUnreachableError
from chervilstage.protocol.kinds import Kind
from chervilstage.state.configuration import Configuration, RoutingDocument
from chervilstage.state.replica import Replica, Snapshot, StoredReplica, Vote
from chervilstage.state.replica_set import ReplicaMember, ReplicaSet
from chervilstage.state.types import Address
from chervilstage.state.upstream_feed import UpstreamFeed
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.frame_channel import FrameHandler
from chervilstage.transport.upstream_store import UpstreamStore

BYTES_PER_SECOND = 450_000
SEGMENT_BYTES = 8_192
LEADER = 1
FOREVER_SECONDS = 1e6


class SlowLink:
    """A low-bandwidth link that the concurrent answers of all replicas share."""

    def __init__(self) -> None:
        self.handlers: dict[Address, dict[Kind, FrameHandler]] = {}
        self.transmit_lock = anyio.Lock()
        self.transmitted_bytes = 0

    async def call(
        self, address: Address, kind: Kind, body: bytes, timeout: float
    ) -> bytes:
        """Return the answer of a replica once the link has transmitted it.

        :raises PeerUnreachableError: the answer did not arrive in time.
        """
        try:
            with anyio.fail_after(timeout):
                answer = await self.handlers[address][kind]("entry-1", body)
                await self.transmit(len(answer))
        except TimeoutError as error:
            raise PeerUnreachableError(address=address, reason="slow") from error
        return answer

    async def transmit(self, size: int) -> None:
        """Wait until the link has transmitted an answer, interleaved with others."""
        while size > 0:
            segment = min(size, SEGMENT_BYTES)
            async with self.transmit_lock:
                await anyio.sleep(segment / BYTES_PER_SECOND)
            self.transmitted_bytes += segment
            size -= segment


class FakeFrameServer:
    """Registers the frame handlers of one replica with the link."""

    def __init__(self, *, link: SlowLink, address: Address) -> None:
        self.handlers = link.handlers.setdefault(address, {})

    def register(self, kind: Kind, handler: FrameHandler) -> None:
        """Set the handler of a kind of frame."""
        self.handlers[kind] = handler


def make_members(count: int) -> ReplicaSet:
    """Return a set of voters."""
    return ReplicaSet(
        members=tuple(
            ReplicaMember(
                name=f"core-{number}",
                identity=number,
                data_centre="",
                address=Address(host=f"10.0.1.{number}", port=1),
            )
            for number in range(1, count + 1)
        )
    )


def make_feed_server(
    link: SlowLink, members: ReplicaSet, member: ReplicaMember, folder: Path
) -> FeedServer:
    """Return the feed server of a replica that follows a leader with a majority."""
    snapshot = Snapshot(position=1, term=1, members=members)
    # The last contact with the leader is set in the future, so that it never times out.
    replica = Replica(
        stored=StoredReplica(
            identity=member.identity,
            vote=Vote(term=1),
            snapshot=snapshot,
            entries=(),
        ),
        now=replica_clock() + FOREVER_SECONDS,
        election_at=0.0,
        max_outcomes=1,
    )
    replica.leader = LEADER
    return FeedServer(
        feed=UpstreamFeed(run=member.identity),
        driver=cast(Any, SimpleNamespace(replica=replica)),
        frames=cast(Any, FakeFrameServer(link=link, address=member.address)),
        services_of=lambda document: frozenset(),
        store=UpstreamStore(folder=folder),
    )


def publish(server: FeedServer, revision: int, content: bytes) -> None:
    """Apply an accepted routing table at a replica and notify its feed."""
    server.driver.replica.applied.configuration = Configuration(
        revision=revision,
        routing=RoutingDocument(version=revision, content=content),
    )
    server.wake_queries()
