"""Tests of the faults of the loopback proxy."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from .proxy import DELAY_SECONDS, Address, Fault, Link, serve

TIMEOUT_SECONDS = 5.0
ANSWER_TIMEOUT_SECONDS = 2 * DELAY_SECONDS
MESSAGE = b"word"

Step = Callable[[Link, Callable[[], Awaitable[SocketStream]]], Awaitable[None]]


async def echo(stream: SocketStream) -> None:
    """Send back all received bytes."""
    async with stream:
        with suppress(anyio.BrokenResourceError):
            async for data in stream:
                await stream.send(data)


async def run_through_link(step: Step) -> None:
    """Run a test step against an echo server behind a link."""
    async with anyio.create_task_group() as group:
        (target,) = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners
        (accepting,) = (
            await anyio.create_tcp_listener(local_host="127.0.0.1")
        ).listeners
        link = Link(
            name="link",
            listen=Address(*accepting.extra(SocketAttribute.local_address)[:2]),
            target=Address(*target.extra(SocketAttribute.local_address)[:2]),
        )
        group.start_soon(target.serve, echo)
        group.start_soon(accepting.serve, lambda stream: serve(link, stream))
        with anyio.fail_after(TIMEOUT_SECONDS):
            await step(link, lambda: anyio.connect_tcp(*link.listen))
        group.cancel_scope.cancel()


async def is_answered(stream: SocketStream) -> bool:
    """Return whether the echo server answers within the timeout."""
    await stream.send(MESSAGE)
    with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS):
        return await stream.receive() == MESSAGE
    return False


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.ONE_WAY])
def test_cut_blocks_bytes_until_it_is_cleared(fault: Fault) -> None:
    """Guards against a cut that forwards bytes, or persists after it is cleared."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        link.set_fault(fault)
        assert not await is_answered(await connect())
        link.set_fault(Fault.NONE)
        assert await is_answered(await connect())

    anyio.run(run_through_link, step)


def test_silence_affects_open_but_not_new_connections() -> None:
    """Guards against silence that ends with the fault, or affects new connections."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        old = await connect()
        assert await is_answered(old)
        link.set_fault(Fault.SILENT)
        assert not await is_answered(old)
        assert await is_answered(await connect())
        link.set_fault(Fault.NONE)
        assert not await is_answered(old)

    anyio.run(run_through_link, step)


def test_reset_ends_open_connections() -> None:
    """Guards against a reset that does not reach the other end of the connection."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        old = await connect()
        assert await is_answered(old)
        link.set_fault(Fault.RESET)
        with pytest.raises(anyio.BrokenResourceError):
            await old.receive()
        assert await is_answered(await connect())

    anyio.run(run_through_link, step)


def test_delay_is_applied_in_both_directions() -> None:
    """Guards against a delay fault that does not delay bytes."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        stream = await connect()
        link.set_fault(Fault.DELAY)
        sent_at = anyio.current_time()
        await stream.send(MESSAGE)
        assert await stream.receive() == MESSAGE
        assert anyio.current_time() - sent_at >= 2 * DELAY_SECONDS

    anyio.run(run_through_link, step)
