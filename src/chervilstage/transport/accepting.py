"""Accepts connections up to a planned stop without resetting any."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Coroutine
from typing import Any

import anyio
from anyio import CancelScope
from anyio.abc import SocketAttribute, SocketListener, SocketStream, TaskGroup

from .event_log import log_event

# Delay after a failed accept, as when the process has no free file descriptors.
ACCEPT_RETRY_SECONDS = 0.1

ConnectionHandler = Callable[[SocketStream], Coroutine[Any, Any, None]]


async def accept_until_stopped(
    listener: SocketListener,
    handler: ConnectionHandler,
    group: TaskGroup,
    accept_scope: CancelScope,
) -> None:
    """Accept connections until a scope is cancelled, then the rest of the backlog.

    Closing a listener resets the connections that callers have opened and that are
    not accepted yet, along with the requests already sent on them.

    :param handler: serves one connection.
    :param group: the task group that runs the handlers.
    :param accept_scope: cancelled at a planned stop.
    """
    listener_socket: socket.socket = listener.extra(SocketAttribute.raw_socket)
    with accept_scope:
        while True:
            await anyio.wait_readable(listener_socket)
            await accept_backlog(listener_socket, handler, group)
    await accept_backlog(listener_socket, handler, group)


async def accept_backlog(
    listener_socket: socket.socket, handler: ConnectionHandler, group: TaskGroup
) -> None:
    """Accept the connections in the backlog, without losing one if cancelled.

    :param listener_socket: a non-blocking listening socket.
    """
    while True:
        try:
            connection, _ = listener_socket.accept()
        except BlockingIOError:
            return
        except OSError as error:
            log_event("accept_failed", level=logging.WARNING, reason=error)
            await anyio.sleep(ACCEPT_RETRY_SECONDS)
            return
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            with CancelScope(shield=True):
                stream = await SocketStream.from_socket(connection)
        except (OSError, ValueError) as error:
            # The caller has already closed the connection.
            log_event("connection_gone", reason=error)
            connection.close()
        else:
            group.start_soon(handler, stream)
