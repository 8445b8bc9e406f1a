"""A simulated service in overload, driven by the decisions of an entry.

The permits are as many as the upstreams' slots, as leases keep them. In overload the
upstreams refuse a share of the attempts all the same, and each refusal costs them some
work. Callers give up at their deadline and retry a few times.
"""

from __future__ import annotations

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

from chervilstage.coordination.admission import admit_request, note_permit, note_work
from chervilstage.coordination.retry_policy import (
    BUDGET_LIMIT,
    note_first_attempt,
    take_retry,
)
from chervilstage.errors.requests import OverloadedError
from chervilstage.state.outcomes import NotRun
from chervilstage.state.request_load import RequestLoad, RetryBudget

SLOTS = 8
SHED_SHARE = 0.2
WORK_SECONDS = 0.05
CAPACITY = SLOTS / WORK_SECONDS
REFUSAL_SECONDS = 0.002
REFUSAL_WORK_SECONDS = 0.01
MOST_DEBT_PER_WORK = 0.2
DEADLINE_SECONDS = 0.5
CALLER_TRIES = 3
CALLER_PAUSE_SECONDS = 0.1
RETRY_SHARE = 0.1
CALM_SHARE, OVERLOAD_SHARE, AFTER_SHARE = 0.5, 2.0, 0.8
OVERLOAD_AT, OVERLOAD_END, END = 5.0, 15.0, 45.0
WINDOW_SECONDS = 0.5
IN_TIME_SHARE = 0.99


class Variant(NamedTuple):
    """Which limits of the entry are in force."""

    retry_limit: bool = True
    admission_limit: bool = True


class SimulatedRequest(NamedTuple):
    """One try of a caller."""

    arrived: float
    tries: int
    wait_until: float = float("inf")

    @property
    def deadline(self) -> float:
        """Return when the caller gives up."""
        return self.arrived + DEADLINE_SECONDS


class Overload:
    """The state of one simulated run."""

    def __init__(self, *, variant: Variant, seed: int) -> None:
        self.variant = variant
        self.rng = Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.load = RequestLoad()
        self.budget = RetryBudget(limit=BUDGET_LIMIT)
        self.queue: deque[SimulatedRequest] = deque()
        self.permits = SLOTS
        self.debt = 0.0
        self.answered: list[float] = []
        self.failed: list[float] = []

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Schedule an event."""
        heapq.heappush(self.events, (time, next(self.order), event))

    def run(self) -> None:
        """Run from calm through overload to calm."""
        self.at(0.0, self.arrive)
        while self.events and self.now < END:
            self.now, _, event = heapq.heappop(self.events)
            event()

    def arrive(self) -> None:
        """Let the next caller come."""
        share = CALM_SHARE
        if self.now >= OVERLOAD_AT:
            share = OVERLOAD_SHARE if self.now < OVERLOAD_END else AFTER_SHARE
        self.submit(SimulatedRequest(arrived=self.now, tries=1))
        self.at(self.now + self.rng.expovariate(CAPACITY * share), self.arrive)

    def submit(self, request: SimulatedRequest) -> None:
        """Admit a request to the queue, or refuse it."""
        note_first_attempt(self.budget, RETRY_SHARE)
        self.enqueue(request)

    def enqueue(self, request: SimulatedRequest) -> None:
        """Queue a request for a permit."""
        if self.variant.admission_limit:
            try:
                left = request.deadline - self.now
                wait = admit_request(self.load, "simulated", left)
            except OverloadedError:
                self.fail(request)
                return
            request = request._replace(wait_until=self.now + wait)
            self.at(request.wait_until, self.serve_queue)
        self.queue.append(request)
        self.serve_queue()

    def serve_queue(self) -> None:
        """Give permits to the requests that have waited longest."""
        while self.queue and self.queue[0].wait_until <= self.now:
            self.fail(self.queue.popleft())
        while self.queue and self.permits:
            request = self.queue.popleft()
            self.permits -= 1
            self.load.waiting = len(self.queue)
            note_permit(self.load, self.now)
            self.attempt(request)
        self.load.waiting = len(self.queue)

    def attempt(self, request: SimulatedRequest) -> None:
        """Send a request to the upstreams."""
        overloaded = OVERLOAD_AT <= self.now < OVERLOAD_END
        if overloaded and self.rng.random() < SHED_SHARE:
            self.debt += REFUSAL_WORK_SECONDS
            self.at(self.now + REFUSAL_SECONDS, lambda: self.refused(request))
            return
        extra = min(self.debt, MOST_DEBT_PER_WORK)
        self.debt -= extra
        self.at(
            self.now + WORK_SECONDS + extra,
            lambda: self.done(request, WORK_SECONDS + extra),
        )

    def refused(self, request: SimulatedRequest) -> None:
        """Retry a refused request as far as the policy allows."""
        self.permits += 1
        left = request.deadline - self.now
        outcome = NotRun(reason="refused")
        if self.variant.retry_limit:
            again = take_retry(self.budget, outcome, True, left)
        else:
            again = left > 0
        if again:
            self.enqueue(request)
        else:
            self.fail(request)
        self.serve_queue()

    def done(self, request: SimulatedRequest, seconds: float) -> None:
        """Take an answer, which may come too late.

        :param seconds: how long the work took.
        """
        self.permits += 1
        note_work(self.load, seconds)
        if self.now <= request.deadline:
            self.answered.append(self.now)
        else:
            self.fail(request)
        self.serve_queue()

    def fail(self, request: SimulatedRequest) -> None:
        """Let the caller of a request that failed try again."""
        self.failed.append(self.now)
        if request.tries < CALLER_TRIES:
            again = SimulatedRequest(
                arrived=self.now + CALLER_PAUSE_SECONDS, tries=request.tries + 1
            )
            self.at(again.arrived, lambda: self.submit(again))

    def answered_share(self) -> float:
        """Return what was answered in time in overload, as a share of the capacity."""
        inside = [t for t in self.answered if OVERLOAD_AT <= t < OVERLOAD_END]
        return len(inside) / (CAPACITY * (OVERLOAD_END - OVERLOAD_AT))

    def recovery_seconds(self) -> float:
        """Return how long after the overload requests were still not in time."""
        recovered = OVERLOAD_END
        start = OVERLOAD_END
        while start < END - WINDOW_SECONDS:
            end = start + WINDOW_SECONDS
            good = sum(start <= t < end for t in self.answered)
            bad = sum(start <= t < end for t in self.failed)
            if good < IN_TIME_SHARE * (good + bad) or not good:
                recovered = end
            start = end
        return recovered - OVERLOAD_END
