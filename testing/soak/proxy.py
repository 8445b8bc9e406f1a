"""A loopback proxy that delays, resets, silences and cuts connections on command.

Run as ``python -m testing.soak.proxy NAME=HOST:PORT=HOST:PORT ...``: each argument is
a link with the address to listen on and the one to connect to. A line ``NAME FAULT``
on standard input sets the fault of a link.
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
# SO_LINGER with a timeout of 0: closing the socket resets the connection.
RESET_AT_CLOSE = struct.pack("ii", 1, 0)


class Fault(StrEnum):
    """The fault that a link applies to its connections.

    ``SILENT`` applies permanently to the connections that are open when it is set;
    ``RESET`` closes those. The others apply until the next command, but a connection
    that has lost bytes to them stays silent.
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
    """A connection through a link: the accepted and the outgoing stream."""

    def __init__(self, *, accepted: SocketStream, outgoing: SocketStream) -> None:
        self.accepted = accepted
        self.outgoing = outgoing
        self.is_silent = False
        self.scope = CancelScope()


class Link:
    """A listening address, its target address, and the connections through it."""

    def __init__(self, *, name: str, listen: Address, target: Address) -> None:
        self.name = name
        self.listen = listen
        self.target = target
        self.fault = Fault.NONE
        self.connections: set[Connection] = set()

    def set_fault(self, fault: Fault) -> None:
        """Set the fault of the link."""
        self.fault = Fault.NONE if fault in (Fault.SILENT, Fault.RESET) else fault
        for connection in self.connections:
            if fault is Fault.RESET:
                reset(connection)
            elif fault is not Fault.NONE and fault is not Fault.DELAY:
                connection.is_silent = connection.is_silent or fault is Fault.SILENT

    def should_forward(self, connection: Connection, is_to_target: bool) -> bool:
        """Return whether bytes of one direction are forwarded."""
        if connection.is_silent or self.fault is Fault.CUT:
            return False
        return not (self.fault is Fault.ONE_WAY and is_to_target)


def reset(connection: Connection) -> None:
    """Reset both streams of a connection."""
    for stream in (connection.accepted, connection.outgoing):
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    connection.scope.cancel()


async def forward(link: Link, connection: Connection, is_to_target: bool) -> None:
    """Forward bytes in one direction until the connection ends."""
    source, sink = connection.accepted, connection.outgoing
    if not is_to_target:
        source, sink = sink, source
    try:
        async for data in source:
            if link.fault is Fault.DELAY:
                await anyio.sleep(DELAY_SECONDS)
            if not link.should_forward(connection, is_to_target):
                # The discarded bytes are lost, so the connection cannot continue.
                connection.is_silent = True
                continue
            await sink.send(data)
    except (anyio.BrokenResourceError, anyio.ClosedResourceError):
        pass
    if not connection.is_silent:
        connection.scope.cancel()


async def serve(link: Link, accepted: SocketStream) -> None:
    """Serve one connection."""
    async with accepted:
        try:
            outgoing = await anyio.connect_tcp(*link.target)
        except OSError:
            return
        async with outgoing:
            connection = Connection(accepted=accepted, outgoing=outgoing)
            link.connections.add(connection)
            try:
                with connection.scope:
                    async with anyio.create_task_group() as group:
                        group.start_soon(forward, link, connection, True)
                        group.start_soon(forward, link, connection, False)
            finally:
                link.connections.discard(connection)


async def listen(link: Link) -> None:
    """Accept the connections of a link."""
    listener = await anyio.create_tcp_listener(
        local_host=link.listen.host, local_port=link.listen.port
    )
    print(f"listening {link.name}", flush=True)
    await listener.serve(lambda accepted: serve(link, accepted))


async def apply_commands(links: dict[str, Link]) -> None:
    """Set the faults given by lines on standard input, until it ends."""
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
    """Parse an address of the form ``HOST:PORT``."""
    host, port = text.split(":")
    return Address(host=host, port=int(port))


async def run(arguments: list[str]) -> None:
    """Serve links until standard input ends."""
    links = {}
    for argument in arguments:
        name, listen_address, target = argument.split("=")
        links[name] = Link(
            name=name,
            listen=parse_address(listen_address),
            target=parse_address(target),
        )
    async with anyio.create_task_group() as group:
        for link in links.values():
            group.start_soon(listen, link)
        await apply_commands(links)
        group.cancel_scope.cancel()


if __name__ == "__main__":
    anyio.run(run, sys.argv[1:])
