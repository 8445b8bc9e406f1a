"""A stand-in upstream: answers datagrams and requests and announces itself."""

from __future__ import annotations

import hashlib
import json
import socket
from collections.abc import Sequence
from contextlib import suppress

import anyio
import h11
from anyio.abc import ByteStream, SocketAttribute, TaskGroup

from ..errors import ChervilstageError
from ..errors.requests import MalformedDatagramError
from ..protocol.announcement import encode_announcement
from ..protocol.proxy_header import HEADER_BYTES, decode_datagram
from ..state.standin import StandinState
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .application import Hooks
from .datagrams import (
    bound_address,
    open_datagram_socket,
    receive_datagrams,
    send_datagram,
)
from .event_log import log_event
from .http_client import http_request
from .http_connection import HttpConnection, HttpResponse, header_map
from .http_server import send_response

ANNOUNCE_SECONDS = 1.0
MAXIMUM_UPLOAD_BYTES = 64 * 1024 * 1024


class StandinServer:
    """A stand-in upstream of one service.

    :param entries: the announcement addresses of entries, tried in turn.
    :param work_seconds: how long one request takes.
    """

    def __init__(
        self,
        *,
        host: str,
        service: str,
        data_centre: str,
        incarnation: int,
        slots: int,
        work_seconds: float,
        entries: Sequence[Address],
    ) -> None:
        self.service = service
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.work_seconds = work_seconds
        self.entries = entries
        self.state = StandinState(slots=slots)
        self.idle = anyio.Event()
        self.datagrams: socket.socket = open_datagram_socket(host, 0)
        self.address = bound_address(self.datagrams)
        self.request_port = 0

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Answer a datagram: its header, the service and its own name, the payload."""
        try:
            datagram = decode_datagram(data)
        except MalformedDatagramError:
            self.state.foreign_packets += 1
            return
        seen = self.state.flows.get(datagram.caller, 0) + 1
        self.state.flows[datagram.caller] = seen
        name = f"{self.service} {self.address.port} {seen} ".encode()
        send_datagram(
            self.datagrams, data[:HEADER_BYTES] + name + datagram.payload, sender
        )

    async def serve_connection(self, stream: ByteStream) -> None:
        """Answer the requests of one connection."""
        async with stream:
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
        body = await connection.read_body(MAXIMUM_UPLOAD_BYTES)
        if request.target.startswith(b"/feed"):
            await self.serve_feed(connection)
            return connection.can_continue()
        if not self.state.begin():
            shed = HttpResponse(
                status=503, headers={"chervilstage-outcome": "not-run"}, body=b"busy\n"
            )
            await send_response(connection, shed)
            return connection.can_continue()
        try:
            response = await self.run(request, body)
        finally:
            self.state.end()
            if self.state.leaving and not self.state.in_flight:
                self.idle.set()
        await send_response(connection, response)
        return connection.can_continue()

    async def run(self, request: h11.Request, body: bytes) -> HttpResponse:
        """Do the work of a request and return its answer."""
        key = header_map(request.headers).get("idempotency-key", "")
        if key:
            self.state.runs[key] += 1
        await anyio.sleep(self.work_seconds)
        answer = {
            "service": self.service,
            "upstream": self.address.port,
            "target": request.target.decode("ascii"),
            "key": key,
            "run": self.state.runs[key],
            "bytes": len(body),
            "sha256": hashlib.sha256(body).hexdigest(),
        }
        return HttpResponse(
            status=200,
            headers={"content-type": "application/json"},
            body=json.dumps(answer).encode(),
        )

    async def serve_feed(self, connection: HttpConnection) -> None:
        """Send a line each announcement interval until the caller leaves."""
        headers = [("content-type", "text/plain"), ("transfer-encoding", "chunked")]
        await connection.send(h11.Response(status_code=200, headers=headers))
        sequence = 0
        while not self.state.leaving:
            sequence += 1
            await connection.send(h11.Data(data=f"free alleys {sequence}\n".encode()))
            await anyio.sleep(ANNOUNCE_SECONDS)
        await connection.send(h11.EndOfMessage())

    def record(self) -> UpstreamRecord:
        """Return the next announcement."""
        self.state.sequence += 1
        leaving = self.state.leaving
        return UpstreamRecord(
            identity=UpstreamId(
                address=self.address,
                incarnation=self.incarnation,
                service=self.service,
            ),
            request_address=Address(host=self.address.host, port=self.request_port),
            data_centre=self.data_centre,
            sequence=self.state.sequence,
            phase=UpstreamPhase.LEAVING if leaving else UpstreamPhase.READY,
            slots=self.state.slots,
            load=self.state.in_flight,
        )

    async def announce(self) -> None:
        """Announce once to the first entry that answers."""
        body = encode_announcement(self.record())
        for entry in self.entries:
            with suppress(ChervilstageError):
                answer = await http_request(
                    entry, "POST", "/v1/announce", body=body, timeout=1.0
                )
                if answer.status == 204:
                    return
        log_event("announcement_failed", service=self.service)

    async def announce_forever(self) -> None:
        """Announce at the announcement interval until cancelled."""
        while True:
            await self.announce()
            await anyio.sleep(ANNOUNCE_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Begin to listen and to announce."""
        listener = await anyio.create_tcp_listener(
            local_host=self.address.host, local_port=0
        )
        self.request_port = listener.extra(SocketAttribute.local_port)
        group.start_soon(receive_datagrams, self.datagrams, self.receive)
        group.start_soon(listener.serve, self.serve_connection)
        group.start_soon(self.announce_forever)
        log_event(
            "standin_listening",
            service=self.service,
            datagrams=f"{self.address.host}:{self.address.port}",
            requests=f"{self.address.host}:{self.request_port}",
        )

    async def drain(self) -> None:
        """Announce that this upstream leaves and wait for requests in flight."""
        self.state.leaving = True
        await self.announce()
        if self.state.in_flight:
            await self.idle.wait()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="standin", start=self.start, drain=self.drain)
