"""Connections around the planned stop of a listener."""

from __future__ import annotations

import socket
import time

import anyio
import anyio.lowlevel
from anyio import CancelScope
from anyio.abc import SocketAttribute, SocketListener, SocketStream
from testtools import TestCase

from chervilstage.transport.accepting import accept_until_stopped

REQUEST = b"request"
TIMEOUT_SECONDS = 5.0
WAITING_CONNECTIONS = 3
STALLING_TASKS = 3
STALLS = 12
STALL_SECONDS = 0.06


async def echo_once(stream: SocketStream) -> None:
    """Return what the caller sent first."""
    async with stream:
        await stream.send(await stream.receive())


async def open_listener() -> SocketListener:
    """Return a listener on a free port of loopback."""
    (listener,) = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners
    assert isinstance(listener, SocketListener)
    return listener


def open_unseen(listener: SocketListener) -> socket.socket:
    """Connect and send without giving the loop a chance to accept."""
    address = listener.extra(SocketAttribute.local_address)
    caller = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
    caller.sendall(REQUEST)
    return caller


class AcceptingTests(TestCase):
    """What becomes of connections that are open when listening stops."""

    def test_waiting_connections_are_served_at_a_stop(self) -> None:
        """Guards against requests that the close of a listener resets."""

        async def run() -> list[bytes]:
            listener = await open_listener()
            listening = CancelScope()
            async with anyio.create_task_group() as group, listener:
                async with anyio.create_task_group() as accepting:
                    accepting.start_soon(
                        accept_until_stopped, listener, echo_once, group, listening
                    )
                    await anyio.wait_all_tasks_blocked()
                    callers = [
                        open_unseen(listener) for _ in range(WAITING_CONNECTIONS)
                    ]
                    listening.cancel()
                await listener.aclose()
            return [caller.recv(len(REQUEST)) for caller in callers]

        self.assertEqual([REQUEST] * WAITING_CONNECTIONS, anyio.run(run))

    def test_accepting_loses_nothing_on_a_loop_that_stalls(self) -> None:
        """Guards against a bound on accepting that drops the connection in hand.

        The fault soak found connections reset by entries on a busy machine.
        """

        async def stall() -> None:
            for _ in range(STALLS):
                time.sleep(STALL_SECONDS)  # noqa: ASYNC251
                await anyio.lowlevel.checkpoint()

        async def run() -> list[bytes]:
            listener = await open_listener()
            listening = CancelScope()
            async with anyio.create_task_group() as group, listener:
                group.start_soon(
                    accept_until_stopped, listener, echo_once, group, listening
                )
                await anyio.wait_all_tasks_blocked()
                for _ in range(STALLING_TASKS):
                    group.start_soon(stall)
                callers = [open_unseen(listener) for _ in range(WAITING_CONNECTIONS)]
                await anyio.sleep(2 * STALLING_TASKS * STALLS * STALL_SECONDS)
                listening.cancel()
            return [caller.recv(len(REQUEST)) for caller in callers]

        self.assertEqual([REQUEST] * WAITING_CONNECTIONS, anyio.run(run))

    def test_listener_that_never_accepted_ends(self) -> None:
        """Guards against a stop that waits for a connection."""

        async def run() -> bool:
            listening = CancelScope()
            listening.cancel()
            listener = await open_listener()
            async with anyio.create_task_group() as group, listener:
                with anyio.move_on_after(TIMEOUT_SECONDS) as scope:
                    await accept_until_stopped(listener, echo_once, group, listening)
            return scope.cancelled_caught

        self.assertFalse(anyio.run(run))
