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
