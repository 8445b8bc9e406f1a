"""Errors of callers' requests and packets."""

from __future__ import annotations

from .base import ChervilstageError


class MalformedRequestError(ChervilstageError):
    """A request is not valid HTTP/1.1 or carries a malformed header."""

    code = "CS-REQUEST-001"
    template = "malformed request: {reason}"


class BodyTooLargeError(ChervilstageError):
    """A body is larger than the limit of the service."""

    code = "CS-REQUEST-002"
    template = "body exceeds the limit of {limit} bytes"


class HeaderTooLargeError(ChervilstageError):
    """A request header is larger than the limit."""

    code = "CS-REQUEST-003"
    template = "request header exceeds the limit of {limit} bytes"


class RequestNotRunError(ChervilstageError):
    """A request was refused before it ran."""

    code = "CS-REQUEST-004"
    template = "not run: {reason}"
    retryable = True


class OutcomeUnknownError(ChervilstageError):
    """A request may have run; its answer is lost."""

    code = "CS-REQUEST-005"
    template = "outcome unknown: {reason}"


class MalformedDatagramError(ChervilstageError):
    """A datagram from an upstream carries no valid PROXY header."""

    code = "CS-REQUEST-006"
    template = "malformed datagram: {reason}"


class DataCentreOutError(ChervilstageError):
    """The data centre of this entry is out of service."""

    code = "CS-REQUEST-007"
    template = "data centre {data_centre} is out of service"
    retryable = True


class KeyMalformedError(ChervilstageError):
    """An idempotency key is not of the form ``v1.UNIX_MS.DATA_CENTRE.RANDOM``."""

    code = "CS-REQUEST-008"
    template = "idempotency key refused: {reason}"


class KeyExpiredError(ChervilstageError):
    """An idempotency key is older than the retention time of its record."""

    code = "CS-REQUEST-009"
    template = "idempotency key is {age_ms} ms old; the limit is {limit_ms} ms"


class KeyReusedError(ChervilstageError):
    """An idempotency key was used before for another request."""

    code = "CS-REQUEST-010"
    template = "idempotency key belongs to another request"


class RecordsFullError(ChervilstageError):
    """An entry has reached its limit of request records."""

    code = "CS-REQUEST-011"
    template = "limit of {limit} request records reached"
    retryable = True


class OverloadedError(ChervilstageError):
    """A service has more requests waiting than can be answered in time."""

    code = "CS-REQUEST-012"
    template = "{service}: {waiting} requests are waiting"
    retryable = True


class ConnectionLimitError(ChervilstageError):
    """A service has reached its limit of callers' connections."""

    code = "CS-REQUEST-013"
    template = "{service}: limit of {limit} connections reached"
    retryable = True


class AnswerUnboundedError(ChervilstageError):
    """An answer has neither a length nor chunks, so its end cannot be checked."""

    code = "CS-REQUEST-014"
    template = "answer without length or chunks"


class AnswerCrossedError(ChervilstageError):
    """An answer belongs to another attempt."""

    code = "CS-REQUEST-015"
    template = "answer belongs to attempt {found}, not to {expected}"


class AnswerTooLargeError(ChervilstageError):
    """An answer is too large to be kept in a request record."""

    code = "CS-REQUEST-016"
    template = "answer exceeds the record limit of {limit} bytes"


class CallerLeftError(ChervilstageError):
    """A caller closed its connection before the exchange was complete."""

    code = "CS-REQUEST-017"
    template = "caller left: {reason}"


class ProgressTimeoutError(ChervilstageError):
    """An open connection to an upstream made no progress within the time limit."""

    code = "CS-REQUEST-018"
    template = "no progress for {seconds} s"
