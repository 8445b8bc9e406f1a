"""The HTTP front end during a planned stop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any

import anyio
import anyio.lowlevel
import anyio.streams.stapled
from anyio.abc import ByteStream
from testtools import TestCase

from chervilstage.errors.upstreams import NoUpstreamError
from chervilstage.state.configuration import Service, ServiceRules
from chervilstage.state.counters import Counters
from chervilstage.transport.http_front import HttpFrontEnd
from chervilstage.transport.open_connections import FIRST_REQUEST_SECONDS
from chervilstage.transport.service_requests import ServiceRequests

SERVICE = Service(name="boards", data_centres=("gl-erie",), udp_port=0, tcp_port=0)
REQUEST = b"GET /free HTTP/1.1\r\nhost: boards\r\n\r\n"
ANSWER = b"HTTP/1.1 503"
READ_BYTES = 4096
SEND_DELAY_SECONDS = FIRST_REQUEST_SECONDS / 4


async def refuse(**_: Any) -> None:
    """Stand in for the capacity of a service without upstreams."""
    raise NoUpstreamError(service=SERVICE.name)


async def submit(_: Any) -> Any:
    """Stand in for keyed requests, which these callers do not send."""
    raise AssertionError("no request of these tests has a key")


def make_front_end() -> HttpFrontEnd:
    """Return a front end that refuses each request with the outcome ``NotRun``."""
    capacity: Any = SimpleNamespace(acquire=refuse)
    pool: Any = None
    requests = ServiceRequests(
        name=SERVICE.name,
        rules=lambda: ServiceRules(service=SERVICE.name),
        capacity=capacity,
        pool=pool,
        counters=Counters(),
    )
    return HttpFrontEnd(
        host="127.0.0.1",
        service=SERVICE,
        requests=requests,
        counters=Counters(),
        submit=submit,
    )


def connect() -> tuple[ByteStream, ByteStream]:
    """Return the two ends of a connection: the caller's and the entry's."""
    to_entry, from_caller = anyio.create_memory_object_stream[bytes](READ_BYTES)
    to_caller, from_entry = anyio.create_memory_object_stream[bytes](READ_BYTES)
    stapled = anyio.streams.stapled.StapledObjectStream
    caller: Any = stapled(to_entry, from_entry)
    entry: Any = stapled(to_caller, from_caller)
    entry.receive = lambda _size: from_caller.receive()
    return caller, entry


async def stop_during(act: Callable[[ByteStream], Awaitable[None]]) -> bytes:
    """Stop a front end while a caller acts, and return what the caller received."""
    front_end = make_front_end()
    caller, entry = connect()
    async with anyio.create_task_group() as group:
        group.start_soon(front_end.serve_connection, entry)
        await anyio.wait_all_tasks_blocked()
        front_end.connections.stopping = True
        front_end.connections.close_idle()
        group.start_soon(act, caller)
        await front_end.wait_drained(include_feeds=True)
    try:
        return await caller.receive()
    except anyio.EndOfStream:
        return b""


class PlannedStopTests(TestCase):
    """A connection that is open when the front end stops."""

    def test_first_request_after_the_stop_is_answered(self) -> None:
        """Guards against a stop that closes a connection before its first request."""

        async def send_late(caller: ByteStream) -> None:
            await anyio.sleep(SEND_DELAY_SECONDS)
            await caller.send(REQUEST)

        answer = anyio.run(stop_during, send_late)
        self.assertTrue(answer.startswith(ANSWER), answer)
        self.assertIn(b"connection: close", answer)

    def test_connection_without_a_request_is_closed(self) -> None:
        """Guards against a stop that waits for callers that send nothing."""

        async def send_nothing(caller: ByteStream) -> None:
            await anyio.lowlevel.checkpoint()

        self.assertEqual(b"", anyio.run(stop_during, send_nothing))
