"""A pool of idle connections to upstreams."""

from __future__ import annotations

import select
import socket
from collections import defaultdict
from typing import NamedTuple

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from ..state.counters import Counters
from ..state.types import UpstreamId, UpstreamRecord
from .http_connection import HttpConnection

CONNECT_TIMEOUT_SECONDS = 1.0
# Shorter than the idle timeouts that upstreams usually have.
IDLE_TIMEOUT_SECONDS = 15.0
MAXIMUM_IDLE_PER_UPSTREAM = 64
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3


class IdleConnection(NamedTuple):
    """A connection without a request, and when it became idle, in monotonic seconds."""

    connection: HttpConnection
    idle_since: float


class UpstreamPool:
    """Idle connections to upstreams, by the identity of the upstream.

    The kernel probes idle connections and closes those whose peer does not respond. A
    connection that is closed, or that has received unsolicited data, is not reused.
    """

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.idle: dict[UpstreamId, list[IdleConnection]] = defaultdict(list)

    async def get_connection(
        self, upstream: UpstreamRecord, must_connect: bool
    ) -> HttpConnection:
        """Return a connection without a request.

        :param must_connect: whether to open a new one instead of reusing an idle one.
        :raises OSError: the upstream does not accept connections.
        :raises TimeoutError: the upstream does not accept in time.
        """
        idle_connections = self.idle[upstream.identity]
        while idle_connections and not must_connect:
            connection, idle_since = idle_connections.pop()
            if (
                anyio.current_time() - idle_since < IDLE_TIMEOUT_SECONDS
                and has_no_pending_input(connection)
            ):
                return connection
            self.counters.add("upstream_connections_closed", "stale")
            await discard(connection)
        with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
            stream = await anyio.connect_tcp(*upstream.request_address)
        enable_keepalive(stream)
        self.counters.add("upstream_connections_opened", upstream.identity.service)
        return HttpConnection(stream=stream, role=h11.CLIENT)

    async def return_connection(
        self, upstream: UpstreamRecord, connection: HttpConnection
    ) -> None:
        """Keep a connection whose exchange is complete for reuse, or close it.

        An upstream that sends no attempt id with an answer may send a second copy of
        the answer, which would be taken for the answer to the next request.
        """
        idle_connections = self.idle[upstream.identity]
        can_keep = connection.has_attempt_ids and connection.can_continue()
        if len(idle_connections) < MAXIMUM_IDLE_PER_UPSTREAM and can_keep:
            item = IdleConnection(
                connection=connection, idle_since=anyio.current_time()
            )
            idle_connections.append(item)
        else:
            await discard(connection)

    async def close_idle(self, upstream: UpstreamRecord) -> None:
        """Close the idle connections to an upstream that did not answer in time."""
        for item in self.idle.pop(upstream.identity, []):
            self.counters.add("upstream_connections_closed", "silent")
            await discard(item.connection)

    async def close_expired(self) -> None:
        """Close the connections that have been idle for too long."""
        idle_cutoff = anyio.current_time() - IDLE_TIMEOUT_SECONDS
        for identity, idle_connections in list(self.idle.items()):
            self.idle[identity] = [
                item for item in idle_connections if item.idle_since >= idle_cutoff
            ]
            if not self.idle[identity]:
                del self.idle[identity]
            for item in idle_connections:
                if item.idle_since < idle_cutoff:
                    await discard(item.connection)


async def discard(connection: HttpConnection) -> None:
    """Close a connection at once; the upstream sees a truncated request, if any."""
    await anyio.aclose_forcefully(connection.stream)


def has_no_pending_input(connection: HttpConnection) -> bool:
    """Return whether a connection is open and has no unread data."""
    if connection.codec.trailing_data[0]:
        return False
    raw: socket.socket = connection.stream.extra(SocketAttribute.raw_socket)
    # Unlike select, poll has no limit on file descriptors.
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return not poll.poll(0)


def enable_keepalive(stream: SocketStream) -> None:
    """Enable the TCP probes that the kernel sends while a connection is idle."""
    raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
