"""HTTP/1.1 over a byte stream, with h11 as the codec."""

from __future__ import annotations

from collections.abc import AsyncIterator, Iterable, Mapping
from typing import NamedTuple

import anyio
import h11
from anyio.abc import ByteStream

from ..errors.requests import (
    BodyTooLargeError,
    HeaderTooLargeError,
    MalformedRequestError,
)
from .call_arrival import CallArrival

READ_BYTES = 65_536
MAXIMUM_HEADER_BYTES = 32 * 1024
HTTP_HEADER_TOO_LARGE = 431

Role = type[h11.CLIENT] | type[h11.SERVER]
HeaderList = list[tuple[bytes, bytes]]


class HttpRequest(NamedTuple):
    """A whole request."""

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrival: CallArrival = CallArrival()


class HttpResponse(NamedTuple):
    """A whole response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class HttpConnection:
    """One end of an HTTP/1.1 connection.

    ``has_attempt_ids`` is whether the last answer carried the id of its attempt, so
    that an answer to an earlier attempt would be detected.

    :param stream: the underlying byte stream.
    :param role: ``h11.CLIENT`` or ``h11.SERVER``.
    """

    def __init__(self, *, stream: ByteStream, role: Role) -> None:
        self.stream = stream
        self.codec = h11.Connection(
            role, max_incomplete_event_size=MAXIMUM_HEADER_BYTES
        )
        self.has_attempt_ids = False

    async def send(self, event: h11.Event) -> None:
        """Send one event.

        :raises anyio.BrokenResourceError: the other end has closed the stream.
        """
        data = self.codec.send(event)
        if data:
            await self.stream.send(data)

    async def next_event(self) -> h11.Event | type[h11.PAUSED]:
        """Return the next event of the other end.

        :raises HeaderTooLargeError: the head is longer than the limit of the codec.
        :raises MalformedRequestError: the bytes are not HTTP/1.1.
        """
        while True:
            try:
                event = self.codec.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == HTTP_HEADER_TOO_LARGE:
                    raise HeaderTooLargeError(limit=MAXIMUM_HEADER_BYTES) from error
                raise MalformedRequestError(reason=error) from error
            if isinstance(event, h11.Event) or event is h11.PAUSED:
                return event
            try:
                data = await self.stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                data = b""
            self.codec.receive_data(data)

    async def body_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the current message's body.

        :raises MalformedRequestError: the body is shorter than declared.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            else:
                return

    async def read_body(self, limit: int) -> bytes:
        """Return the whole body of the current message.

        :raises BodyTooLargeError: the body is longer than the limit, in bytes.
        """
        body = bytearray()
        async for chunk in self.body_chunks():
            body += chunk
            if len(body) > limit:
                raise BodyTooLargeError(limit=limit)
        return bytes(body)

    def can_continue(self) -> bool:
        """Return whether another exchange can follow, and prepare the codec for it."""
        if self.codec.our_state is not h11.DONE:
            return False
        if self.codec.their_state is not h11.DONE:
            return False
        self.codec.start_next_cycle()
        return True


def header_map(headers: Iterable[tuple[bytes, bytes]]) -> dict[str, str]:
    """Return headers by lower-case name."""
    return {name.decode("latin-1"): value.decode("latin-1") for name, value in headers}


def header_list(headers: Mapping[str, str]) -> HeaderList:
    """Return headers in the form that h11 expects."""
    return [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers.items()]
