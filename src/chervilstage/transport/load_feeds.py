"""Callers of a load run that keep streaming HTTP responses open."""

from __future__ import annotations

import time
from contextlib import suppress

import anyio
import h11

from ..coordination.load_checks import check_feed_line
from ..errors import ChervilstageError
from ..state.load_plan import FeedLoad, LoadPlan
from ..state.load_results import LoadResults
from ..state.types import Address
from .http_connection import HttpConnection, header_list

CONNECT_TIMEOUT_SECONDS = 1.0
REOPEN_DELAY_SECONDS = 0.2
FEED_ERRORS = (
    OSError,
    anyio.BrokenResourceError,
    ChervilstageError,
    TimeoutError,
)


async def run_feed(
    plan: LoadPlan, load: FeedLoad, number: int, results: LoadResults
) -> None:
    """Keep a feed open until cancelled; reopen it at the next entry when it ends.

    :param number: the number of the caller, which selects its first entry.
    """
    position = number
    while True:
        entry = plan.entries[position % len(plan.entries)]
        address = Address(host=entry.host, port=load.port)
        feed = f"{load.service} feed {number}"
        with suppress(*FEED_ERRORS):
            await read_feed(address, load, feed, results)
        position += 1
        await anyio.sleep(REOPEN_DELAY_SECONDS)


async def read_feed(
    address: Address, load: FeedLoad, feed: str, results: LoadResults
) -> None:
    """Read one feed until it ends, and count the outcome."""
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        stream = await anyio.connect_tcp(*address)
    async with stream:
        connection = HttpConnection(stream=stream, role=h11.CLIENT)
        headers = {"host": f"{address.host}:{address.port}"}
        fields = header_list({**headers, "load-service": load.service})
        await connection.send(
            h11.Request(method="GET", target=load.path, headers=fields)
        )
        await connection.send(h11.EndOfMessage())
        response = await connection.next_event()
        if not isinstance(response, h11.Response) or response.status_code != 200:
            results.counts["feeds_refused"] += 1
            return
        results.counts["feeds_opened"] += 1
        try:
            await read_lines(connection, feed, results)
        except FEED_ERRORS:
            results.counts["feeds_cut"] += 1
            raise
        results.counts["feeds_ended"] += 1


async def read_lines(
    connection: HttpConnection, feed: str, results: LoadResults
) -> None:
    """Check the lines of a feed until it ends."""
    expected, incomplete_line = 0, b""
    async for chunk in connection.body_chunks():
        *lines, incomplete_line = (incomplete_line + chunk).split(b"\n")
        for line in lines:
            expected += 1
            check_feed_line(results, feed, line, expected, time.time())
