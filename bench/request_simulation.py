"""Simulate a service in overload, using an entry's admission and retry decisions.

There are as many permits as upstream slots, as capacity leases ensure. In overload the
upstreams still refuse a share of the attempts, and each refusal costs them some work.
Callers abandon a request at its deadline and retry a few times.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from chervilstage.coordination.admission import (
    admit_request,
    record_attempt_duration,
    record_permit,
)
from chervilstage.coordination.retry_policy import (
    RETRY_BUDGET_LIMIT,
    credit_retry_budget,
    try_consume_retry,
)
from chervilstage.errors.requests import OverloadedError
from chervilstage.state.outcomes import NotRun
from chervilstage.state.request_load import RetryBudget, ServiceLoad

SLOTS = 8
SHED_SHARE = 0.2
WORK_SECONDS = 0.05
CAPACITY_PER_SECOND = SLOTS / WORK_SECONDS
# A refusal returns quickly, but its work delays later attempts at the upstreams.
REFUSAL_SECONDS = 0.002
REFUSAL_WORK_SECONDS = 0.01
MAX_BACKLOG_SECONDS_PER_ATTEMPT = 0.2
DEADLINE_SECONDS = 0.5
CALLER_ATTEMPTS = 3
CALLER_RETRY_DELAY_SECONDS = 0.1
RETRY_BUDGET_SHARE = 0.1
# Offered load as a share of the capacity.
NORMAL_SHARE, OVERLOAD_SHARE, RECOVERY_SHARE = 0.5, 2.0, 0.8
OVERLOAD_STARTS_AT, OVERLOAD_ENDS_AT, SIMULATION_ENDS_AT = 5.0, 15.0, 45.0
WINDOW_SECONDS = 0.5
IN_TIME_SHARE = 0.99


class Variant(NamedTuple):
    """The limits that the entry applies."""

    retry_limit: bool = True
    admission_limit: bool = True


class SimulatedRequest(NamedTuple):
    """One attempt of a caller; ``attempts`` includes this one."""

    arrived_at: float
    attempts: int
    wait_until: float = float("inf")

    @property
    def deadline(self) -> float:
        """Return when the caller stops waiting."""
        return self.arrived_at + DEADLINE_SECONDS


class OverloadSimulation:
    """The state of one simulated run."""

    def __init__(self, *, variant: Variant, seed: int) -> None:
        self.variant = variant
        self.rng = Random(seed)
        self.now = 0.0
        self.event_numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.load = ServiceLoad()
        self.budget = RetryBudget(limit=RETRY_BUDGET_LIMIT)
        self.queue: deque[SimulatedRequest] = deque()
        self.permits = SLOTS
        self.refusal_backlog_seconds = 0.0
        self.answered_at: list[float] = []
        self.failed_at: list[float] = []

    def schedule(self, event_time: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (event_time, next(self.event_numbers), event))

    def run(self) -> None:
        """Run a normal load, an overload, and a load below capacity."""
        self.schedule(0.0, self.handle_arrival)
        while self.events and self.now < SIMULATION_ENDS_AT:
            self.now, _, event = heapq.heappop(self.events)
            event()

    def handle_arrival(self) -> None:
        """Submit the request of a new caller and schedule the next arrival."""
        load_share = NORMAL_SHARE
        if self.now >= OVERLOAD_STARTS_AT:
            load_share = (
                OVERLOAD_SHARE if self.now < OVERLOAD_ENDS_AT else RECOVERY_SHARE
            )
        self.submit(SimulatedRequest(arrived_at=self.now, attempts=1))
        self.schedule(
            self.now + self.rng.expovariate(CAPACITY_PER_SECOND * load_share),
            self.handle_arrival,
        )

    def submit(self, request: SimulatedRequest) -> None:
        """Count a first attempt for the retry budget and enqueue the request."""
        credit_retry_budget(self.budget, RETRY_BUDGET_SHARE)
        self.enqueue(request)

    def enqueue(self, request: SimulatedRequest) -> None:
        """Queue a request for a permit, or reject it."""
        if self.variant.admission_limit:
            try:
                remaining_seconds = request.deadline - self.now
                wait_seconds = admit_request(self.load, "simulated", remaining_seconds)
            except OverloadedError:
                self.record_failure(request)
                return
            request = request._replace(wait_until=self.now + wait_seconds)
            self.schedule(request.wait_until, self.serve_queue)
        self.queue.append(request)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Reject expired requests and grant permits to the oldest ones."""
        while self.queue and self.queue[0].wait_until <= self.now:
            self.record_failure(self.queue.popleft())
        while self.queue and self.permits:
            request = self.queue.popleft()
            self.permits -= 1
            self.load.waiting = len(self.queue)
            record_permit(self.load, self.now)
            self.start_attempt(request)
        self.load.waiting = len(self.queue)

    def start_attempt(self, request: SimulatedRequest) -> None:
        """Send a request to the upstreams."""
        overloaded = OVERLOAD_STARTS_AT <= self.now < OVERLOAD_ENDS_AT
        if overloaded and self.rng.random() < SHED_SHARE:
            self.refusal_backlog_seconds += REFUSAL_WORK_SECONDS
            self.schedule(
                self.now + REFUSAL_SECONDS, lambda: self.handle_refusal(request)
            )
            return
        backlog_seconds = min(
            self.refusal_backlog_seconds, MAX_BACKLOG_SECONDS_PER_ATTEMPT
        )
        self.refusal_backlog_seconds -= backlog_seconds
        self.schedule(
            self.now + WORK_SECONDS + backlog_seconds,
            lambda: self.handle_completion(request, WORK_SECONDS + backlog_seconds),
        )

    def handle_refusal(self, request: SimulatedRequest) -> None:
        """Retry a refused request if the policy allows it."""
        self.permits += 1
        remaining_seconds = request.deadline - self.now
        outcome = NotRun(reason="refused")
        if self.variant.retry_limit:
            should_retry = try_consume_retry(
                self.budget, outcome, True, remaining_seconds
            )
        else:
            should_retry = remaining_seconds > 0
        if should_retry:
            self.enqueue(request)
        else:
            self.record_failure(request)
        self.serve_queue()

    def handle_completion(self, request: SimulatedRequest, work_seconds: float) -> None:
        """Record an answer, which may be too late.

        :param work_seconds: how long the attempt took.
        """
        self.permits += 1
        record_attempt_duration(self.load, work_seconds)
        if self.now <= request.deadline:
            self.answered_at.append(self.now)
        else:
            self.record_failure(request)
        self.serve_queue()

    def record_failure(self, request: SimulatedRequest) -> None:
        """Record a failed request and schedule the retry of its caller."""
        self.failed_at.append(self.now)
        if request.attempts < CALLER_ATTEMPTS:
            retry = SimulatedRequest(
                arrived_at=self.now + CALLER_RETRY_DELAY_SECONDS,
                attempts=request.attempts + 1,
            )
            self.schedule(retry.arrived_at, lambda: self.submit(retry))

    def answered_share(self) -> float:
        """Return the answers in time during overload, as a share of the capacity."""
        answered_in_overload = [
            timestamp
            for timestamp in self.answered_at
            if OVERLOAD_STARTS_AT <= timestamp < OVERLOAD_ENDS_AT
        ]
        return len(answered_in_overload) / (
            CAPACITY_PER_SECOND * (OVERLOAD_ENDS_AT - OVERLOAD_STARTS_AT)
        )

    def recovery_seconds(self) -> float:
        """Return the seconds from the end of the overload until answers are in time."""
        recovered_at = OVERLOAD_ENDS_AT
        window_start = OVERLOAD_ENDS_AT
        while window_start < SIMULATION_ENDS_AT - WINDOW_SECONDS:
            window_end = window_start + WINDOW_SECONDS
            answered_count = sum(
                window_start <= timestamp < window_end for timestamp in self.answered_at
            )
            failed_count = sum(
                window_start <= timestamp < window_end for timestamp in self.failed_at
            )
            if (
                answered_count < IN_TIME_SHARE * (answered_count + failed_count)
                or not answered_count
            ):
                recovered_at = window_end
            window_start = window_end
        return recovered_at - OVERLOAD_ENDS_AT
