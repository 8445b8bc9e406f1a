"""Simulated faults of upstreams for the comparison of ejection with its variants."""

from __future__ import annotations

import heapq
from random import Random
from typing import NamedTuple

from chervilstage.coordination.health import (
    Standing,
    begin_attempt,
    end_attempt,
    standing,
)
from chervilstage.state.capacity import AttemptResult
from chervilstage.state.health import HealthTable

UPSTREAMS = 7
SLOTS = 4
SECONDS = 120.0
# Half of what seven upstreams with four slots bear at 50 ms each.
RATE = 280.0
ENTRIES = 4
WORK_SECONDS = 0.05
TIMEOUT_SECONDS = 1.0
SEEDS = range(3)


class Ended(NamedTuple):
    """An attempt that ends at a time."""

    at: float
    entry: int
    key: int
    result: AttemptResult
    seconds: float


def fault_of(key: int, now: float, rng: Random) -> AttemptResult:
    """Return the result that an upstream gives to an attempt.

    Upstream 0 refuses connections for 60 s, upstream 1 is silent for 30 s, and
    upstream 2 drops one connection in ten all the time.
    """
    if key == 0 and 20 <= now < 80:
        return AttemptResult.FAILED
    if key == 1 and 50 <= now < 80:
        return AttemptResult.TIMED_OUT
    if key == 2 and rng.random() < 0.1:
        return AttemptResult.FAILED
    return AttemptResult.SUCCEEDED


def failed_attempts(variant: str) -> int:
    """Return how many attempts fail in all cases.

    :param variant: empty for what is built; ``no_trial`` returns an upstream once its
        wait is over, ``connection_errors_ignored`` counts only timeouts,
        ``no_ejection`` uses all upstreams at all times.
    """
    return sum(run(variant, Random(seed)) for seed in SEEDS)


def run(variant: str, rng: Random) -> int:
    """Return how many attempts fail in one case."""
    tables = [HealthTable() for _ in range(ENTRIES)]
    running: list[Ended] = []
    now, failed = 0.0, 0
    while now < SECONDS:
        now += rng.expovariate(RATE)
        while running and running[0].at <= now:
            ended = heapq.heappop(running)
            failed += ended.result is not AttemptResult.SUCCEEDED
            finish(tables[ended.entry], ended, len(running), variant, rng)
        entry = rng.randrange(ENTRIES)
        key = choose(tables[entry], now, variant, rng)
        result = fault_of(key, now, rng)
        seconds = TIMEOUT_SECONDS if result is AttemptResult.TIMED_OUT else WORK_SECONDS
        if result is AttemptResult.FAILED:
            seconds = 0.001
        ended = Ended(
            at=now + seconds, entry=entry, key=key, result=result, seconds=seconds
        )
        heapq.heappush(running, ended)
    return failed


def choose(health: HealthTable, now: float, variant: str, rng: Random) -> int:
    """Choose an upstream at random, a due trial first."""
    if variant == "no_trial":
        for key in health.ejected():
            observed = health.get(key)
            if observed.trial_at is not None and now >= observed.trial_at:
                health.observed[key] = observed._replace(trial_at=None)
    states = {key: standing(health, key, now) for key in range(UPSTREAMS)}
    due = [key for key, state in states.items() if state is Standing.TRIAL_DUE]
    good = [key for key, state in states.items() if state is Standing.GOOD]
    key = due[0] if due else rng.choice(good)
    begin_attempt(health, key)
    return key


def finish(
    health: HealthTable, ended: Ended, in_flight: int, variant: str, rng: Random
) -> None:
    """Tell an entry the result of its attempt."""
    result = ended.result
    if variant == "no_ejection":
        result = AttemptResult.CANCELLED
    if variant == "connection_errors_ignored" and result is AttemptResult.FAILED:
        result = AttemptResult.CANCELLED
    others = dict.fromkeys(range(UPSTREAMS), SLOTS)
    end_attempt(
        health, ended.key, result, ended.seconds, others, in_flight, ended.at, rng
    )
