"""One attempt: a request on one connection to an upstream, and its answer."""

from __future__ import annotations

import secrets
from collections.abc import AsyncIterator
from typing import NamedTuple

import anyio
import h11

from ..coordination.lease_holder import is_permit_valid
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
    end_to_end_fields,
)
from ..state.capacity import AttemptResult, Permit
from ..state.outcomes import NotRun, Unknown
from ..state.request_records import Answer, Headers
from .caller_watch import cancel_on_disconnect
from .http_connection import HttpConnection
from .upstream_pool import UpstreamPool, discard, has_no_pending_input

# An answer is cut off when none of its bytes arrive for longer than this.
PROGRESS_TIMEOUT_SECONDS = 60.0
CONNECTION_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError)


class OutgoingRequest(NamedTuple):
    """A request as it is sent to an upstream.

    ``remaining_body`` is the part of the body that has not been received yet.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    remaining_body: AsyncIterator[bytes] | None = None
    caller: HttpConnection | None = None


class Exchange(NamedTuple):
    """An attempt whose answer has begun."""

    permit: Permit
    connection: HttpConnection
    response: h11.Response


class UnansweredAttempt(NamedTuple):
    """An attempt without an answer, and the result to report when releasing its permit.

    ``is_mismatched_answer`` is whether an answer arrived that is not known to belong to
    this attempt.
    """

    outcome: NotRun | Unknown
    result: AttemptResult
    is_mismatched_answer: bool = False


async def begin_exchange(
    pool: UpstreamPool,
    permit: Permit,
    request: OutgoingRequest,
    deadline: float,
    must_connect: bool,
) -> Exchange | UnansweredAttempt:
    """Send a request and wait until its answer begins.

    :param must_connect: whether to open a new connection instead of a pooled one.
    :raises CallerLeftError: the caller disconnected; the attempt is cancelled.
    :raises BodyTooLargeError: the body exceeded its limit after sending began.
    """
    try:
        connection = await pool.get_connection(permit.upstream, must_connect)
    except (OSError, TimeoutError) as error:
        reason = f"upstream does not accept: {type(error).__name__}"
        return UnansweredAttempt(
            outcome=NotRun(reason=reason), result=AttemptResult.FAILED
        )
    if not is_permit_valid(permit, anyio.current_time()):
        await discard(connection)
        return UnansweredAttempt(
            outcome=NotRun(reason="the permit has run out"),
            result=AttemptResult.CANCELLED,
        )
    has_answer = False
    try:
        with anyio.fail_after(deadline - anyio.current_time()):
            response = await _exchange_heads(connection, request, deadline)
        unanswered = _check_answer(response)
        has_answer = unanswered is None
        if unanswered is None:
            return Exchange(permit=permit, connection=connection, response=response)
        return unanswered
    except TimeoutError:
        await pool.close_idle(permit.upstream)
        outcome = Unknown(reason="no answer before the deadline")
        return UnansweredAttempt(outcome=outcome, result=AttemptResult.TIMED_OUT)
    except (BodyTooLargeError, CallerLeftError):
        raise
    except AnswerCrossedError as error:
        pool.counters.add("answers_dropped", "crossed")
        outcome = Unknown(reason=str(error))
        return UnansweredAttempt(
            outcome=outcome, result=AttemptResult.FAILED, is_mismatched_answer=True
        )
    except (*CONNECTION_ERRORS, ChervilstageError, h11.LocalProtocolError) as error:
        outcome = Unknown(reason=f"{type(error).__name__} {error}".strip())
        return UnansweredAttempt(outcome=outcome, result=AttemptResult.FAILED)
    finally:
        if not has_answer:
            await discard(connection)


async def _exchange_heads(
    connection: HttpConnection, request: OutgoingRequest, deadline: float
) -> h11.Response:
    attempt_id = secrets.token_hex(8)
    remaining_ms = max(1, int((deadline - anyio.current_time()) * 1000))
    own_headers = ((ATTEMPT_ID_HEADER, attempt_id), (TIMEOUT_HEADER, str(remaining_ms)))
    head = h11.Request(
        method=request.method,
        target=request.target,
        headers=[*request.headers, *own_headers],
    )
    await connection.send(head)
    if request.body:
        await connection.send(h11.Data(data=request.body))
    if request.remaining_body is None or await _send_remaining_body(
        connection, request.remaining_body
    ):
        await connection.send(h11.EndOfMessage())

    async def read() -> h11.Response:
        """Return the response on this connection."""
        return await _read_head(connection)

    if request.caller is not None:
        response = await cancel_on_disconnect(request.caller, read)
    else:
        response = await read()
    _check_attempt_id(connection, response, attempt_id)
    return response


async def _send_remaining_body(
    connection: HttpConnection, remaining_body: AsyncIterator[bytes]
) -> bool:
    """Send the remainder of a body and return whether all of it was sent.

    Sending stops early if the upstream answers before it has the whole body.
    """
    try:
        async for chunk in remaining_body:
            if not has_no_pending_input(connection):
                return False
            await connection.send(h11.Data(data=chunk))
    except MalformedRequestError as error:
        raise CallerLeftError(reason="upload ended early") from error
    return True


async def _read_head(connection: HttpConnection) -> h11.Response:
    event = await connection.next_event()
    while isinstance(event, h11.InformationalResponse):
        event = await connection.next_event()
    if not isinstance(event, h11.Response):
        raise MalformedRequestError(reason="upstream closed the connection")
    return event


def _check_attempt_id(
    connection: HttpConnection, response: h11.Response, attempt_id: str
) -> None:
    """Check that an answer belongs to this attempt.

    Without an attempt id, only the first answer on a connection is known to do so.

    :raises AnswerCrossedError: the answer belongs, or may belong, to another attempt.
    """
    found = dict(response.headers).get(ATTEMPT_ID_HEADER.encode())
    has_attempt_id = found is not None
    if found != attempt_id.encode() and (has_attempt_id or connection.has_attempt_ids):
        found_text = found.decode("latin-1") if found else "none"
        raise AnswerCrossedError(found=found_text, expected=attempt_id)
    connection.has_attempt_ids = has_attempt_id


def _check_answer(response: h11.Response) -> UnansweredAttempt | None:
    """Return the failed attempt if the upstream refused the request, otherwise None.

    :raises AnswerUnboundedError: the end of the body could not be detected.
    """
    headers = dict(response.headers)
    if response.status_code == 503 and (
        headers.get(OUTCOME_HEADER.encode()) == NOT_RUN.encode()
    ):
        outcome = NotRun(reason="upstream refused before running")
        return UnansweredAttempt(outcome=outcome, result=AttemptResult.REFUSED)
    has_no_body = response.status_code in (204, 304)
    if (
        not has_no_body
        and not {b"content-length", b"transfer-encoding"} & headers.keys()
    ):
        # A body that ends with its connection looks complete when it is truncated.
        raise AnswerUnboundedError
    return None


async def answer_chunks(exchange: Exchange) -> AsyncIterator[bytes]:
    """Yield the body of an answer as it arrives.

    :raises ProgressTimeoutError: nothing arrived for too long.
    :raises MalformedRequestError: the body was truncated.
    """
    while True:
        try:
            with anyio.fail_after(PROGRESS_TIMEOUT_SECONDS):
                event = await exchange.connection.next_event()
        except TimeoutError as error:
            raise ProgressTimeoutError(seconds=PROGRESS_TIMEOUT_SECONDS) from error
        if not isinstance(event, h11.Data):
            return
        yield bytes(event.data)


async def read_answer(exchange: Exchange, limit: int) -> Answer:
    """Return a whole answer.

    :raises AnswerTooLargeError: the body is larger than the limit, in bytes.
    """
    body = bytearray()
    async for chunk in answer_chunks(exchange):
        body += chunk
        if len(body) > limit:
            raise AnswerTooLargeError(limit=limit)
    headers = end_to_end_fields(exchange.response.headers)
    framing = ("content-length", "transfer-encoding")
    return Answer(
        status=exchange.response.status_code,
        headers=tuple((n, v) for n, v in headers if n not in framing),
        body=bytes(body),
    )
