"""Calls of the platform that are refused."""

from __future__ import annotations

from typing import cast

import anyio
import pytest

from chervilstage.platform.control_calls import ControlCalls
from chervilstage.state.counters import Counters
from chervilstage.transport.change_calls import ChangeCalls
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.http_connection import HttpRequest
from chervilstage.transport.log_budget import BURST_LINES

CALLS = 500


def test_refused_calls_do_not_flood_the_log(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a line for each announcement after a restart of all replicas."""
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
            answer = await calls.answer(request)
            assert answer.status == 404

    caplog.set_level("INFO")
    anyio.run(main)
    assert BURST_LINES <= len(caplog.records) <= 2 * BURST_LINES
    refused = [
        n for (name, _), n in counters.values.items() if name.endswith("refused")
    ]
    assert refused == [CALLS]
