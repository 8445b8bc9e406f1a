"""Errors of access to the endpoints between processes and for operators."""

from __future__ import annotations

from .base import ChervilstageError


class EnvelopeTagError(ChervilstageError):
    """The tag of a message does not match the shared key."""

    code = "CS-ACCESS-001"
    template = "message of {size} bytes fails authentication"


class EnvelopeFormatError(ChervilstageError):
    """An authenticated message cannot be decoded."""

    code = "CS-ACCESS-002"
    template = "message cannot be decoded: {reason}"


class FrameSizeError(ChervilstageError):
    """A frame is longer than the limit."""

    code = "CS-ACCESS-003"
    template = "frame of {size} bytes exceeds the limit of {limit} bytes"


class OperatorKeyError(ChervilstageError):
    """An operator's request carries no valid key."""

    code = "CS-ACCESS-004"
    template = "operator key missing or wrong"


class PeerUnreachableError(ChervilstageError):
    """A peer does not answer within the time limit."""

    code = "CS-ACCESS-005"
    template = "no answer from {address}: {reason}"
    retryable = True


class HandlerFailedError(ChervilstageError):
    """A call could not be handled for a reason that no typed error describes."""

    code = "CS-ACCESS-006"
    template = "the call failed in this process; its log has the reason"
    retryable = True
