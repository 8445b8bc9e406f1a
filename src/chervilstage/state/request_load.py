"""The load of one service on an entry, and its retry budget."""

from __future__ import annotations


class ServiceLoad:
    """The requests of a service in flight and waiting, and its rate of permits.

    ``permit_interval_seconds`` is the smoothed time between permits while requests
    wait, ``work_seconds`` the smoothed duration of an attempt from its permit to its
    end. ``granted_at`` is when the last permit was granted.
    """

    def __init__(self) -> None:
        self.connections = 0
        self.waiting = 0
        self.in_flight = 0
        self.feeds = 0
        self.permit_interval_seconds = 0.0
        self.work_seconds = 0.0
        self.granted_at = float("-inf")


class RetryBudget:
    """The number of retries that a service may still make.

    Each first attempt adds a fraction of a retry, up to the limit.
    """

    def __init__(self, *, limit: float) -> None:
        self.limit = limit
        self.retries = limit
