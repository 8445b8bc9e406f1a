"""Kept connections to upstreams."""

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

CONNECT_SECONDS = 1.0
# Shorter than the idle limits that upstreams usually have.
IDLE_SECONDS = 15.0
MAXIMUM_IDLE = 64
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3


class IdleConnection(NamedTuple):
    """A connection without a request, and since when."""

    connection: HttpConnection
    since: float


class UpstreamPool:
    """Connections to upstreams, by identity.

    The kernel probes idle connections and closes those that went silent; a
    connection that is closed or has unasked data is not used again.
    """

    def __init__(self, *, counters: Counters) -> None:
        self.counters = counters
        self.idle: dict[UpstreamId, list[IdleConnection]] = defaultdict(list)

    async def take(self, upstream: UpstreamRecord, fresh: bool) -> HttpConnection:
        """Return a connection without a request.

        :param fresh: never use a kept one.
        :raises OSError: the upstream does not accept connections.
        :raises TimeoutError: it does not accept in time.
        """
        kept = self.idle[upstream.identity]
        while kept and not fresh:
            connection, since = kept.pop()
            if anyio.current_time() - since < IDLE_SECONDS and is_quiet(connection):
                return connection
            self.counters.add("upstream_connections_closed", "stale")
            await discard(connection)
        with anyio.fail_after(CONNECT_SECONDS):
            stream = await anyio.connect_tcp(*upstream.request_address)
        probe_when_idle(stream)
        self.counters.add("upstream_connections_opened", upstream.identity.service)
        return HttpConnection(stream=stream, role=h11.CLIENT)

    async def give(self, upstream: UpstreamRecord, connection: HttpConnection) -> None:
        """Keep a connection whose exchange is complete, or close it.

        An upstream that does not name the attempt of an answer may send a second copy
        of it, which would pass for the answer to the next request.
        """
        kept = self.idle[upstream.identity]
        may_keep = connection.names_attempts and connection.can_continue()
        if len(kept) < MAXIMUM_IDLE and may_keep:
            item = IdleConnection(connection=connection, since=anyio.current_time())
            kept.append(item)
        else:
            await discard(connection)

    async def forget(self, upstream: UpstreamRecord) -> None:
        """Close the kept connections to an upstream; one of its own went silent."""
        for item in self.idle.pop(upstream.identity, []):
            self.counters.add("upstream_connections_closed", "silent")
            await discard(item.connection)

    async def close_old(self) -> None:
        """Close what has been idle for too long."""
        limit = anyio.current_time() - IDLE_SECONDS
        for identity, kept in list(self.idle.items()):
            self.idle[identity] = [item for item in kept if item.since >= limit]
            if not self.idle[identity]:
                del self.idle[identity]
            for item in kept:
                if item.since < limit:
                    await discard(item.connection)


async def discard(connection: HttpConnection) -> None:
    """Close a connection at once; the upstream sees an unfinished request cut."""
    await anyio.aclose_forcefully(connection.stream)


def is_quiet(connection: HttpConnection) -> bool:
    """Tell whether an idle connection is open and has no data that nobody asked for."""
    if connection.codec.trailing_data[0]:
        return False
    raw: socket.socket = connection.stream.extra(SocketAttribute.raw_socket)
    # Unlike select, poll has no limit on file descriptors.
    poll = select.poll()
    poll.register(raw.fileno(), select.POLLIN)
    return not poll.poll(0)


def probe_when_idle(stream: SocketStream) -> None:
    """Let the kernel probe an idle connection."""
    raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
