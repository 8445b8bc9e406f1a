"""Calls of the platform that a control process reads long after they were sent."""

from __future__ import annotations

import socket
import time
from pathlib import Path
from typing import cast

import anyio
from anyio.abc import ByteStream, SocketAttribute

from chervilstage.platform.control_calls import ControlCalls
from chervilstage.state.counters import Counters
from chervilstage.state.types import Address
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.http_connection import HttpRequest
from chervilstage.transport.http_server import serve_http, start_http_server
from testing.support.disk_cell import DiskCell, DiskNode, free_addresses

ZONE = "gl-huron"
SETTLED_SECONDS = 0.5
STALL_SECONDS = 1.2


def make_calls(node: DiskNode) -> ControlCalls:
    """Return the calls of a control process."""
    return ControlCalls(
        changes=node.changes,
        feed=cast(FeedServer, None),
        data_centres=frozenset({ZONE}),
        counters=Counters(),
    )


async def send_and_give_up(address: Address, action: str) -> None:
    """Send a call and close the connection without an answer."""
    head = f"POST /evacuation/{ZONE}/{action} HTTP/1.1\r\nhost: c\r\n"
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(f"{head}content-length: 0\r\n\r\n".encode())


def out_after_late(folder: Path, late: str, *orders: str) -> frozenset[str]:
    """Return what is out after orders and a late call that its caller gave up.

    The call waits in the sockets of a process that does not run, while another one
    answers the orders.
    """
    found: list[frozenset[str]] = []

    async def main() -> None:
        cell = DiskCell(folder=folder, count=1, size=1, seed=1)
        async with anyio.create_task_group() as group:
            await cell.start(group)
            calls = make_calls(cell.nodes[0])
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            host, port = listener.extra(SocketAttribute.local_address)[:2]
            await send_and_give_up(Address(host=host, port=port), late)
            for order in orders:
                target = f"/evacuation/{ZONE}/{order}"
                request = HttpRequest(
                    method="POST", target=target, headers={}, body=b""
                )
                assert (await calls.answer(request)).status == 200

            async def serve(stream: ByteStream) -> None:
                await serve_http(stream, calls.answer)

            group.start_soon(listener.serve, serve)
            await anyio.sleep(SETTLED_SECONDS)
            found.append(cell.nodes[0].replica.applied.configuration.out)
            group.cancel_scope.cancel()

    anyio.run(main)
    return found[0]


def test_a_late_call_takes_no_data_centre_out_that_is_back(tmp_path: Path) -> None:
    """Guards against a data centre that gets no flows to the end of the day."""
    assert out_after_late(tmp_path, "start", "start", "end") == frozenset()


def test_a_late_call_brings_no_data_centre_back_that_is_out_again(
    tmp_path: Path,
) -> None:
    """Guards against new flows in a data centre that is out of service."""
    orders = ("start", "end", "start")
    assert out_after_late(tmp_path, "end", *orders) == frozenset({ZONE})


def call_and_stall(address: Address, action: str, seconds: float) -> socket.socket:
    """Send a call and keep the loop from running; return the caller's socket."""
    head = f"POST /evacuation/{ZONE}/{action} HTTP/1.1\r\nhost: c\r\n"
    caller = socket.create_connection(address)
    caller.sendall(f"{head}content-length: 0\r\n\r\n".encode())
    time.sleep(seconds)
    return caller


async def read_status(sock: socket.socket) -> int:
    """Return the status of the answer to a call, once there is one."""
    sock.setblocking(False)
    with anyio.fail_after(6.0):
        await anyio.wait_readable(sock)
    return int(sock.recv(4096).split()[1])


def test_a_call_that_waited_while_the_process_stood_still_is_not_carried_out(
    tmp_path: Path,
) -> None:
    """Guards against a late call whose caller's end of the connection is cut off."""
    statuses: list[int] = []
    out: list[frozenset[str]] = []

    async def main() -> None:
        cell = DiskCell(folder=tmp_path, count=1, size=1, seed=1)
        address = free_addresses(1)[0]
        async with anyio.create_task_group() as group:
            await cell.start(group)
            calls = make_calls(cell.nodes[0])
            await start_http_server(group, address, calls.answer)
            await anyio.sleep(SETTLED_SECONDS)
            for stall in (STALL_SECONDS, 0.0):
                with call_and_stall(address, "start", stall) as caller:
                    statuses.append(await read_status(caller))
                out.append(cell.nodes[0].replica.applied.configuration.out)
                await anyio.sleep(2 * SETTLED_SECONDS)
            group.cancel_scope.cancel()

    anyio.run(main)
    assert statuses == [503, 200]
    assert out == [frozenset(), {ZONE}]
