"""When calls arrived, by connections and by stalls of the loop."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute

from chervilstage.transport.call_arrival import (
    SETTLED_SECONDS,
    arrival_of,
    has_left,
    idle_arrivals,
    watch_arrivals,
)
from chervilstage.transport.clock import replica_clock

CLOSED_SECONDS = 0.1
IDLE_SECONDS = 1.2
STALL_SECONDS = 0.7

Scenario = Callable[[ByteStream, ByteStream], Awaitable[None]]


def run(scenario: Scenario) -> None:
    """Run a scenario with the two ends of a connection, that of the caller first."""

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(SocketAttribute.local_port)

        async def serve(stream: ByteStream) -> None:
            async with stream, caller:
                await scenario(caller, stream)
                group.cancel_scope.cancel()

        async with anyio.create_task_group() as group:
            caller = await anyio.connect_tcp("127.0.0.1", port)
            group.start_soon(listener.serve, serve)

    anyio.run(main)


def test_a_caller_that_waits_has_not_left() -> None:
    """Guards against calls that are refused although their caller waits."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        await caller.send(b"call")
        assert not has_left(stream)
        assert await stream.receive() == b"call"
        assert not has_left(stream)

    run(scenario)


def test_a_caller_that_has_closed_has_left_before_its_call_is_read() -> None:
    """Guards against calls that are carried out although their caller gave up."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        await caller.send(b"call")
        await caller.aclose()
        await anyio.sleep(CLOSED_SECONDS)
        assert has_left(stream)
        assert await stream.receive() == b"call"

    run(scenario)


def test_a_call_on_an_idle_connection_has_not_waited() -> None:
    """Guards against calls that count as old as the connection is idle."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        arrivals = idle_arrivals()
        async with anyio.create_task_group() as group:
            group.start_soon(watch_arrivals, arrivals)
            await anyio.sleep(IDLE_SECONDS)
            for bound in (arrivals, None):
                assert arrival_of(stream, bound).waited(replica_clock()) < 0.1
            group.cancel_scope.cancel()

    run(scenario)


def test_a_call_that_is_read_after_a_stall_may_be_as_old_until_all_is_read() -> None:
    """Guards against calls that count as new because a timer ran before them."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        arrivals = idle_arrivals()

        def waited() -> float:
            return arrival_of(stream, arrivals).waited(replica_clock())

        async with anyio.create_task_group() as group:
            group.start_soon(watch_arrivals, arrivals)
            await anyio.sleep(SETTLED_SECONDS)
            stall(STALL_SECONDS)
            assert waited() >= STALL_SECONDS
            await anyio.sleep(SETTLED_SECONDS / 2)
            assert waited() >= STALL_SECONDS
            await anyio.sleep(2 * SETTLED_SECONDS)
            assert waited() < 0.1
            group.cancel_scope.cancel()

    run(scenario)


def stall(seconds: float) -> None:
    """Keep the loop from running."""
    time.sleep(seconds)
