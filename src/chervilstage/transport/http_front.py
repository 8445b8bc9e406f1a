"""The HTTP/1.1 front ends: requests of callers to upstreams and answers back."""

from __future__ import annotations

from contextlib import suppress

import anyio
import h11
from anyio import CancelScope
from anyio.abc import ByteStream, SocketStream, TaskGroup

from ..errors import ChervilstageError
from ..errors.requests import (
    MalformedRequestError,
    OutcomeUnknownError,
    RequestNotRunError,
)
from ..errors.upstreams import NoUpstreamError
from ..state.capacity import AttemptResult, Permit
from ..state.configuration import Service
from ..state.counters import Counters
from ..state.types import UpstreamRecord
from .capacity import UpstreamCapacity
from .event_log import log_event
from .http_connection import HttpConnection, HttpResponse
from .http_server import error_response, send_response

TIMEOUT_HEADER = "chervilstage-timeout-ms"
OUTCOME_HEADER = "chervilstage-outcome"
ACQUIRE_SECONDS = 1.0
CONNECT_SECONDS = 1.0
IDLE_SECONDS = 60.0


class HttpFrontEnd:
    """Relays the requests of one service.

    :param host: the address of this entry for callers.
    """

    def __init__(
        self,
        *,
        host: str,
        service: Service,
        capacity: UpstreamCapacity,
        counters: Counters,
    ) -> None:
        self.host = host
        self.service = service
        self.capacity = capacity
        self.counters = counters

    async def serve_connection(self, stream: ByteStream) -> None:
        """Relay the requests of one caller's connection."""
        async with stream:
            connection = HttpConnection(stream=stream, role=h11.SERVER)
            with suppress(
                anyio.BrokenResourceError, anyio.ClosedResourceError, TimeoutError
            ):
                while await self.serve_request(connection):
                    pass

    async def serve_request(self, connection: HttpConnection) -> bool:
        """Relay one request and tell whether the connection can go on."""
        try:
            with anyio.fail_after(IDLE_SECONDS):
                request = await connection.next_event()
            if not isinstance(request, h11.Request):
                return False
            await self.relay(connection, request)
        except ChervilstageError as error:
            self.counters.add("requests_failed", error.code)
            if connection.codec.our_state is not h11.SEND_RESPONSE:
                return False
            await send_response(connection, failure_response(error))
        return connection.can_continue()

    async def relay(self, caller: HttpConnection, request: h11.Request) -> None:
        """Send a request to an upstream and stream the answer back.

        :raises RequestNotRunError: nothing was sent to an upstream.
        :raises OutcomeUnknownError: the request was sent but no answer came.
        """
        permit = await self.acquire()
        result = AttemptResult.FAILED
        try:
            stream = await self.connect(permit.upstream)
            async with stream:
                target = HttpConnection(stream=stream, role=h11.CLIENT)
                await send_request(caller, target, request)
                await return_response(caller, target)
            result = AttemptResult.SUCCEEDED
        except (OSError, anyio.BrokenResourceError, MalformedRequestError) as error:
            raise OutcomeUnknownError(reason=type(error).__name__) from error
        finally:
            seconds = anyio.current_time() - permit.granted_at
            self.capacity.release(permit=permit, result=result, seconds=seconds)
        self.counters.add("requests_answered", self.service.name)

    async def acquire(self) -> Permit:
        """Return a permit for one attempt.

        :raises RequestNotRunError: no upstream can take it.
        """
        try:
            return await self.capacity.acquire(
                service=self.service.name,
                excluded=frozenset(),
                deadline=anyio.current_time() + ACQUIRE_SECONDS,
            )
        except NoUpstreamError as error:
            raise RequestNotRunError(reason=error) from error

    async def connect(self, upstream: UpstreamRecord) -> SocketStream:
        """Open a connection to an upstream.

        :raises RequestNotRunError: it does not accept connections.
        """
        try:
            with anyio.fail_after(CONNECT_SECONDS):
                return await anyio.connect_tcp(*upstream.request_address)
        except (OSError, TimeoutError) as error:
            raise RequestNotRunError(reason=error) from error

    async def listen(self, scope: CancelScope) -> None:
        """Accept callers until the scope is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host=self.host, local_port=self.service.tcp_port
        )
        log_event(
            "request_front_end_listening",
            service=self.service.name,
            address=f"{self.host}:{self.service.tcp_port}",
        )
        with scope:
            await listener.serve(self.serve_connection)

    def start(self, group: TaskGroup) -> CancelScope:
        """Begin to listen; cancelling the returned scope ends it."""
        scope = CancelScope()
        group.start_soon(self.listen, scope)
        return scope


async def send_request(
    caller: HttpConnection, target: HttpConnection, request: h11.Request
) -> None:
    """Stream a caller's request to an upstream."""
    await target.send(
        h11.Request(
            method=request.method, target=request.target, headers=request.headers
        )
    )
    async for chunk in caller.body_chunks():
        await target.send(h11.Data(data=chunk))
    await target.send(h11.EndOfMessage())


async def return_response(caller: HttpConnection, target: HttpConnection) -> None:
    """Stream an upstream's answer to the caller.

    :raises OutcomeUnknownError: the upstream closed without an answer.
    """
    event = await target.next_event()
    if not isinstance(event, h11.Response):
        raise OutcomeUnknownError(reason="upstream closed the connection")
    await caller.send(
        h11.Response(status_code=event.status_code, headers=event.headers)
    )
    async for chunk in target.body_chunks():
        await caller.send(h11.Data(data=chunk))
    await caller.send(h11.EndOfMessage())


def failure_response(error: ChervilstageError) -> HttpResponse:
    """Return the response that tells the caller the outcome of a failed request."""
    if isinstance(error, RequestNotRunError):
        response = error_response(503, error)
        return _with_outcome(response, "not-run")
    if isinstance(error, OutcomeUnknownError):
        return _with_outcome(error_response(504, error), "unknown")
    return _with_outcome(error_response(400, error), "not-run")


def _with_outcome(response: HttpResponse, outcome: str) -> HttpResponse:
    return response._replace(headers={**response.headers, OUTCOME_HEADER: outcome})
