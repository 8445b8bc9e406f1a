"""Which requests of a service may wait for a permit."""

from __future__ import annotations

from ..errors.requests import ConnectionLimitError, OverloadedError
from ..state.request_load import RequestLoad

MAXIMUM_CONNECTIONS = 2_000
MAXIMUM_FEEDS = 2_000
MAXIMUM_WAITING = 512
# The greatest share of its deadline that a request may wait. In overload the queue is
# always as long as it may be, and a longer one answers no more requests but all later;
# what would wait longer is refused at once, while its caller can still go elsewhere.
WAIT_SHARE = 0.2
# An attempt takes up to this many times its smoothed duration; a request that waits
# into that time is answered too late, and its slot is wasted.
WORK_MARGIN = 1.5
SMOOTHING = 0.1


def admit_connection(load: RequestLoad, service: str) -> None:
    """Check that a service may have its newest connection, which is counted already.

    :raises ConnectionLimitError: it has more than it may have.
    """
    if load.connections > MAXIMUM_CONNECTIONS:
        raise ConnectionLimitError(service=service, limit=MAXIMUM_CONNECTIONS)


def admit_request(load: RequestLoad, service: str, left: float) -> float:
    """Return how long a request may wait for a permit, in seconds.

    :param left: seconds until the caller's deadline.
    :raises OverloadedError: it would wait too long for an answer in time.
    """
    spare = left - WORK_MARGIN * load.work_seconds
    limit = max(0.0, min(left * WAIT_SHARE, spare))
    expected = load.waiting * load.interval
    if load.waiting >= MAXIMUM_WAITING or expected > limit:
        raise OverloadedError(service=service, waiting=load.waiting)
    return limit


def note_permit(load: RequestLoad, now: float) -> None:
    """Take note of a granted permit while others wait."""
    if load.waiting:
        gap = min(now - load.granted_at, 1.0)
        load.interval += SMOOTHING * (gap - load.interval)
    load.granted_at = now


def note_work(load: RequestLoad, seconds: float) -> None:
    """Take note of how long an answered attempt took."""
    load.work_seconds += SMOOTHING * (seconds - load.work_seconds)
