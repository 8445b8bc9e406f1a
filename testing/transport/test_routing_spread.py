"""Distribution of a routing table to an entry behind a slow link."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import merge_feed_record
from chervilstage.state.counters import Counters
from chervilstage.state.registry import is_leaving
from chervilstage.state.types import Address, Peer, UpstreamPhase
from chervilstage.transport import token_entry
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.token_entry import TokenEntry
from testing.support.slow_links import SlowLink, make_feed_server, make_members, publish
from testing.support.token_relays import SERVICE, make_record, make_routing

REPLICAS = 5
LARGE_BYTES = 256 * 1024
CHECK_SECONDS = 0.01
READY = make_record(1)
LEAVING = make_record(1, sequence=2, phase=UpstreamPhase.LEAVING)


class RoutingDistribution:
    """An entry behind a slow link and the replicas whose feeds it follows."""

    def __init__(
        self, *, folder: Path, link: SlowLink, replicas: int = REPLICAS
    ) -> None:
        members = make_members(replicas)
        self.link = link
        self.servers = [
            make_feed_server(link, members, member, folder)
            for member in members.members
        ]
        self.entry = TokenEntry(
            own=Peer(name="entry-1", data_centre="", address=Address("10.0.0.1", 1)),
            relay_address=Address(host="127.0.0.1", port=0),
            listed=lambda: [member.address for member in members.members],
            decode_routing=lambda d: make_routing(SERVICE, version=d.version),
            codec=cast(Any, None),
            key=b"",
            counters=Counters(),
            announcement_seconds=1.2,
        )

    def publish(self, revision: int, content: bytes) -> None:
        """Publish a routing table on all replicas."""
        for server in self.servers:
            publish(server, revision, content)

    def knows_leaving(self) -> bool:
        """Return whether the entry knows that the upstream leaves."""
        known_record = self.entry.state.registry.records.get(READY.identity.address)
        return known_record is not None and is_leaving(known_record)


@pytest.fixture
def distribution(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> RoutingDistribution:
    """Return an entry that has not yet followed any replica."""
    link = SlowLink()
    monkeypatch.setattr(token_entry, "FrameClient", lambda **fields: link)
    return RoutingDistribution(folder=tmp_path, link=link)


def announce(server: FeedServer, record: Any) -> None:
    """Add the record of an upstream to the feed of a replica."""
    merge_feed_record(server.feed, record, replica_clock())
    server.wake_queries()


async def seconds_until(condition: Callable[[], bool], limit_seconds: float) -> float:
    """Return the seconds until a condition holds, or about the limit."""
    started = anyio.current_time()
    for _ in range(round(limit_seconds / CHECK_SECONDS)):
        if condition():
            break
        await anyio.sleep(CHECK_SECONDS)
    return anyio.current_time() - started


async def follow(
    distribution: RoutingDistribution, scenario: Callable[[], Any]
) -> None:
    """Wait until the entry has applied a small table, then run a scenario."""
    async with anyio.create_task_group() as group:
        for client in distribution.entry.replica_clients():
            await client.start(group)
        distribution.publish(1, b"small")
        await seconds_until(lambda: distribution.entry.revision == 1, 3.0)
        distribution.link.transmitted_bytes = 0
        await scenario()
        group.cancel_scope.cancel()


def test_a_large_routing_table_is_sent_to_an_entry_once(
    distribution: RoutingDistribution,
) -> None:
    """Guards against a link that carries a copy of the table from each replica."""

    async def scenario() -> None:
        distribution.publish(2, Random(1).randbytes(LARGE_BYTES))
        assert await seconds_until(lambda: distribution.entry.revision == 2, 4.0) < 1.5
        await anyio.sleep(0.5)
        assert distribution.link.transmitted_bytes < 1.5 * LARGE_BYTES

    anyio.run(follow, distribution, scenario)


def test_a_leaving_upstream_is_known_before_a_large_table_arrives(
    distribution: RoutingDistribution,
) -> None:
    """Guards against upstream changes that are delayed by a routing table."""

    async def scenario() -> None:
        announce(distribution.servers[0], READY)
        distribution.publish(2, Random(1).randbytes(4 * LARGE_BYTES))
        await anyio.sleep(0.1)
        announce(distribution.servers[1], LEAVING)
        assert await seconds_until(distribution.knows_leaving, 3.0) < 0.5
        assert distribution.entry.revision == 1

    anyio.run(follow, distribution, scenario)


def test_a_slow_transfer_of_a_table_completes(
    distribution: RoutingDistribution,
) -> None:
    """Guards against a transfer that is cancelled and restarted without end."""

    async def scenario() -> None:
        distribution.publish(2, Random(1).randbytes(4 * LARGE_BYTES))
        assert (
            await seconds_until(lambda: distribution.entry.revision == 2, 12.0) < 10.0
        )

    anyio.run(follow, distribution, scenario)


def test_a_slow_transfer_from_the_only_replica_completes(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a transfer without end while only one replica is reachable."""
    link = SlowLink()
    monkeypatch.setattr(token_entry, "FrameClient", lambda **fields: link)
    distribution = RoutingDistribution(folder=tmp_path, link=link, replicas=1)

    async def scenario() -> None:
        distribution.publish(2, Random(1).randbytes(4 * LARGE_BYTES))
        assert (
            await seconds_until(lambda: distribution.entry.revision == 2, 16.0) < 16.0
        )

    anyio.run(follow, distribution, scenario)
