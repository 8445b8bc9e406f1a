"""The outcomes of a request."""

from __future__ import annotations

from typing import NamedTuple

from .request_records import Answer


class Answered(NamedTuple):
    """The upstream's complete answer."""

    answer: Answer


class NotRun(NamedTuple):
    """Nothing was sent, or each upstream that was tried refused to run the request."""

    reason: str


class Unknown(NamedTuple):
    """The request may have run; its answer was lost."""

    reason: str


class Refused(NamedTuple):
    """The request was rejected as invalid; an earlier one with its key may have run."""

    status: int
    code: str
    reason: str


Outcome = Answered | NotRun | Unknown | Refused


class KeyedRequest(NamedTuple):
    """A complete request with an idempotency key, independent of any encoding.

    ``attempt`` is the attempt number that the caller states: 1 for the first, 0 if it
    states none. ``timeout_ms`` is the time left until the caller's deadline.
    """

    key: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempt: int
    timeout_ms: int
