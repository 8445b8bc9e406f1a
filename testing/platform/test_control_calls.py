"""Refused calls and late leave calls of the platform at a control daemon."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import merge_feed_record
from chervilstage.platform.control_calls import ControlCalls
from chervilstage.state.counters import Counters
from chervilstage.state.types import UpstreamPhase
from chervilstage.state.upstream_feed import UpstreamFeed
from chervilstage.transport.change_calls import ChangeCalls
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.http_connection import HttpRequest
from chervilstage.transport.log_budget import BURST_LINES
from chervilstage.transport.upstream_store import UpstreamStore
from testing.support.token_relays import SERVICE, make_record

CALLS = 500


def test_refused_calls_do_not_flood_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log line per refused announcement after all replicas restart."""
    counters = Counters()
    calls = ControlCalls(
        changes=cast(ChangeCalls, None),
        feed=cast(FeedServer, None),
        data_centres=frozenset(),
        counters=counters,
    )
    request = HttpRequest(method="GET", target="/unknown", headers={}, body=b"")

    async def main() -> None:
        for _ in range(CALLS):
            answer = await calls.handle_request(request)
            assert answer.status == 404

    caplog.set_level("INFO")
    anyio.run(main)
    assert BURST_LINES <= len(caplog.records) <= 2 * BURST_LINES
    refused_counts = [
        n for (name, _), n in counters.values.items() if name.endswith("refused")
    ]
    assert refused_counts == [CALLS]


def make_calls(folder: Path) -> ControlCalls:
    """Return the calls to a replica whose feed no entry follows."""
    server = FeedServer(
        feed=UpstreamFeed(run=1),
        driver=cast(Any, SimpleNamespace(replica=None)),
        frames=cast(Any, SimpleNamespace(register=lambda kind, handler: None)),
        services_of=lambda document: frozenset({SERVICE}),
        store=UpstreamStore(folder=folder),
    )
    return ControlCalls(
        changes=cast(ChangeCalls, None),
        feed=server,
        data_centres=frozenset(),
        counters=Counters(),
    )


def test_late_leave_of_an_earlier_run_does_not_end_the_current_run(
    tmp_path: Path,
) -> None:
    """Guards against closing the flows of a target that restarted under its id."""
    calls = make_calls(tmp_path)
    merge_feed_record(
        calls.feed.feed, make_record(1, incarnation=1_000), replica_clock()
    )
    restarted = make_record(1, incarnation=2_000)
    merge_feed_record(calls.feed.feed, restarted, replica_clock())
    leave = HttpRequest(
        method="POST",
        target="/instances/i-1/leave",
        headers={},
        body=json.dumps({"born": 1_000}).encode(),
    )

    async def main() -> None:
        await calls.handle_request(leave)

    anyio.run(main)
    assert list(calls.feed.feed.registry.records.values()) == [restarted]


def test_late_leave_without_a_body_does_not_end_the_current_run(
    tmp_path: Path,
) -> None:
    """Guards against closing the flows of a target that restarted under its id."""
    calls = make_calls(tmp_path)
    leaving = make_record(1, incarnation=1_000, phase=UpstreamPhase.LEAVING)
    restarted = make_record(1, incarnation=2_000)
    for record in (leaving, restarted):
        merge_feed_record(calls.feed.feed, record, replica_clock())
    leave = HttpRequest(
        method="POST", target="/instances/i-1/leave", headers={}, body=b""
    )

    async def main() -> None:
        await calls.handle_request(leave)

    anyio.run(main)
    assert list(calls.feed.feed.registry.records.values()) == [restarted]
