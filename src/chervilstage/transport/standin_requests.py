"""The HTTP front end of a stand-in upstream."""

from __future__ import annotations

import hashlib
import json
import time
from contextlib import suppress
from random import Random

import anyio
import h11
from anyio.abc import ByteStream

from ..coordination.standin import (
    Arrival,
    ConnectionKind,
    Refusal,
    accept_connection,
    finish_request,
    is_reported_healthy,
    try_start_request,
    work_time_factor,
)
from ..errors import ChervilstageError
from ..errors.requests import MalformedRequestError
from ..protocol.request_headers import FEED_HEADER
from ..state.load_packets import UpstreamName
from ..state.standin import StandinState
from .http_connection import READ_BYTES, HttpConnection, HttpResponse, header_map
from .http_server import send_response

FEED_INTERVAL_SECONDS = 1.0
SWAP_TIMEOUT_SECONDS = 0.3
MAXIMUM_UPLOAD_BYTES = 64 * 1024 * 1024
TIMEOUT_HEADER = "chervilstage-timeout-ms"
ECHOED_HEADERS = ("chervilstage-attempt-id", "load-request", "load-attempt")


class PendingAnswer:
    """An answer that waits to be swapped with another one."""

    def __init__(self, *, response: HttpResponse) -> None:
        self.response = response
        self.swapped = anyio.Event()


class StandinRequests:
    """Answers the requests of entries, with the configured faults.

    :param work_seconds: the duration of one request on a warm stand-in.
    """

    def __init__(
        self,
        *,
        name: UpstreamName,
        state: StandinState,
        work_seconds: float,
        rng: Random,
    ) -> None:
        self.name = name
        self.state = state
        self.work_seconds = work_seconds
        self.rng = rng
        self.pending: PendingAnswer | None = None
        self.open_scopes: dict[int, anyio.CancelScope] = {}
        self.silenced_connections: set[int] = set()
        self.active_answers = 0
        self.idle = anyio.Event()

    def silence_open_connections(self) -> None:
        """Stop answering on the connections that are open now."""
        self.silenced_connections.update(self.open_scopes)
        for scope in self.open_scopes.values():
            scope.cancel()

    async def wait_idle(self) -> None:
        """Wait until every received request is answered completely."""
        while self.active_answers:
            self.idle = anyio.Event()
            await self.idle.wait()

    async def serve_connection(self, stream: ByteStream) -> None:
        """Answer the requests of one connection."""
        async with stream:
            connection_id = id(stream)
            if accept_connection(self.state) is ConnectionKind.SILENT:
                await anyio.sleep_forever()
            with anyio.CancelScope() as scope:
                self.open_scopes[connection_id] = scope
                try:
                    await self.serve_requests(stream)
                finally:
                    del self.open_scopes[connection_id]
            if connection_id in self.silenced_connections:
                await anyio.sleep_forever()

    async def serve_requests(self, stream: ByteStream) -> None:
        """Answer requests until the connection ends."""
        connection = HttpConnection(stream=stream, role=h11.SERVER)
        with suppress(
            anyio.BrokenResourceError, anyio.ClosedResourceError, ChervilstageError
        ):
            while await self.serve_request(connection):
                pass

    async def serve_request(self, connection: HttpConnection) -> bool:
        """Answer one request and return whether the connection can be kept."""
        request = await connection.next_event()
        if not isinstance(request, h11.Request):
            return False
        arrived_at = time.time()
        try:
            body = await connection.read_body(MAXIMUM_UPLOAD_BYTES)
        except MalformedRequestError:
            self.state.count(uploads_cut=1)
            raise
        self.active_answers += 1
        try:
            await self.serve_complete_request(connection, request, body, arrived_at)
        finally:
            self.active_answers -= 1
            self.idle.set()
        return connection.can_continue()

    async def serve_complete_request(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived_at: float,
    ) -> None:
        """Answer a request that has been received completely.

        :param arrived_at: when its headers arrived, in Unix seconds.
        """
        if request.target.startswith(b"/feed"):
            await self.serve_feed(connection, request)
        elif request.target == b"/health":
            await send_response(connection, self.health())
        else:
            await self.serve_work(connection, request, body, arrived_at)

    async def serve_work(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived_at: float,
    ) -> None:
        """Run a request, or reject it before it runs."""
        headers = header_map(request.headers)
        arrival = make_arrival(headers, arrived_at)
        service = self.name.service
        refusal = try_start_request(self.state, arrival, service, time.time(), self.rng)
        if refusal:
            response = refusal_response(refusal)
            response_headers = {**response.headers, **echoed_headers(headers)}
            await send_response(connection, response._replace(headers=response_headers))
            return
        completed = False
        try:
            completed = await self.work(connection)
        finally:
            finish_request(self.state, completed=completed)
        if not completed:
            raise anyio.BrokenResourceError
        answer = self.answer(request, headers, body, arrival)
        await self.deliver(connection, answer)

    async def work(self, connection: HttpConnection) -> bool:
        """Simulate the work and return whether the caller stayed connected."""
        is_connected = True
        seconds = self.work_seconds * work_time_factor(self.state)
        seconds += self.state.faults.late_ms / 1000
        async with anyio.create_task_group() as group:

            async def watch_connection() -> None:
                """Cancel the work when the caller closes its connection."""
                nonlocal is_connected
                await wait_closed(connection)
                is_connected = False
                group.cancel_scope.cancel()

            group.start_soon(watch_connection)
            await anyio.sleep(seconds)
            group.cancel_scope.cancel()
        return is_connected

    def answer(
        self,
        request: h11.Request,
        headers: dict[str, str],
        body: bytes,
        arrival: Arrival,
    ) -> HttpResponse:
        """Return the answer to a request that has run."""
        padding = "x" * min(int(headers.get("load-answer-bytes", "0") or 0), 10**7)
        content = {
            "service": self.name.service,
            "upstream": int(self.name.address.rpartition(":")[2]),
            "address": self.name.address,
            "incarnation": self.name.incarnation,
            "data_centre": self.name.data_centre,
            "method": request.method.decode("ascii"),
            "target": request.target.decode("ascii"),
            "key": arrival.key,
            "run": self.state.runs[arrival.key] if arrival.key else 0,
            "request": headers.get("load-request", ""),
            "attempt": arrival.attempt,
            "bytes": len(body),
            "sha256": hashlib.sha256(body).hexdigest(),
            "padding": padding,
        }
        return HttpResponse(
            status=200,
            headers={"content-type": "application/json", **echoed_headers(headers)},
            body=json.dumps(content).encode(),
        )

    async def deliver(self, connection: HttpConnection, answer: HttpResponse) -> None:
        """Send an answer, swapped or repeated if a fault is set."""
        repeated = self.state.faults.repeated
        if self.state.faults.crossed:
            answer = await self.swap_answer(answer)
        await send_response(connection, answer)
        if repeated:
            await connection.stream.send(encode_response(answer))

    async def swap_answer(self, answer: HttpResponse) -> HttpResponse:
        """Swap an answer with that of another request, if one arrives in time."""
        other = self.pending
        if other is not None:
            self.pending = None
            answer, other.response = other.response, answer
            other.swapped.set()
            return answer
        pending_answer = PendingAnswer(response=answer)
        self.pending = pending_answer
        with anyio.move_on_after(SWAP_TIMEOUT_SECONDS):
            await pending_answer.swapped.wait()
        if self.pending is pending_answer:
            self.pending = None
        return pending_answer.response

    async def serve_feed(
        self, connection: HttpConnection, request: h11.Request
    ) -> None:
        """Send a line at each interval until the caller disconnects or feeds end."""
        headers = [
            ("content-type", "text/plain"),
            ("transfer-encoding", "chunked"),
            (FEED_HEADER, "1"),
            ("load-upstream", self.name.address),
            *echoed_headers(header_map(request.headers)).items(),
        ]
        self.state.count(feeds=1)
        self.state.open_feeds += 1
        sequence = 0
        try:
            await connection.send(h11.Response(status_code=200, headers=headers))
            while not self.state.are_feeds_ending:
                sequence += 1
                line = f"free alleys {sequence}\n".encode()
                await connection.send(h11.Data(data=line))
                await anyio.sleep(FEED_INTERVAL_SECONDS)
            await connection.send(h11.EndOfMessage())
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.state.count(feeds_cut=1)
            raise
        finally:
            self.state.open_feeds -= 1

    def health(self) -> HttpResponse:
        """Return the health report; a fault can make it report the wrong health."""
        healthy = is_reported_healthy(self.state)
        content = {"ready": healthy, "load": self.state.in_flight}
        return HttpResponse(
            status=200 if healthy else 503,
            headers={"content-type": "application/json"},
            body=json.dumps(content).encode(),
        )


def echoed_headers(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that identify a request and its attempt, for its answer."""
    return {name: headers[name] for name in ECHOED_HEADERS if name in headers}


def make_arrival(headers: dict[str, str], arrived_at: float) -> Arrival:
    """Return the properties of a request that decide whether it runs.

    :param arrived_at: when the headers of the request arrived, in Unix seconds.
    """
    timeout = headers.get(TIMEOUT_HEADER, "")
    deadline = float("inf")
    if timeout.removeprefix("-").isdecimal():
        deadline = arrived_at + int(timeout) / 1000
    return Arrival(
        deadline=deadline,
        key=headers.get("idempotency-key", ""),
        attempt=headers.get("load-attempt", ""),
        service=headers.get("load-service", ""),
    )


def refusal_response(refusal: Refusal) -> HttpResponse:
    """Return the response to a request that did not run."""
    return HttpResponse(
        status=503,
        headers={"chervilstage-outcome": "not-run"},
        body=f"{refusal.value}\n".encode(),
    )


def encode_response(response: HttpResponse) -> bytes:
    """Return a response as bytes, so that it can be sent without another request.

    The codec encodes a response only after a request, so it gets a dummy one first.
    """
    codec = h11.Connection(h11.SERVER)
    codec.receive_data(b"GET / HTTP/1.1\r\nhost: standin\r\n\r\n")
    codec.next_event()
    codec.next_event()
    headers = {**response.headers, "content-length": str(len(response.body))}
    head = h11.Response(status_code=response.status, headers=list(headers.items()))
    parts = (head, h11.Data(data=response.body), h11.EndOfMessage())
    return b"".join(codec.send(part) or b"" for part in parts)


async def wait_closed(connection: HttpConnection) -> None:
    """Wait until the peer closes; buffer early bytes of the next request."""
    while True:
        try:
            data = await connection.stream.receive(READ_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        connection.codec.receive_data(data)
