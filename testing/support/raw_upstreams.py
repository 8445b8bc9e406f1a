"""An upstream on loopback whose answers are raw bytes written by a test."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from chervilstage.state.capacity import AttemptResult, Permit
from chervilstage.state.configuration import ServiceRules
from chervilstage.state.counters import Counters
from chervilstage.state.outcomes import Outcome
from chervilstage.state.types import Address, UpstreamRecord
from chervilstage.transport.service_requests import ServiceRequests
from chervilstage.transport.upstream_exchange import OutgoingRequest
from chervilstage.transport.upstream_pool import UpstreamPool

from .token_relays import SERVICE, make_record

HOST = "127.0.0.1"
TIMEOUT_SECONDS = 2.0
ATTEMPT_ID = re.compile(rb"chervilstage-attempt-id: (\w+)", re.IGNORECASE)

AnswerHandler = Callable[["RawUpstream", SocketStream, bytes, int], Awaitable[None]]


def make_response(body: str, attempt: bytes | None = None) -> bytes:
    """Return an answer with its length and, if given, the header of its attempt."""
    attempt_header = (
        b"chervilstage-attempt-id: " + attempt + b"\r\n" if attempt else b""
    )
    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n".encode()
    return head + attempt_header + b"\r\n" + body.encode()


class RawUpstream:
    """Counts requests and connections and lets a test write the answers.

    :param answer: called with the upstream, the stream, the attempt id and the number
        of the request, from 1.
    """

    def __init__(self, *, answer: AnswerHandler) -> None:
        self.answer = answer
        self.requests = 0
        self.connections = 0
        self.rng = Random(1)

    async def start(self, group: TaskGroup) -> UpstreamRecord:
        """Listen and return the record of the upstream."""
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
        port = listener.listeners[0].extra(SocketAttribute.local_port)
        group.start_soon(listener.serve, self.serve)
        return make_record(1)._replace(request_address=Address(host=HOST, port=port))

    async def serve(self, stream: SocketStream) -> None:
        """Answer the requests of a connection, which have no body."""
        self.connections += 1
        try:
            async with stream:
                while True:
                    head = await read_head(stream)
                    self.requests += 1
                    found = ATTEMPT_ID.search(head)
                    attempt = found[1] if found else b""
                    await self.answer(self, stream, attempt, self.requests)
        except (anyio.EndOfStream, anyio.BrokenResourceError):
            return


async def read_head(stream: SocketStream) -> bytes:
    """Return the head of a request."""
    head = b""
    while b"\r\n\r\n" not in head:
        head += await stream.receive()
    return head


def make_service_requests(record: UpstreamRecord) -> ServiceRequests:
    """Return the requests of a service with one upstream that always has capacity."""

    async def acquire(**_: Any) -> Permit:
        """Return a permit without waiting."""
        return Permit(upstream=record, granted_at=anyio.current_time())

    def release(*, permit: Permit, result: AttemptResult, seconds: float) -> None:
        """Accept the release of a permit."""

    capacity: Any = SimpleNamespace(acquire=acquire, release=release)
    counters = Counters()
    return ServiceRequests(
        name=SERVICE,
        rules=lambda: ServiceRules(service=SERVICE),
        capacity=capacity,
        pool=UpstreamPool(counters=counters),
        counters=counters,
    )


def make_get_request(target: str) -> OutgoingRequest:
    """Return a GET request without a body."""
    return OutgoingRequest(
        method="GET", target=target, headers=(("host", SERVICE),), body=b""
    )


async def run_idempotent(requests: ServiceRequests, target: str) -> Outcome:
    """Run a request that may reuse a connection, and return its whole answer."""
    deadline = anyio.current_time() + TIMEOUT_SECONDS
    return await requests.run_to_completion(
        make_get_request(target), deadline, idempotent=True
    )
