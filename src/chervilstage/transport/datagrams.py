"""Non-blocking UDP sockets, read in bounded batches."""

from __future__ import annotations

import socket
from collections.abc import Callable

import anyio
import anyio.lowlevel

from ..state.types import Address

DATAGRAMS_PER_BATCH = 64
MAXIMUM_DATAGRAM_BYTES = 65_535
RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024
# The value that fileno() returns for a closed socket.
CLOSED_DESCRIPTOR = -1

DatagramHandler = Callable[[bytes, tuple[str, int]], None]


def open_datagram_socket(host: str, port: int) -> socket.socket:
    """Return a bound non-blocking UDP socket; port 0 selects a free port."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.bind((host, port))
    return sock


def bound_address(sock: socket.socket) -> Address:
    """Return the local address of a socket."""
    host, port = sock.getsockname()[:2]
    return Address(host=host, port=port)


async def receive_datagrams(
    sock: socket.socket,
    handler: DatagramHandler,
    on_drained: Callable[[], None] | None = None,
) -> None:
    """Pass each datagram to the handler until cancelled or the socket is closed.

    The loop yields to other tasks after each full batch. During a planned stop the
    socket may be closed before this task is cancelled.

    :param on_drained: called whenever the receive buffer is empty.
    """
    receive = sock.recvfrom
    while sock.fileno() != CLOSED_DESCRIPTOR:
        try:
            for _ in range(DATAGRAMS_PER_BATCH):
                data, sender = receive(MAXIMUM_DATAGRAM_BYTES)
                handler(data, sender)
            await anyio.lowlevel.checkpoint()
        except BlockingIOError:
            if on_drained is not None:
                on_drained()
            await anyio.wait_readable(sock)
        except ConnectionRefusedError:
            # Linux reports an ICMP error for an earlier send on the next receive.
            continue
        except OSError:
            if sock.fileno() != CLOSED_DESCRIPTOR:
                raise


def send_datagram(sock: socket.socket, data: bytes, to: tuple[str, int]) -> bool:
    """Send one datagram and return whether the kernel accepted it."""
    try:
        sock.sendto(data, to)
    except OSError:
        return False
    return True
