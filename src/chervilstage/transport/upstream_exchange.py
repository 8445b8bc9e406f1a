"""One attempt: a request on one connection to an upstream, and its answer."""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import h11

from ..coordination.lease_holder import may_still_send
from ..errors import ChervilstageError
from ..errors.requests import (
    AnswerCrossedError,
    AnswerTooLargeError,
    AnswerUnboundedError,
    BodyTooLargeError,
    CallerLeftError,
    MalformedRequestError,
    ProgressTimeoutError,
)
from ..protocol.request_headers import (
    ATTEMPT_ID_HEADER,
    NOT_RUN,
    OUTCOME_HEADER,
    TIMEOUT_HEADER,
    end_to_end,
)
from ..state.capacity import AttemptResult, Permit
from ..state.outcomes import NotRun, Unknown
from ..state.request_records import Answer, Headers
from .caller_watch import unless_caller_leaves
from .http_connection import HttpConnection
from .upstream_pool import UpstreamPool, discard, is_quiet

# A feed that sends nothing for longer than this is ended.
PROGRESS_SECONDS = 60.0
CLOSED = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class OutgoingRequest(NamedTuple):
    """A request as it goes to an upstream.

    ``rest`` is the part of the body that has not been received yet.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    rest: AsyncIterator[bytes] | None = None
    caller: HttpConnection | None = None


class Exchange(NamedTuple):
    """An attempt whose answer has begun."""

    permit: Permit
    connection: HttpConnection
    response: h11.Response


class Ended(NamedTuple):
    """An attempt without an answer, and what the capacity is told of it.

    ``is_crossed`` tells that an answer came which is not known to be its own.
    """

    outcome: NotRun | Unknown
    result: AttemptResult
    is_crossed: bool = False


async def begin_exchange(
    pool: UpstreamPool,
    permit: Permit,
    request: OutgoingRequest,
    deadline: float,
    fresh: bool,
) -> Exchange | Ended:
    """Send a request and wait until its answer begins.

    :param fresh: never use a kept connection.
    :raises CallerLeftError: the caller left; the attempt is cancelled.
    :raises BodyTooLargeError: the body went over its limit after sending began.
    """
    try:
        connection = await pool.take(permit.upstream, fresh)
    except (OSError, TimeoutError) as error:
        reason = f"upstream does not accept: {type(error).__name__}"
        return Ended(outcome=NotRun(reason=reason), result=AttemptResult.FAILED)
    if not may_still_send(permit, anyio.current_time()):
        await discard(connection)
        return Ended(
            outcome=NotRun(reason="the permit has run out"),
            result=AttemptResult.CANCELLED,
        )
    begun = False
    try:
        with anyio.fail_after(deadline - anyio.current_time()):
            response = await _exchange_heads(connection, request, deadline)
        ended = _judge(response)
        begun = ended is None
        if ended is None:
            return Exchange(permit=permit, connection=connection, response=response)
        return ended
    except TimeoutError:
        await pool.forget(permit.upstream)
        outcome = Unknown(reason="no answer before the deadline")
        return Ended(outcome=outcome, result=AttemptResult.TIMED_OUT)
    except (BodyTooLargeError, CallerLeftError):
        raise
    except AnswerCrossedError as error:
        pool.counters.add("answers_dropped", "crossed")
        outcome = Unknown(reason=str(error))
        return Ended(outcome=outcome, result=AttemptResult.FAILED, is_crossed=True)
    except (*CLOSED, ChervilstageError, h11.LocalProtocolError) as error:
        outcome = Unknown(reason=f"{type(error).__name__} {error}".strip())
        return Ended(outcome=outcome, result=AttemptResult.FAILED)
    finally:
        if not begun:
            await discard(connection)


async def _exchange_heads(
    connection: HttpConnection, request: OutgoingRequest, deadline: float
) -> h11.Response:
    attempt_id = secrets.token_hex(8)
    left_ms = max(1, int((deadline - anyio.current_time()) * 1000))
    own = ((ATTEMPT_ID_HEADER, attempt_id), (TIMEOUT_HEADER, str(left_ms)))
    head = h11.Request(
        method=request.method, target=request.target, headers=[*request.headers, *own]
    )
    await connection.send(head)
    if request.body:
        await connection.send(h11.Data(data=request.body))
    if request.rest is None or await _upload(connection, request.rest):
        await connection.send(h11.EndOfMessage())

    async def read() -> h11.Response:
        """Return the response on this connection."""
        return await _response(connection)

    if request.caller is not None:
        response = await unless_caller_leaves(request.caller, read)
    else:
        response = await read()
    _check_identity(connection, response, attempt_id)
    return response


async def _upload(connection: HttpConnection, rest: AsyncIterator[bytes]) -> bool:
    """Send the rest of a body and tell whether it went out whole.

    It ends early where the upstream answers before it has the whole body.
    """
    try:
        async for chunk in rest:
            if not is_quiet(connection):
                return False
            await connection.send(h11.Data(data=chunk))
    except MalformedRequestError as error:
        raise CallerLeftError(reason="upload ended early") from error
    return True


async def _response(connection: HttpConnection) -> h11.Response:
    event = await connection.next_event()
    while isinstance(event, h11.InformationalResponse):
        event = await connection.next_event()
    if not isinstance(event, h11.Response):
        raise MalformedRequestError(reason="upstream closed the connection")
    return event


def _check_identity(
    connection: HttpConnection, response: h11.Response, attempt_id: str
) -> None:
    """Check that an answer is that of this attempt.

    Without a name only the first answer on a connection is known to be.

    :raises AnswerCrossedError: it is, or may be, that of another attempt.
    """
    found = dict(response.headers).get(ATTEMPT_ID_HEADER.encode())
    is_named = found is not None
    if found != attempt_id.encode() and (is_named or connection.names_attempts):
        shown = found.decode("latin-1") if found else "none"
        raise AnswerCrossedError(found=shown, expected=attempt_id)
    connection.names_attempts = is_named


def _judge(response: h11.Response) -> Ended | None:
    """Return how the attempt ended where its answer is not for the caller."""
    headers = dict(response.headers)
    if response.status_code == 503 and (
        headers.get(OUTCOME_HEADER.encode()) == NOT_RUN.encode()
    ):
        outcome = NotRun(reason="upstream refused before running")
        return Ended(outcome=outcome, result=AttemptResult.REFUSED)
    bodiless = response.status_code in (204, 304)
    if not bodiless and not {b"content-length", b"transfer-encoding"} & headers.keys():
        # A body that ends with its connection looks whole when it is cut.
        raise AnswerUnboundedError
    return None


async def answer_chunks(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield the body of an answer as it comes.

    :raises ProgressTimeoutError: nothing came for too long.
    :raises MalformedRequestError: the body ended before its end.
    """
    while True:
        try:
            with anyio.fail_after(PROGRESS_SECONDS):
                event = await exchange.connection.next_event()
        except TimeoutError as error:
            raise ProgressTimeoutError(seconds=PROGRESS_SECONDS) from error
        if not isinstance(event, h11.Data):
            return
        yield bytes(event.data)


async def read_answer(exchange: Exchange, limit: int) -> Answer:
    """Return a whole answer.

    :raises AnswerTooLargeError: it is larger than the limit, in bytes.
    """
    body = bytearray()
    async for chunk in answer_chunks(exchange):
        body += chunk
        if len(body) > limit:
            raise AnswerTooLargeError(limit=limit)
    headers = end_to_end(exchange.response.headers)
    framing = ("content-length", "transfer-encoding")
    return Answer(
        status=exchange.response.status_code,
        headers=tuple((n, v) for n, v in headers if n not in framing),
        body=bytes(body),
    )
