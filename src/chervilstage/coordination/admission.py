"""Admission of connections and requests of a service to the permit queue."""

from __future__ import annotations

from ..errors.requests import ConnectionLimitError, OverloadedError
from ..state.request_load import ServiceLoad

# Limits for one service at one entry.
MAXIMUM_CONNECTIONS = 2_000
MAXIMUM_FEEDS = 2_000
MAXIMUM_WAITING_REQUESTS = 512
# The largest share of the time to its deadline that a request may wait. In overload the
# queue is always full, and a longer one answers no more requests but delays them all. A
# request that would wait longer is refused at once, so that its caller can still retry
# elsewhere.
WAIT_SHARE = 0.2
# An attempt takes up to this many times its smoothed duration. A request that starts
# with less time left is answered too late and wastes its slot.
WORK_MARGIN = 1.5
# Weight of the newest sample in the moving averages of permits and durations.
SMOOTHING_WEIGHT = 0.1


def admit_connection(load: ServiceLoad, service: str) -> None:
    """Check the limit of connections; the new connection is already counted.

    :raises ConnectionLimitError: the service has too many connections.
    """
    if load.connections > MAXIMUM_CONNECTIONS:
        raise ConnectionLimitError(service=service, limit=MAXIMUM_CONNECTIONS)


def admit_request(load: ServiceLoad, service: str, remaining_seconds: float) -> float:
    """Return how long a request may wait for a permit, in seconds.

    :param remaining_seconds: time until the caller's deadline.
    :raises OverloadedError: the request would wait too long to be answered in time.
    """
    spare = remaining_seconds - WORK_MARGIN * load.work_seconds
    limit = max(0.0, min(remaining_seconds * WAIT_SHARE, spare))
    expected = load.waiting * load.permit_interval_seconds
    if load.waiting >= MAXIMUM_WAITING_REQUESTS or expected > limit:
        raise OverloadedError(service=service, waiting=load.waiting)
    return limit


def record_permit(load: ServiceLoad, now: float) -> None:
    """Update the smoothed interval between permits while requests wait."""
    if load.waiting:
        gap = min(now - load.granted_at, 1.0)
        load.permit_interval_seconds += SMOOTHING_WEIGHT * (
            gap - load.permit_interval_seconds
        )
    load.granted_at = now


def record_attempt_duration(load: ServiceLoad, seconds: float) -> None:
    """Update the smoothed duration of answered attempts."""
    load.work_seconds += SMOOTHING_WEIGHT * (seconds - load.work_seconds)
