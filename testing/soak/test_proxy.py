"""The faults of the loopback proxy."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from .proxy import DELAY_SECONDS, Address, Fault, Link, serve

TIMEOUT_SECONDS = 5.0
SHORT_SECONDS = 2 * DELAY_SECONDS
WORD = b"word"

Step = Callable[[Link, Callable[[], Awaitable[SocketStream]]], Awaitable[None]]


async def echo(stream: SocketStream) -> None:
    """Return all that comes."""
    async with stream:
        with suppress(anyio.BrokenResourceError):
            async for data in stream:
                await stream.send(data)


async def through_link(step: Step) -> None:
    """Run a step against an echo server behind a link."""
    async with anyio.create_task_group() as group:
        (target,) = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners
        (near,) = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners
        link = Link(
            name="link",
            listen=Address(*near.extra(SocketAttribute.local_address)[:2]),
            target=Address(*target.extra(SocketAttribute.local_address)[:2]),
        )
        group.start_soon(target.serve, echo)
        group.start_soon(near.serve, lambda stream: serve(link, stream))
        with anyio.fail_after(TIMEOUT_SECONDS):
            await step(link, lambda: anyio.connect_tcp(*link.listen))
        group.cancel_scope.cancel()


async def answers(stream: SocketStream) -> bool:
    """Tell whether a word comes back soon."""
    await stream.send(WORD)
    with anyio.move_on_after(SHORT_SECONDS):
        return await stream.receive() == WORD
    return False


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.ONE_WAY])
def test_fault_holds_until_it_ends(fault: Fault) -> None:
    """Guards against a soak whose cuts let bytes through, or never end."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        link.set_fault(fault)
        assert not await answers(await connect())
        link.set_fault(Fault.NONE)
        assert await answers(await connect())

    anyio.run(through_link, step)


def test_open_connections_go_silent_while_new_ones_work() -> None:
    """Guards against a silence that ends, or that new connections share."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        old = await connect()
        assert await answers(old)
        link.set_fault(Fault.SILENT)
        assert not await answers(old)
        assert await answers(await connect())
        link.set_fault(Fault.NONE)
        assert not await answers(old)

    anyio.run(through_link, step)


def test_reset_ends_open_connections() -> None:
    """Guards against a reset that the programs do not see."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        old = await connect()
        assert await answers(old)
        link.set_fault(Fault.RESET)
        with pytest.raises(anyio.BrokenResourceError):
            await old.receive()
        assert await answers(await connect())

    anyio.run(through_link, step)


def test_delay_is_added() -> None:
    """Guards against a delay that does nothing."""

    async def step(link: Link, connect: Callable[[], Awaitable[SocketStream]]) -> None:
        stream = await connect()
        link.set_fault(Fault.DELAY)
        before = anyio.current_time()
        await stream.send(WORD)
        assert await stream.receive() == WORD
        assert anyio.current_time() - before >= 2 * DELAY_SECONDS

    anyio.run(through_link, step)
