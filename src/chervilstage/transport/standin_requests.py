"""The HTTP side of a stand-in upstream."""

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
    admit,
    finish,
    reports_healthy,
    take_connection,
    work_factor,
)
from ..errors import ChervilstageError
from ..errors.requests import MalformedRequestError
from ..protocol.request_headers import FEED_HEADER
from ..state.load_packets import UpstreamName
from ..state.standin import StandinState
from .http_connection import READ_BYTES, HttpConnection, HttpResponse, header_map
from .http_server import send_response

FEED_SECONDS = 1.0
CROSSED_WAIT_SECONDS = 0.3
MAXIMUM_UPLOAD_BYTES = 64 * 1024 * 1024
TIMEOUT_HEADER = "chervilstage-timeout-ms"
ECHOED_HEADERS = ("chervilstage-attempt-id", "load-request", "load-attempt")


class HeldAnswer:
    """An answer that waits for another one to be swapped with."""

    def __init__(self, *, response: HttpResponse) -> None:
        self.response = response
        self.swapped = anyio.Event()


class StandinRequests:
    """Answers the requests of entries.

    :param work_seconds: how long one request takes on a warm stand-in.
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
        self.held: HeldAnswer | None = None
        self.open: dict[int, anyio.CancelScope] = {}
        self.silenced: set[int] = set()
        self.answering = 0
        self.idle = anyio.Event()

    def silence_open(self) -> None:
        """Never answer again on the connections that are open now."""
        self.silenced.update(self.open)
        for scope in self.open.values():
            scope.cancel()

    async def wait_idle(self) -> None:
        """Wait until every request that has arrived is answered whole."""
        while self.answering:
            self.idle = anyio.Event()
            await self.idle.wait()

    async def serve_connection(self, stream: ByteStream) -> None:
        """Answer the requests of one connection."""
        async with stream:
            number = id(stream)
            if take_connection(self.state) is ConnectionKind.SILENT:
                await anyio.sleep_forever()
            with anyio.CancelScope() as scope:
                self.open[number] = scope
                try:
                    await self.serve_requests(stream)
                finally:
                    del self.open[number]
            if number in self.silenced:
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
        """Answer one request and tell whether the connection can go on."""
        request = await connection.next_event()
        if not isinstance(request, h11.Request):
            return False
        arrived = time.time()
        try:
            body = await connection.read_body(MAXIMUM_UPLOAD_BYTES)
        except MalformedRequestError:
            self.state.count(uploads_cut=1)
            raise
        self.answering += 1
        try:
            await self.serve_whole(connection, request, body, arrived)
        finally:
            self.answering -= 1
            self.idle.set()
        return connection.can_continue()

    async def serve_whole(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived: float,
    ) -> None:
        """Answer a request that has arrived whole.

        :param arrived: when its head arrived.
        """
        if request.target.startswith(b"/feed"):
            await self.serve_feed(connection, request)
        elif request.target == b"/health":
            await send_response(connection, self.health())
        else:
            await self.serve_work(connection, request, body, arrived)

    async def serve_work(
        self,
        connection: HttpConnection,
        request: h11.Request,
        body: bytes,
        arrived: float,
    ) -> None:
        """Run a request, or refuse it before it runs."""
        headers = header_map(request.headers)
        arrival = arrival_of(headers, arrived)
        service = self.name.service
        refusal = admit(self.state, arrival, service, time.time(), self.rng)
        if refusal:
            response = refused(refusal)
            named = {**response.headers, **echoed(headers)}
            await send_response(connection, response._replace(headers=named))
            return
        completed = False
        try:
            completed = await self.work(connection)
        finally:
            finish(self.state, completed=completed)
        if not completed:
            raise anyio.BrokenResourceError
        answer = self.answer(request, headers, body, arrival)
        await self.deliver(connection, answer)

    async def work(self, connection: HttpConnection) -> bool:
        """Work on a request; return whether the caller stayed until the end."""
        stays = True
        seconds = self.work_seconds * work_factor(self.state)
        seconds += self.state.faults.late_ms / 1000
        async with anyio.create_task_group() as group:

            async def watch() -> None:
                """Stop the work once the caller has closed its connection."""
                nonlocal stays
                await wait_closed(connection)
                stays = False
                group.cancel_scope.cancel()

            group.start_soon(watch)
            await anyio.sleep(seconds)
            group.cancel_scope.cancel()
        return stays

    def answer(
        self,
        request: h11.Request,
        headers: dict[str, str],
        body: bytes,
        arrival: Arrival,
    ) -> HttpResponse:
        """Return the answer of a request that has run."""
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
            headers={"content-type": "application/json", **echoed(headers)},
            body=json.dumps(content).encode(),
        )

    async def deliver(self, connection: HttpConnection, answer: HttpResponse) -> None:
        """Send an answer, swapped or repeated where a fault says so."""
        repeated = self.state.faults.repeated
        if self.state.faults.crossed:
            answer = await self.cross(answer)
        await send_response(connection, answer)
        if repeated:
            await connection.stream.send(raw_response(answer))

    async def cross(self, answer: HttpResponse) -> HttpResponse:
        """Swap an answer with that of another request, if one comes in time."""
        other = self.held
        if other is not None:
            self.held = None
            answer, other.response = other.response, answer
            other.swapped.set()
            return answer
        held = HeldAnswer(response=answer)
        self.held = held
        with anyio.move_on_after(CROSSED_WAIT_SECONDS):
            await held.swapped.wait()
        if self.held is held:
            self.held = None
        return held.response

    async def serve_feed(
        self, connection: HttpConnection, request: h11.Request
    ) -> None:
        """Send a line at the feed's interval until the caller leaves or feeds end."""
        headers = [
            ("content-type", "text/plain"),
            ("transfer-encoding", "chunked"),
            (FEED_HEADER, "1"),
            ("load-upstream", self.name.address),
            *echoed(header_map(request.headers)).items(),
        ]
        self.state.count(feeds=1)
        self.state.open_feeds += 1
        sequence = 0
        try:
            await connection.send(h11.Response(status_code=200, headers=headers))
            while not self.state.ending:
                sequence += 1
                line = f"free alleys {sequence}\n".encode()
                await connection.send(h11.Data(data=line))
                await anyio.sleep(FEED_SECONDS)
            await connection.send(h11.EndOfMessage())
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self.state.count(feeds_cut=1)
            raise
        finally:
            self.state.open_feeds -= 1

    def health(self) -> HttpResponse:
        """Return the health report, which may be untrue."""
        healthy = reports_healthy(self.state)
        content = {"ready": healthy, "load": self.state.in_flight}
        return HttpResponse(
            status=200 if healthy else 503,
            headers={"content-type": "application/json"},
            body=json.dumps(content).encode(),
        )


def echoed(headers: dict[str, str]) -> dict[str, str]:
    """Return the headers that name a request and its attempt, for its answer."""
    return {name: headers[name] for name in ECHOED_HEADERS if name in headers}


def arrival_of(headers: dict[str, str], arrived: float) -> Arrival:
    """Return what a stand-in needs to know of a request.

    :param arrived: when the head of the request arrived.
    """
    timeout = headers.get(TIMEOUT_HEADER, "")
    deadline = float("inf")
    if timeout.removeprefix("-").isdecimal():
        deadline = arrived + int(timeout) / 1000
    return Arrival(
        deadline=deadline,
        key=headers.get("idempotency-key", ""),
        attempt=headers.get("load-attempt", ""),
        service=headers.get("load-service", ""),
    )


def refused(refusal: Refusal) -> HttpResponse:
    """Return the response of a request that did not run."""
    return HttpResponse(
        status=503,
        headers={"chervilstage-outcome": "not-run"},
        body=f"{refusal.value}\n".encode(),
    )


def raw_response(response: HttpResponse) -> bytes:
    """Return the bytes of a whole response, for a second one that nobody asked for."""
    codec = h11.Connection(h11.SERVER)
    codec.receive_data(b"GET / HTTP/1.1\r\nhost: standin\r\n\r\n")
    codec.next_event()
    codec.next_event()
    headers = {**response.headers, "content-length": str(len(response.body))}
    head = h11.Response(status_code=response.status, headers=list(headers.items()))
    parts = (head, h11.Data(data=response.body), h11.EndOfMessage())
    return b"".join(codec.send(part) or b"" for part in parts)


async def wait_closed(connection: HttpConnection) -> None:
    """Wait until the other end closes; keep early bytes of a next request."""
    while True:
        try:
            data = await connection.stream.receive(READ_BYTES)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return
        connection.codec.receive_data(data)
