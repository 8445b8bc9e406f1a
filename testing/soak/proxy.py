"""A loopback proxy that delays, resets, silences and cuts connections on command.

Run as ``python -m testing.soak.proxy NAME=HOST:PORT=HOST:PORT ...``: each argument is
a link with the address to listen on and the one to connect to. Lines on standard input
give a link another fault: ``NAME FAULT``.
"""

from __future__ import annotations

import socket
import struct
import sys
from enum import StrEnum
from typing import NamedTuple

import anyio
from anyio import CancelScope
from anyio.abc import SocketAttribute, SocketStream

DELAY_SECONDS = 0.3
READ_BYTES = 65_536
# Closing with this option resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Fault(StrEnum):
    """What a link does to its connections.

    ``SILENT`` holds for the connections that are open when it is set, and for good;
    ``RESET`` ends them. The others hold until the next command.
    """

    NONE = "none"
    DELAY = "delay"
    CUT = "cut"
    ONE_WAY = "one-way"
    SILENT = "silent"
    RESET = "reset"


class Address(NamedTuple):
    """Where a link listens or connects."""

    host: str
    port: int


class Connection:
    """One connection through a link and its other half."""

    def __init__(self, *, near: SocketStream, far: SocketStream) -> None:
        self.near = near
        self.far = far
        self.is_silent = False
        self.scope = CancelScope()


class Link:
    """A listening address, where it leads, and the connections through it."""

    def __init__(self, *, name: str, listen: Address, target: Address) -> None:
        self.name = name
        self.listen = listen
        self.target = target
        self.fault = Fault.NONE
        self.open: set[Connection] = set()

    def set_fault(self, fault: Fault) -> None:
        """Give the link another fault."""
        self.fault = Fault.NONE if fault in (Fault.SILENT, Fault.RESET) else fault
        for connection in self.open:
            if fault is Fault.RESET:
                reset(connection)
            # Bytes that a cut held up are lost, so the connection cannot go on.
            elif fault is not Fault.NONE and fault is not Fault.DELAY:
                connection.is_silent = connection.is_silent or fault is Fault.SILENT

    def passes(self, connection: Connection, is_to_target: bool) -> bool:
        """Tell whether bytes of one direction get through."""
        if connection.is_silent or self.fault is Fault.CUT:
            return False
        return not (self.fault is Fault.ONE_WAY and is_to_target)


def reset(connection: Connection) -> None:
    """Reset both halves of a connection."""
    for stream in (connection.near, connection.far):
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    connection.scope.cancel()


async def pump(link: Link, connection: Connection, is_to_target: bool) -> None:
    """Carry bytes one way until the connection ends."""
    source, sink = connection.near, connection.far
    if not is_to_target:
        source, sink = sink, source
    try:
        async for data in source:
            if link.fault is Fault.DELAY:
                await anyio.sleep(DELAY_SECONDS)
            if not link.passes(connection, is_to_target):
                connection.is_silent = True
                continue
            await sink.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    if not connection.is_silent:
        connection.scope.cancel()


async def serve(link: Link, near: SocketStream) -> None:
    """Carry one connection."""
    async with near:
        try:
            far = await anyio.connect_tcp(*link.target)
        except OSError:
            return
        async with far:
            connection = Connection(near=near, far=far)
            link.open.add(connection)
            try:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(pump, link, connection, True)
                        group.start_soon(pump, link, connection, False)
            finally:
                link.open.discard(connection)


async def listen(link: Link) -> None:
    """Accept the connections of a link."""
    listener = await anyio.create_tcp_listener(
        local_host=link.listen.host, local_port=link.listen.port
    )
    print(f"listening {link.name}", flush=True)
    await listener.serve(lambda near: serve(link, near))


async def apply_commands(links: dict[str, Link]) -> None:
    """Set the faults that lines of standard input name, until it ends."""
    descriptor = sys.stdin.fileno()
    pending = b""
    while True:
        await anyio.wait_readable(descriptor)
        data = sys.stdin.buffer.raw.read(READ_BYTES)  # type: ignore[attr-defined]
        if not data:
            return
        *lines, pending = (pending + data).split(b"\n")
        for line in lines:
            name, fault = line.decode().split()
            links[name].set_fault(Fault(fault))


def parse_address(text: str) -> Address:
    """Return an address of ``HOST:PORT``."""
    host, port = text.split(":")
    return Address(host=host, port=int(port))


async def run(arguments: list[str]) -> None:
    """Serve links until standard input ends."""
    links = {}
    for argument in arguments:
        name, near, far = argument.split("=")
        links[name] = Link(
            name=name, listen=parse_address(near), target=parse_address(far)
        )
    async with anyio.create_task_group() as group:
        for link in links.values():
            group.start_soon(listen, link)
        await apply_commands(links)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(run, sys.argv[1:])
