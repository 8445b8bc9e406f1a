"""Callers can tell truncated answers from complete ones."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import anyio
import h11
import pytest
from anyio.abc import SocketAttribute, SocketStream

from chervilstage.state.configuration import Service
from chervilstage.state.counters import Counters
from chervilstage.transport.answer_relay import LONG_FEED_SECONDS
from chervilstage.transport.http_front import HttpFrontEnd
from testing.support.raw_upstreams import (
    HOST,
    AnswerHandler,
    RawUpstream,
    make_service_requests,
)

SERVICE = Service(name="boards", data_centres=("gl-erie",), udp_port=0, tcp_port=0)
REQUEST = b"GET /free HTTP/1.1\r\nhost: boards\r\n\r\n"
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n"
CHUNK = b"5\r\nfirst\r\n"
# SO_LINGER with a time of zero: closing the socket resets the connection.
ZERO_LINGER = struct.pack("ii", 1, 0)
UPSTREAM_WAIT_SECONDS = 30.0

EntryAction = Callable[[HttpFrontEnd], Awaitable[None]]


async def do_nothing(front_end: HttpFrontEnd) -> None:
    """Do nothing to the front end."""


async def stop_front_end(front_end: HttpFrontEnd) -> None:
    """Stop the front end and its feeds once the answer is old enough to be a feed."""
    await anyio.sleep(1.2 * LONG_FEED_SECONDS)
    front_end.connections.stopping = True
    front_end.feed_stop_requested.set()


def make_answer_handler(
    *parts: bytes, seconds: float = 0.0, resets: bool = False
) -> AnswerHandler:
    """Return an upstream handler that sends parts of an answer and closes.

    :param seconds: how long it waits before it closes the connection.
    :param resets: whether it resets the connection.
    """

    async def answer(
        upstream: RawUpstream, stream: SocketStream, attempt: bytes, number: int
    ) -> None:
        for part in parts:
            await stream.send(part)
            await anyio.sleep(0.01)
        await anyio.sleep(seconds)
        raw: socket.socket = stream.extra(SocketAttribute.raw_socket)
        if resets:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ZERO_LINGER)
        raise anyio.EndOfStream

    return answer


async def receive_answer(answer: AnswerHandler, action: EntryAction) -> bytes:
    """Return all bytes that a caller receives of an answer from an upstream.

    The entry is cancelled 0.3 s after the action, as at the end of a stop.
    """
    received = b""
    async with anyio.create_task_group() as group:
        record = await RawUpstream(answer=answer).start(group)
        counters = Counters()
        front_end = HttpFrontEnd(
            host=HOST,
            service=SERVICE,
            requests=make_service_requests(record),
            counters=counters,
            submit=reject_keyed_request,
        )
        listener = await anyio.create_tcp_listener(local_host=HOST, local_port=0)
        port = listener.listeners[0].extra(SocketAttribute.local_port)
        entry = anyio.CancelScope()

        async def serve() -> None:
            with entry:
                await listener.serve(front_end.serve_connection)

        async def end() -> None:
            await action(front_end)
            await anyio.sleep(0.3)
            entry.cancel()

        group.start_soon(serve)
        group.start_soon(end)
        async with await anyio.connect_tcp(HOST, port) as caller:
            await caller.send(REQUEST)
            try:
                while True:
                    received += await caller.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                pass
        group.cancel_scope.cancel()
    return received


async def reject_keyed_request(_: object) -> object:
    """Stand in for keyed requests, which these callers do not send."""
    raise AssertionError("no request of these tests has a key")


def is_complete_success(received: bytes) -> bool:
    """Return whether bytes parse as a complete successful answer."""
    codec = h11.Connection(h11.CLIENT)
    codec.send(h11.Request(method="GET", target="/free", headers=[("host", "boards")]))
    codec.send(h11.EndOfMessage())
    codec.receive_data(received)
    if received:
        codec.receive_data(b"")
    is_success = False
    try:
        while True:
            event = codec.next_event()
            if isinstance(event, h11.Response):
                is_success = event.status_code < 300
            elif isinstance(event, h11.EndOfMessage):
                return is_success
            elif not isinstance(event, h11.Data):
                return False
    except h11.RemoteProtocolError:
        return False


TRUNCATED_ANSWERS: dict[str, tuple[AnswerHandler, EntryAction]] = {
    "length not reached": (
        make_answer_handler(HEAD + b"content-length: 9\r\n\r\n", b"part"),
        do_nothing,
    ),
    "no last chunk": (make_answer_handler(CHUNKED + b"\r\n", CHUNK), do_nothing),
    "cut inside a chunk": (
        make_answer_handler(CHUNKED + b"\r\n", CHUNK, b"9\r\npart"),
        do_nothing,
    ),
    "reset after the head": (
        make_answer_handler(CHUNKED + b"\r\n", resets=True),
        do_nothing,
    ),
    "reset in the body": (
        make_answer_handler(CHUNKED + b"\r\n", CHUNK, resets=True),
        do_nothing,
    ),
    "reset in the head": (make_answer_handler(HEAD, resets=True), do_nothing),
    "neither length nor chunks": (
        make_answer_handler(HEAD + b"\r\n", b"part"),
        do_nothing,
    ),
    "entry ends in the body": (
        make_answer_handler(
            HEAD + b"content-length: 9\r\n\r\n", b"part", seconds=UPSTREAM_WAIT_SECONDS
        ),
        do_nothing,
    ),
    "long download at a planned stop": (
        make_answer_handler(CHUNKED + b"\r\n", CHUNK, seconds=UPSTREAM_WAIT_SECONDS),
        stop_front_end,
    ),
    "feed that its upstream cuts": (
        make_answer_handler(CHUNKED + b"chervilstage-feed: 1\r\n\r\n", CHUNK),
        do_nothing,
    ),
}


@pytest.mark.parametrize(
    ("answer", "action"), TRUNCATED_ANSWERS.values(), ids=TRUNCATED_ANSWERS.keys()
)
def test_a_truncated_answer_never_looks_complete(
    answer: AnswerHandler, action: EntryAction
) -> None:
    """Guards against a caller that takes a truncated answer for a complete one."""
    received = anyio.run(receive_answer, answer, action)
    assert not is_complete_success(received), received


def test_a_declared_feed_ends_cleanly_at_a_planned_stop() -> None:
    """Guards against a feed that looks cut off although its records are independent."""
    answer = make_answer_handler(
        CHUNKED + b"chervilstage-feed: 1\r\n\r\n", CHUNK, seconds=UPSTREAM_WAIT_SECONDS
    )
    assert is_complete_success(anyio.run(receive_answer, answer, stop_front_end))


def test_a_complete_answer_looks_complete() -> None:
    """Guards against a check that never accepts an answer as complete."""
    for answer in (
        make_answer_handler(HEAD + b"content-length: 4\r\n\r\n", b"part"),
        make_answer_handler(CHUNKED + b"\r\n", CHUNK, b"0\r\n\r\n"),
    ):
        assert is_complete_success(anyio.run(receive_answer, answer, do_nothing))
