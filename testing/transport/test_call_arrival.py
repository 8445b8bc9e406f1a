"""Arrival times of calls, and callers that disconnect."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import ByteStream, SocketAttribute

from chervilstage.transport.call_arrival import (
    CATCH_UP_SECONDS,
    estimate_arrival,
    is_closed_by_peer,
    make_idle_bound,
    track_stalls,
)
from chervilstage.transport.clock import replica_clock

CLOSE_PROPAGATION_SECONDS = 0.1
IDLE_SECONDS = 1.2
STALL_SECONDS = 0.7

Scenario = Callable[[ByteStream, ByteStream], Awaitable[None]]


def run(scenario: Scenario) -> None:
    """Run a scenario with the two ends of a connection, the caller's first."""

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


def test_a_waiting_caller_counts_as_connected() -> None:
    """Guards against calls that are refused although their caller still waits."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        await caller.send(b"call")
        assert not is_closed_by_peer(stream)
        assert await stream.receive() == b"call"
        assert not is_closed_by_peer(stream)

    run(scenario)


def test_a_closed_connection_is_detected_before_its_call_is_read() -> None:
    """Guards against calls that are executed although their caller has disconnected."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        await caller.send(b"call")
        await caller.aclose()
        await anyio.sleep(CLOSE_PROPAGATION_SECONDS)
        assert is_closed_by_peer(stream)
        assert await stream.receive() == b"call"

    run(scenario)


def test_a_call_on_an_idle_connection_has_not_waited() -> None:
    """Guards against calls whose age includes the idle time of their connection."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        arrivals = make_idle_bound()
        async with anyio.create_task_group() as group:
            group.start_soon(track_stalls, arrivals)
            await anyio.sleep(IDLE_SECONDS)
            for bound in (arrivals, None):
                assert (
                    estimate_arrival(stream, bound).max_wait_seconds(replica_clock())
                    < 0.1
                )
            group.cancel_scope.cancel()

    run(scenario)


def test_calls_may_have_waited_since_a_stall_until_the_loop_has_caught_up() -> None:
    """Guards against calls that count as new because a timer ran before their read."""

    async def scenario(caller: ByteStream, stream: ByteStream) -> None:
        arrivals = make_idle_bound()

        def current_wait_seconds() -> float:
            return estimate_arrival(stream, arrivals).max_wait_seconds(replica_clock())

        async with anyio.create_task_group() as group:
            group.start_soon(track_stalls, arrivals)
            await anyio.sleep(CATCH_UP_SECONDS)
            stall(STALL_SECONDS)
            assert current_wait_seconds() >= STALL_SECONDS
            await anyio.sleep(CATCH_UP_SECONDS / 2)
            assert current_wait_seconds() >= STALL_SECONDS
            await anyio.sleep(2 * CATCH_UP_SECONDS)
            assert current_wait_seconds() < 0.1
            group.cancel_scope.cancel()

    run(scenario)


def stall(seconds: float) -> None:
    """Block the event loop."""
    time.sleep(seconds)
