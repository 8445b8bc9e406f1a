"""A small HTTP server for announcements, operators and metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from ssl import SSLContext
from typing import Any

import anyio
import h11
from anyio.abc import ByteStream, Listener, TaskGroup
from anyio.streams.tls import TLSListener

from ..errors import ChervilstageError
from ..state.types import Address
from .arrival_bound import ArrivalBound
from .call_arrival import arrival_of, idle_arrivals, watch_arrivals
from .event_log import log_event
from .http_connection import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    header_list,
    header_map,
)

IDLE_SECONDS = 60.0
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024

HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def start_http_server(
    group: TaskGroup,
    address: Address,
    handler: HttpHandler,
    tls: SSLContext | None = None,
) -> None:
    """Bind an address and answer requests with the handler until cancelled.

    :param tls: the certificate and key to serve over TLS, if any.
    """
    listener: Listener[Any] = await anyio.create_tcp_listener(
        local_host=address.host, local_port=address.port
    )
    if tls is not None:
        listener = TLSListener(listener, tls, standard_compatible=False)

    arrivals = idle_arrivals()

    async def serve(stream: ByteStream) -> None:
        """Answer the requests of one connection with the handler."""
        await serve_http(stream, handler, arrivals)

    group.start_soon(watch_arrivals, arrivals)
    group.start_soon(listener.serve, serve)


async def serve_http(
    stream: ByteStream, handler: HttpHandler, arrivals: ArrivalBound | None = None
) -> None:
    """Answer the requests of one connection.

    :param arrivals: bounds how long requests may have waited, if stalls are watched.
    """
    async with stream:
        connection = HttpConnection(stream=stream, role=h11.SERVER)
        with suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError
        ):
            while await _serve_one(connection, handler, arrivals):
                pass


async def _serve_one(
    connection: HttpConnection, handler: HttpHandler, arrivals: ArrivalBound | None
) -> bool:
    try:
        with anyio.fail_after(IDLE_SECONDS):
            request = await _read_request(connection)
        if request is None:
            return False
        arrival = arrival_of(connection.stream, arrivals)
        response = await handler(request._replace(arrival=arrival))
    except ChervilstageError as error:
        log_event(
            "request_refused", level=logging.WARNING, code=error.code, reason=error
        )
        response = error_response(400, error)
    await send_response(connection, response)
    return connection.can_continue()


async def _read_request(connection: HttpConnection) -> HttpRequest | None:
    event = await connection.next_event()
    if not isinstance(event, h11.Request):
        return None
    body = await connection.read_body(MAXIMUM_BODY_BYTES)
    return HttpRequest(
        method=event.method.decode("ascii"),
        target=event.target.decode("ascii"),
        headers=header_map(event.headers),
        body=body,
    )


async def send_response(connection: HttpConnection, response: HttpResponse) -> None:
    """Send a whole response."""
    headers = {**response.headers, "content-length": str(len(response.body))}
    await connection.send(
        h11.Response(status_code=response.status, headers=header_list(headers))
    )
    await connection.send(h11.Data(data=response.body))
    await connection.send(h11.EndOfMessage())


def error_response(status: int, error: ChervilstageError) -> HttpResponse:
    """Return the response that reports a typed error."""
    return HttpResponse(
        status=status,
        headers={
            "content-type": "text/plain; charset=utf-8",
            "chervilstage-code": error.code,
        },
        body=f"{error.code} {error}\n".encode(),
    )
