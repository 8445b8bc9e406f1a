"""Permits to run requests at upstreams, and the results of these attempts."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .types import UpstreamRecord


class AttemptResult(StrEnum):
    """The result of one attempt to run a request at an upstream.

    ``REFUSED`` means that the upstream reported that it did not run the request.
    """

    SUCCEEDED = "succeeded"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"


class Permit(NamedTuple):
    """The right to run one request at an upstream.

    ``granted_at`` is in monotonic seconds.
    """

    upstream: UpstreamRecord
    granted_at: float
