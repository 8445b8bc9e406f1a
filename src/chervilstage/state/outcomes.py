"""What became of a request."""

from __future__ import annotations

from typing import NamedTuple

from .request_records import Answer


class Answered(NamedTuple):
    """The upstream's whole answer."""

    answer: Answer


class NotRun(NamedTuple):
    """Nothing was sent, or every upstream asked refused before running it."""

    reason: str


class Unknown(NamedTuple):
    """The request may have run; its answer is lost."""

    reason: str


class Refused(NamedTuple):
    """The request cannot be accepted in this form; its key may have run before."""

    status: int
    code: str
    reason: str


Outcome = Answered | NotRun | Unknown | Refused


class KeyedRequest(NamedTuple):
    """A whole request under an idempotency key, free of any encoding.

    ``attempt`` is what the caller says of its tries: 1 for the first, 0 where it
    does not say. ``timeout_ms`` is what is left of the caller's deadline.
    """

    key: str
    service: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    attempt: int
    timeout_ms: int
