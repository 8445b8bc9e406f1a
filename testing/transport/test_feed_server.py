"""Acknowledgements of announcements on a control replica."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import (
    all_items,
    items_since,
    note_query,
    take_item,
    take_record,
)
from chervilstage.errors.upstreams import NoFollowerError
from chervilstage.protocol.kinds import Kind
from chervilstage.state.configuration import RoutingDocument
from chervilstage.state.types import UpstreamPhase
from chervilstage.state.upstream_feed import UpstreamFeed
from chervilstage.transport import feed_server
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import SPREAD_SECONDS, FeedServer
from chervilstage.transport.upstream_store import UpstreamStore
from testing.support.feed_queries import RUN, make_query
from testing.support.token_relays import SERVICE, make_record

LEAVING = make_record(1, sequence=2, phase=UpstreamPhase.LEAVING)


class FakeFrames:
    """Takes the place of the server that receives the queries."""

    def serve(self, kind: Kind, handler: Callable[[str, bytes], Any]) -> None:
        """Take no queries."""


@pytest.fixture
def server(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> FeedServer:
    """Return a feed that knows one upstream and the service of it."""
    routing = RoutingDocument(version=1, content=b"")
    monkeypatch.setattr(feed_server, "newest_routing", lambda replica: routing)
    server = FeedServer(
        feed=UpstreamFeed(run=RUN),
        driver=cast(Any, SimpleNamespace(replica=None)),
        frames=cast(Any, FakeFrames()),
        services_of=lambda document: frozenset({SERVICE}),
        store=UpstreamStore(folder=tmp_path),
    )
    take_record(server.feed, make_record(1), replica_clock())
    return server


def ask(server: FeedServer, name: str, cursor: int) -> None:
    """Let an entry ask for what came after a cursor."""
    note_query(server.feed, make_query(cursor, name=name), replica_clock())
    server.notify()


def announce_leaving(server: FeedServer, *heard_by: str) -> list[bool]:
    """Let an upstream leave; return whether that is acknowledged at three moments.

    They are at once, when some entries have asked again, and after the longest wait.

    :param heard_by: the entries that ask again.
    """
    moments = []

    async def main() -> None:
        acknowledged = anyio.Event()

        async def announce() -> None:
            await server.announce(LEAVING)
            acknowledged.set()

        async with anyio.create_task_group() as group:
            group.start_soon(announce)
            await anyio.wait_all_tasks_blocked()
            moments.append(acknowledged.is_set())
            for name in heard_by:
                ask(server, name, server.feed.cursor)
            await anyio.wait_all_tasks_blocked()
            moments.append(acknowledged.is_set())
            await anyio.sleep(2 * SPREAD_SECONDS)
            moments.append(acknowledged.is_set())

    anyio.run(main)
    return moments


def test_leaving_is_acknowledged_once_all_entries_have_heard(
    server: FeedServer,
) -> None:
    """Guards against a new flow at an upstream that may leave already."""
    ask(server, "entry-1", server.feed.cursor)
    ask(server, "entry-2", server.feed.cursor)
    assert announce_leaving(server, "entry-1", "entry-2") == [False, True, True]


def test_an_entry_that_does_not_ask_again_delays_only_for_a_time(
    server: FeedServer,
) -> None:
    """Guards against an early acknowledgement, and against one that never comes."""
    ask(server, "entry-1", server.feed.cursor)
    ask(server, "entry-2", server.feed.cursor)
    assert announce_leaving(server, "entry-1") == [False, False, True]


def test_nothing_is_acknowledged_while_no_entry_follows(server: FeedServer) -> None:
    """Guards against a promise that nobody keeps."""

    async def main() -> None:
        with pytest.raises(NoFollowerError):
            await server.announce(LEAVING)

    anyio.run(main)


def test_upstreams_are_saved_once_the_disk_has_room(
    server: FeedServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a hint that stays old until the next upstream changes."""
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


def restarted(server: FeedServer) -> FeedServer:
    """Return a feed that begins with what another one has saved."""
    later = FeedServer(
        feed=UpstreamFeed(run=RUN + 1),
        driver=server.driver,
        frames=cast(Any, FakeFrames()),
        services_of=server.services_of,
        store=UpstreamStore(folder=server.store.folder),
    )
    for item in later.store.load():
        take_item(later.feed, item, replica_clock())
    return later


def test_an_acknowledged_leave_outlives_a_restart_of_all(server: FeedServer) -> None:
    """Guards against new flows at an upstream that may rely on getting none."""
    ask(server, "entry-1", server.feed.cursor)
    server.store.save(all_items(server.feed, replica_clock()))
    announce_leaving(server, "entry-1")
    (record,) = restarted(server).feed.registry.records.values()
    assert record.phase is UpstreamPhase.LEAVING


def test_an_upstream_that_has_left_stays_away_after_a_restart_of_all(
    server: FeedServer,
) -> None:
    """Guards against an upstream that an old file or a late call brings back."""
    ask(server, "entry-1", server.feed.cursor)
    server.store.save(all_items(server.feed, replica_clock()))
    announce_leaving(server, "entry-1")
    anyio.run(server.depart, LEAVING.label, LEAVING.identity.incarnation)
    later = restarted(server)
    assert not later.feed.registry.records
    for late in (make_record(1), LEAVING._replace(sequence=1)):
        assert not take_record(later.feed, late, replica_clock())
    told = items_since(later.feed, make_query(0, run=RUN + 1), replica_clock())
    assert [item.is_gone for item in told] == [True]


def test_a_next_run_of_an_upstream_that_has_left_is_taken_after_a_restart(
    server: FeedServer,
) -> None:
    """Guards against an address that stays closed to the upstream that comes next."""
    ask(server, "entry-1", server.feed.cursor)
    anyio.run(server.depart, LEAVING.label, LEAVING.identity.incarnation)
    later = restarted(server)
    assert take_record(later.feed, make_record(1, incarnation=2), replica_clock())


def test_a_disk_that_refuses_delays_no_acknowledgement(
    server: FeedServer, tmp_path: Path
) -> None:
    """Guards against an upstream that cannot leave while a disk is full."""
    server.store.folder = tmp_path / "missing"
    ask(server, "entry-1", server.feed.cursor)
    assert announce_leaving(server, "entry-1") == [False, True, True]
