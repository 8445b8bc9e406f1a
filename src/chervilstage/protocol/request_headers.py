"""The headers of requests and answers, and the form of idempotency keys."""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping

from ..errors.requests import KeyMalformedError, MalformedRequestError
from ..state.request_records import Headers, RequestKey

KEY_HEADER = "idempotency-key"
TIMEOUT_HEADER = "chervilstage-timeout-ms"
ATTEMPT_HEADER = "chervilstage-attempt"
ATTEMPT_ID_HEADER = "chervilstage-attempt-id"
OUTCOME_HEADER = "chervilstage-outcome"
# Set by an upstream on an answer whose records are independent of each other, so that a
# reader does not need the end of the answer.
FEED_HEADER = "chervilstage-feed"
CODE_HEADER = "chervilstage-code"
NOT_RUN = "not-run"
UNKNOWN = "unknown"

KEY_PATTERN = re.compile(
    r"v1\.(?P<stamp>[0-9]{13})\.(?P<home>[a-z0-9][a-z0-9-]{0,62})"
    r"\.(?P<random>[A-Za-z0-9_-]{1,64})"
)
# Fields that belong to one connection (RFC 9110, section 7.6.1), and those that
# entries set themselves.
HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "upgrade",
        "expect",
        TIMEOUT_HEADER,
        ATTEMPT_ID_HEADER,
    }
)


def parse_key(text: str) -> RequestKey:
    """Parse an idempotency key of the form ``v1.UNIX_MS.DATA_CENTRE.RANDOM``.

    :raises KeyMalformedError: it has a different form.
    """
    match = KEY_PATTERN.fullmatch(text)
    if not match:
        raise KeyMalformedError(reason="not of the form v1.UNIX_MS.DATA_CENTRE.RANDOM")
    return RequestKey(text=text, stamp_ms=int(match["stamp"]), home=match["home"])


def positive_int_header(headers: Mapping[str, str], name: str, default: int) -> int:
    """Return the value of a header that contains a positive whole number.

    Digits after the tenth are ignored, which bounds the number.

    :raises MalformedRequestError: it has another value.
    """
    text = headers.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or not int(text[:10]) > 0:
        raise MalformedRequestError(reason=f"{name} is not a positive number")
    return int(text[:10])


def end_to_end_fields(headers: Iterable[tuple[bytes, bytes]]) -> Headers:
    """Return the header fields to forward, without those of one connection."""
    fields = [(n.decode("latin-1"), v.decode("latin-1")) for n, v in headers]
    named = {
        token.strip().lower()
        for name, value in fields
        if name == "connection"
        for token in value.split(",")
    }
    # A Connection header cannot remove the fields that delimit the body.
    dropped = HOP_BY_HOP_FIELDS | (named - {"transfer-encoding", "content-length"})
    return tuple((n, v) for n, v in fields if n not in dropped)
