"""Concurrent requests through all entries, and the reports of stand-ins."""

from __future__ import annotations

import itertools
import json
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from chervilstage.errors import ChervilstageError
from chervilstage.state.types import Address
from chervilstage.transport.http_client import http_request

from .process_cluster import ProcessCluster
from .processes import unique_host

REQUEST_PORT = 8001
STANDIN_CONTROL_PORT = 7600
NO_ANSWER = 0


def start_standin(cluster: ProcessCluster, data_centre: str, *options: str) -> str:
    """Start a stand-in with a control port and return its host."""
    host = unique_host()
    cluster.start_upstream(
        "alley-desk",
        data_centre,
        "--host",
        host,
        "--control-port",
        str(STANDIN_CONTROL_PORT),
        *options,
    )
    return host


def fetch_standin_report(host: str) -> dict[str, Any]:
    """Return the counters of a stand-in."""
    body = anyio.run(call_control, host, "GET", "/v1/report")
    report: dict[str, Any] = json.loads(body)
    return report


async def call_control(host: str, method: str, path: str) -> bytes:
    """Call the control port of a stand-in and return the answer's body."""
    address = Address(host=host, port=STANDIN_CONTROL_PORT)
    answer = await http_request(address, method, path)
    assert answer.status in (200, 204), answer
    return answer.body


def send_requests_until(
    hosts: Sequence[str],
    callers: int,
    is_done: Callable[[Counter[int]], bool],
    timeout_seconds: float = 30.0,
    on_first_answer: Callable[[], Awaitable[object]] | None = None,
) -> Counter[int]:
    """Let concurrent callers send requests until a condition holds.

    :param is_done: the condition, called with the number of answers by status; 0 stands
        for no answer.
    :param timeout_seconds: the time limit, longer than a run should take.
    :param on_first_answer: called once after the first answer, while requests are in
        flight.
    """
    counts: Counter[int] = Counter()
    next_hosts = itertools.cycle(hosts)
    has_answer = anyio.Event()

    async def send_requests(scope: anyio.CancelScope) -> None:
        while not is_done(counts):
            address = Address(host=next(next_hosts), port=REQUEST_PORT)
            try:
                answer = await http_request(
                    address, "GET", "/alleys", timeout_seconds=2.0
                )
                counts[answer.status] += 1
                has_answer.set()
            except ChervilstageError:
                counts[NO_ANSWER] += 1
                await anyio.sleep(0.05)
        scope.cancel()

    async def run() -> None:
        with anyio.move_on_after(timeout_seconds):
            async with anyio.create_task_group() as group:
                for _ in range(callers):
                    group.start_soon(send_requests, group.cancel_scope)
                await has_answer.wait()
                if on_first_answer:
                    await on_first_answer()

    anyio.run(run)
    assert is_done(counts), f"not within {timeout_seconds} s: {counts}"
    return counts
