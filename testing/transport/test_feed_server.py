"""Acknowledgement of announcements by a control replica."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import (
    all_items,
    apply_feed_item,
    items_since,
    merge_feed_record,
    record_feed_query,
)
from chervilstage.errors.upstreams import NoFollowerError
from chervilstage.protocol.kinds import Kind
from chervilstage.state.configuration import RoutingDocument
from chervilstage.state.types import UpstreamPhase
from chervilstage.state.upstream_feed import UpstreamFeed
from chervilstage.transport import feed_server
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import PROPAGATION_SECONDS, FeedServer
from chervilstage.transport.upstream_store import UpstreamStore
from testing.support.feed_queries import RUN, make_query
from testing.support.token_relays import SERVICE, make_record

LEAVING = make_record(1, sequence=2, phase=UpstreamPhase.LEAVING)


class FakeFrames:
    """Replaces the frame server; no query arrives."""

    def register(self, kind: Kind, handler: Callable[[str, bytes], Any]) -> None:
        """Ignore the handler."""


@pytest.fixture
def server(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> FeedServer:
    """Return a feed server that knows one upstream and its service."""
    routing = RoutingDocument(version=1, content=b"")
    monkeypatch.setattr(feed_server, "newest_routing", lambda replica: routing)
    server = FeedServer(
        feed=UpstreamFeed(run=RUN),
        driver=cast(Any, SimpleNamespace(replica=None)),
        frames=cast(Any, FakeFrames()),
        services_of=lambda document: frozenset({SERVICE}),
        store=UpstreamStore(folder=tmp_path),
    )
    merge_feed_record(server.feed, make_record(1), replica_clock())
    return server


def query_as_entry(server: FeedServer, name: str, cursor: int) -> None:
    """Record a query of an entry for the changes after a cursor."""
    record_feed_query(server.feed, make_query(cursor, name=name), replica_clock())
    server.wake_queries()


def announce_leaving(server: FeedServer, *received_by: str) -> list[bool]:
    """Announce a leaving upstream; return whether this is acknowledged at three times.

    The times are: immediately, after some entries have queried again, and after the
    longest time that an acknowledgement waits for entries.

    :param received_by: the entries that query again.
    """
    observations = []

    async def main() -> None:
        acknowledged = anyio.Event()

        async def announce() -> None:
            await server.announce(LEAVING)
            acknowledged.set()

        async with anyio.create_task_group() as group:
            group.start_soon(announce)
            await anyio.wait_all_tasks_blocked()
            observations.append(acknowledged.is_set())
            for name in received_by:
                query_as_entry(server, name, server.feed.cursor)
            await anyio.wait_all_tasks_blocked()
            observations.append(acknowledged.is_set())
            await anyio.sleep(2 * PROPAGATION_SECONDS)
            observations.append(acknowledged.is_set())

    anyio.run(main)
    return observations


def test_leaving_is_acknowledged_once_all_entries_have_received_it(
    server: FeedServer,
) -> None:
    """Guards against a new flow to an upstream that may already have left."""
    query_as_entry(server, "entry-1", server.feed.cursor)
    query_as_entry(server, "entry-2", server.feed.cursor)
    assert announce_leaving(server, "entry-1", "entry-2") == [False, True, True]


def test_an_entry_that_stops_querying_delays_acknowledgement_for_a_limited_time(
    server: FeedServer,
) -> None:
    """Guards against a premature acknowledgement, and against a missing one."""
    query_as_entry(server, "entry-1", server.feed.cursor)
    query_as_entry(server, "entry-2", server.feed.cursor)
    assert announce_leaving(server, "entry-1") == [False, False, True]


def test_nothing_is_acknowledged_while_no_entry_follows(server: FeedServer) -> None:
    """Guards against an acknowledged leave that no entry has received."""

    async def main() -> None:
        with pytest.raises(NoFollowerError):
            await server.announce(LEAVING)

    anyio.run(main)


def test_upstreams_are_saved_once_the_disk_has_room(
    server: FeedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a saved file that stays outdated after a failed save."""
    monkeypatch.setattr(feed_server, "SWEEP_SECONDS", 0.01)
    folder = server.store.folder
    server.store.folder = folder / "full"

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(server.sweep)
            await anyio.sleep(0.1)
            assert server.store.has_failed
            server.store.folder = folder
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert len(server.store.load()) == 1


def restart(server: FeedServer) -> FeedServer:
    """Return a feed server that has loaded the upstreams that another one saved."""
    restarted = FeedServer(
        feed=UpstreamFeed(run=RUN + 1),
        driver=server.driver,
        frames=cast(Any, FakeFrames()),
        services_of=server.services_of,
        store=UpstreamStore(folder=server.store.folder),
    )
    for item in restarted.store.load():
        apply_feed_item(restarted.feed, item, replica_clock())
    return restarted


def test_an_acknowledged_leave_survives_a_restart_of_all_replicas(
    server: FeedServer,
) -> None:
    """Guards against new flows to an upstream whose leave was acknowledged."""
    query_as_entry(server, "entry-1", server.feed.cursor)
    server.store.save(all_items(server.feed, replica_clock()))
    announce_leaving(server, "entry-1")
    (record,) = restart(server).feed.registry.records.values()
    assert record.phase is UpstreamPhase.LEAVING


def test_an_upstream_that_has_left_is_not_restored_by_a_restart_of_all_replicas(
    server: FeedServer,
) -> None:
    """Guards against an upstream that an old file or a late call restores."""
    query_as_entry(server, "entry-1", server.feed.cursor)
    server.store.save(all_items(server.feed, replica_clock()))
    announce_leaving(server, "entry-1")
    anyio.run(server.record_departure, LEAVING.label, LEAVING.identity.incarnation)
    restarted = restart(server)
    assert not restarted.feed.registry.records
    for late in (make_record(1), LEAVING._replace(sequence=1)):
        assert not merge_feed_record(restarted.feed, late, replica_clock())
    items = items_since(restarted.feed, make_query(0, run=RUN + 1), replica_clock())
    assert [item.is_gone for item in items] == [True]


def test_a_next_run_of_an_upstream_that_has_left_is_accepted_after_a_restart(
    server: FeedServer,
) -> None:
    """Guards against an address that rejects the next run of its upstream."""
    query_as_entry(server, "entry-1", server.feed.cursor)
    anyio.run(server.record_departure, LEAVING.label, LEAVING.identity.incarnation)
    restarted = restart(server)
    assert merge_feed_record(
        restarted.feed, make_record(1, incarnation=2), replica_clock()
    )


def test_a_disk_that_refuses_writes_delays_no_acknowledgement(
    server: FeedServer, tmp_path: Path
) -> None:
    """Guards against an upstream that cannot leave while a disk refuses writes."""
    server.store.folder = tmp_path / "missing"
    query_as_entry(server, "entry-1", server.feed.cursor)
    assert announce_leaving(server, "entry-1") == [False, True, True]
