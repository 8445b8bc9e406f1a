"""Reads the bodies of requests from callers within limits."""

from __future__ import annotations

from collections.abc import AsyncIterator

import anyio
import h11

from ..errors.requests import (
    BodyTooLargeError,
    CallerLeftError,
    HeaderTooLargeError,
    MalformedRequestError,
    RequestNotRunError,
)
from .http_connection import MAXIMUM_HEADER_BYTES, HttpConnection, header_map

# A body up to this size is received before a permit is acquired, so that a slow caller
# occupies no slot, and can be sent again in a retry.
MAXIMUM_REPLAY_BYTES = 64 * 1024
# A relayed request and its record must fit into one frame between entries.
MAXIMUM_KEYED_BODY_BYTES = 4 * 1024 * 1024

BodyParts = tuple[bytes, AsyncIterator[bytes] | None]


def check_head(request: h11.Request) -> None:
    """Check the size of a request's head; the codec limits only incomplete ones.

    :raises HeaderTooLargeError: the head is over the limit.
    """
    size = sum(len(name) + len(value) for name, value in request.headers)
    if size + len(request.target) > MAXIMUM_HEADER_BYTES:
        raise HeaderTooLargeError(limit=MAXIMUM_HEADER_BYTES)


async def read_body_prefix(
    caller: HttpConnection, request: h11.Request, limit: int, deadline: float
) -> BodyParts:
    """Return the first part of a body, and an iterator over the remainder, if any.

    :raises BodyTooLargeError: the body is longer than the limit, in bytes.
    :raises RequestNotRunError: the body did not arrive in time.
    """
    await _begin_body(caller, request, limit)
    chunks = _limited_chunks(caller, limit)
    prefix = bytearray()
    try:
        with anyio.fail_after(deadline - anyio.current_time()):
            async for chunk in chunks:
                prefix += chunk
                if len(prefix) > MAXIMUM_REPLAY_BYTES:
                    return bytes(prefix), chunks
    except TimeoutError as error:
        raise RequestNotRunError(reason="the body did not come in time") from error
    return bytes(prefix), None


async def read_whole_body(
    caller: HttpConnection, request: h11.Request, limit: int, deadline: float
) -> bytes:
    """Return the whole body of a request that is stored in a request record.

    :raises BodyTooLargeError: the body is longer than the limits.
    :raises RequestNotRunError: the body did not arrive in time.
    """
    limit = min(limit, MAXIMUM_KEYED_BODY_BYTES)
    await _begin_body(caller, request, limit)
    body = bytearray()
    try:
        with anyio.fail_after(deadline - anyio.current_time()):
            async for chunk in _limited_chunks(caller, limit):
                body += chunk
    except TimeoutError as error:
        raise RequestNotRunError(reason="the body did not come in time") from error
    return bytes(body)


async def _begin_body(caller: HttpConnection, request: h11.Request, limit: int) -> None:
    """Check the version and declared length, and ask a waiting caller for the body."""
    if request.http_version != b"1.1":
        # An older caller cannot tell a truncated chunked answer from a whole one.
        raise MalformedRequestError(reason="HTTP/1.1 is needed")
    length = header_map(request.headers).get("content-length", "0")
    if int(length) > limit:
        raise BodyTooLargeError(limit=limit)
    if caller.codec.they_are_waiting_for_100_continue:
        await caller.send(h11.InformationalResponse(status_code=100, headers=[]))


async def _limited_chunks(caller: HttpConnection, limit: int) -> AsyncIterator[bytes]:
    size = 0
    while True:
        try:
            event = await caller.next_event()
        except MalformedRequestError as error:
            raise CallerLeftError(reason=error) from error
        if not isinstance(event, h11.Data):
            return
        size += len(event.data)
        if size > limit:
            raise BodyTooLargeError(limit=limit)
        yield bytes(event.data)
