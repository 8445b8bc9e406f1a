"""A minimal HTTP server for announcements, operators and metrics."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from ssl import SSLContext, SSLError

import anyio
import h11
from anyio import BrokenResourceError, EndOfStream
from anyio.abc import ByteStream, SocketListener, TaskGroup
from anyio.streams.tls import TLSStream

from ..errors import ChervilstageError
from ..state.types import Address
from .accepting import accept_until_stopped
from .application import StopHook
from .arrival_bound import ArrivalBound
from .call_arrival import estimate_arrival, make_idle_bound, track_stalls
from .event_log import log_event
from .handler_failures import FailureReporter
from .http_connection import (
    HttpConnection,
    HttpRequest,
    HttpResponse,
    header_list,
    header_map,
)
from .open_connections import IDLE_TIMEOUT_SECONDS, LAST_READ_SECONDS, OpenConnections

STATUS_FAILED = 500
MAXIMUM_BODY_BYTES = 4 * 1024 * 1024
HANDSHAKE_TIMEOUT_SECONDS = 10.0
# Callers in the same network send a request as soon as they have connected, and the
# whole planned stop takes only seconds.
FIRST_REQUEST_SECONDS = 0.3
DRAIN_TIMEOUT_SECONDS = 2.0

HttpHandler = Callable[[HttpRequest], Awaitable[HttpResponse]]


async def start_http_server(
    group: TaskGroup,
    address: Address,
    handler: HttpHandler,
    report_failure: FailureReporter,
    tls: SSLContext | None = None,
) -> StopHook:
    """Bind an address, answer requests with the handler, and return a drain hook.

    The drain accepts no further connections, and answers each request that was sent on
    a connection that its caller had opened by then.

    :param report_failure: reports failures that end a connection.
    :param tls: the certificate and key to serve over TLS, if any.
    """
    (listener,) = (
        await anyio.create_tcp_listener(
            local_host=address.host, local_port=address.port
        )
    ).listeners
    assert isinstance(listener, SocketListener)
    arrivals = make_idle_bound()
    connections = OpenConnections(first_request_seconds=FIRST_REQUEST_SECONDS)
    listener_closed = anyio.Event()
    reporting_handler = report_handler_failures(handler, report_failure)

    async def serve(stream: ByteStream) -> None:
        """Answer the requests of one connection with the handler."""
        try:
            if tls is not None:
                tls_stream = await _handshake(stream, tls)
                if tls_stream is None:
                    return
                stream = tls_stream
            await serve_http(stream, reporting_handler, arrivals, connections)
        except Exception as error:
            # The handler's own failures are answered; this one is of the connection.
            report_failure(error)

    async def listen() -> None:
        """Accept connections until the drain."""
        async with listener:
            await accept_until_stopped(listener, serve, group, connections.accept_scope)
        listener_closed.set()

    group.start_soon(track_stalls, arrivals)
    group.start_soon(listen)
    return partial(_drain, connections, listener_closed)


def report_handler_failures(
    handler: HttpHandler, report_failure: FailureReporter
) -> HttpHandler:
    """Return a handler that answers failures without a typed error with a 500."""

    async def handle(request: HttpRequest) -> HttpResponse:
        """Answer a request, also if the handler fails."""
        try:
            return await handler(request)
        except ChervilstageError:
            raise
        except Exception as error:
            response = error_response(STATUS_FAILED, report_failure(error))
            headers = {**response.headers, "connection": "close"}
            return response._replace(headers=headers)

    return handle


async def _drain(connections: OpenConnections, listener_closed: anyio.Event) -> None:
    """Answer the requests that have been sent, and close the connections.

    :param listener_closed: set once no further connection is accepted.
    """
    connections.stopping = True
    connections.stop_listening()
    await listener_closed.wait()
    # Lets the connections that were accepted last start waiting for a request.
    await anyio.sleep(LAST_READ_SECONDS)
    connections.close_idle()
    with anyio.move_on_after(DRAIN_TIMEOUT_SECONDS):
        await connections.wait_drained()


async def _handshake(stream: ByteStream, tls: SSLContext) -> ByteStream | None:
    """Return the stream over TLS, or None if the handshake failed."""
    try:
        with anyio.fail_after(HANDSHAKE_TIMEOUT_SECONDS):
            return await TLSStream.wrap(
                stream, server_side=True, ssl_context=tls, standard_compatible=False
            )
    except (TimeoutError, SSLError, EndOfStream, BrokenResourceError, OSError) as error:
        log_event("handshake_failed", level=logging.WARNING, reason=error)
        await anyio.aclose_forcefully(stream)
        return None


async def serve_http(
    stream: ByteStream,
    handler: HttpHandler,
    arrivals: ArrivalBound | None = None,
    connections: OpenConnections | None = None,
) -> None:
    """Answer the requests of one connection.

    :param arrivals: bounds how long requests may have waited, if stalls are tracked.
    :param connections: the open connections of the listener, if they are tracked.
    """
    listener_connections = connections or OpenConnections()
    async with stream:
        connection = HttpConnection(stream=stream, role=h11.SERVER)
        is_first = True
        with suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError
        ):
            while await _serve_request(
                connection, handler, arrivals, listener_connections, is_first
            ):
                is_first = False


async def _serve_request(
    connection: HttpConnection,
    handler: HttpHandler,
    arrivals: ArrivalBound | None,
    listener_connections: OpenConnections,
    is_first: bool,
) -> bool:
    try:
        head = await listener_connections.next_request(connection, is_first)
        if head is None:
            return False
        with listener_connections.count_request():
            response = await _handle_request(connection, head, handler, arrivals)
            await _respond(connection, response, listener_connections)
    except ChervilstageError as error:
        log_event(
            "request_refused", level=logging.WARNING, code=error.code, reason=error
        )
        await _respond(connection, error_response(400, error), listener_connections)
    return not listener_connections.stopping and connection.can_continue()


async def _handle_request(
    connection: HttpConnection,
    head: h11.Request,
    handler: HttpHandler,
    arrivals: ArrivalBound | None,
) -> HttpResponse:
    """Read the body of a request and return the response of the handler."""
    with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
        body = await connection.read_body(MAXIMUM_BODY_BYTES)
    request = HttpRequest(
        method=head.method.decode("ascii"),
        target=head.target.decode("ascii"),
        headers=header_map(head.headers),
        body=body,
        arrival=estimate_arrival(connection.stream, arrivals),
    )
    return await handler(request)


async def _respond(
    connection: HttpConnection,
    response: HttpResponse,
    listener_connections: OpenConnections,
) -> None:
    """Send a response, and close the connection after it during a stop."""
    if listener_connections.stopping:
        headers = {**response.headers, "connection": "close"}
        response = response._replace(headers=headers)
    await send_response(connection, response)


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
