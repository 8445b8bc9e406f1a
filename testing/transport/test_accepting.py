"""Connections that are open or pending when a listener stops as planned."""

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
PENDING_CONNECTIONS = 3
STALLING_TASKS = 3
STALLS = 12
STALL_SECONDS = 0.06


async def echo_once(stream: SocketStream) -> None:
    """Send back the first bytes that the caller sent."""
    async with stream:
        await stream.send(await stream.receive())


async def open_listener() -> SocketListener:
    """Return a listener on a free port of loopback."""
    (listener,) = (await anyio.create_tcp_listener(local_host="127.0.0.1")).listeners
    assert isinstance(listener, SocketListener)
    return listener


def connect_without_accept(listener: SocketListener) -> socket.socket:
    """Connect and send without letting the event loop run, so that it cannot accept."""
    address = listener.extra(SocketAttribute.local_address)
    caller = socket.create_connection(address, timeout=TIMEOUT_SECONDS)
    caller.sendall(REQUEST)
    return caller


class AcceptingTests(TestCase):
    """Connections that are open or pending when the listener stops accepting."""

    def test_pending_connections_are_served_at_a_stop(self) -> None:
        """Guards against requests that are reset when their listener is closed."""

        async def run() -> list[bytes]:
            listener = await open_listener()
            accept_scope = CancelScope()
            async with anyio.create_task_group() as group, listener:
                async with anyio.create_task_group() as accepting:
                    accepting.start_soon(
                        accept_until_stopped, listener, echo_once, group, accept_scope
                    )
                    await anyio.wait_all_tasks_blocked()
                    callers = [
                        connect_without_accept(listener)
                        for _ in range(PENDING_CONNECTIONS)
                    ]
                    accept_scope.cancel()
                await listener.aclose()
            return [caller.recv(len(REQUEST)) for caller in callers]

        self.assertEqual([REQUEST] * PENDING_CONNECTIONS, anyio.run(run))

    def test_no_connection_is_lost_on_a_stalling_event_loop(self) -> None:
        """Guards against a timeout on accepting that drops a connection half accepted.

        The fault soak found connections that entries reset on a busy machine.
        """

        async def stall() -> None:
            for _ in range(STALLS):
                time.sleep(STALL_SECONDS)  # noqa: ASYNC251
                await anyio.lowlevel.checkpoint()

        async def run() -> list[bytes]:
            listener = await open_listener()
            accept_scope = CancelScope()
            async with anyio.create_task_group() as group, listener:
                group.start_soon(
                    accept_until_stopped, listener, echo_once, group, accept_scope
                )
                await anyio.wait_all_tasks_blocked()
                for _ in range(STALLING_TASKS):
                    group.start_soon(stall)
                callers = [
                    connect_without_accept(listener) for _ in range(PENDING_CONNECTIONS)
                ]
                await anyio.sleep(2 * STALLING_TASKS * STALLS * STALL_SECONDS)
                accept_scope.cancel()
            return [caller.recv(len(REQUEST)) for caller in callers]

        self.assertEqual([REQUEST] * PENDING_CONNECTIONS, anyio.run(run))

    def test_listener_without_connections_stops(self) -> None:
        """Guards against a stop that waits for a connection."""

        async def run() -> bool:
            accept_scope = CancelScope()
            accept_scope.cancel()
            listener = await open_listener()
            async with anyio.create_task_group() as group, listener:
                with anyio.move_on_after(TIMEOUT_SECONDS) as scope:
                    await accept_until_stopped(listener, echo_once, group, accept_scope)
            return scope.cancelled_caught

        self.assertFalse(anyio.run(run))
