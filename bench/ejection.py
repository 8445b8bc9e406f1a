"""Compare ejection with its variants under simulated faults of upstreams."""

from __future__ import annotations

import heapq
from random import Random
from typing import NamedTuple

from chervilstage.coordination.health import (
    EjectionState,
    begin_attempt,
    ejection_state,
    end_attempt,
)
from chervilstage.state.capacity import AttemptResult
from chervilstage.state.health import HealthTable

UPSTREAM_COUNT = 7
SLOTS_PER_UPSTREAM = 4
SIMULATED_SECONDS = 120.0
# Half of the capacity of seven upstreams with four slots at 50 ms per request.
REQUESTS_PER_SECOND = 280.0
ENTRY_COUNT = 4
ATTEMPT_SECONDS = 0.05
TIMEOUT_SECONDS = 1.0
SEEDS = range(3)


class AttemptEnd(NamedTuple):
    """The scheduled end of an attempt and its result."""

    at: float
    entry: int
    key: int
    result: AttemptResult
    seconds: float


def simulate_result(key: int, now: float, rng: Random) -> AttemptResult:
    """Return the result of an attempt at an upstream.

    Upstream 0 refuses connections for 60 s, upstream 1 does not answer for 30 s, and
    upstream 2 drops one connection in ten throughout.
    """
    if key == 0 and 20 <= now < 80:
        return AttemptResult.FAILED
    if key == 1 and 50 <= now < 80:
        return AttemptResult.TIMED_OUT
    if key == 2 and rng.random() < 0.1:
        return AttemptResult.FAILED
    return AttemptResult.SUCCEEDED


def failed_attempts(variant: str) -> int:
    """Return how many attempts fail with all seeds together.

    :param variant: empty for the implemented policy; ``no_trial`` reinstates an
        upstream when its ejection ends, ``connection_errors_ignored`` counts only
        timeouts, ``no_ejection`` uses all upstreams at all times.
    """
    return sum(run_case(variant, Random(seed)) for seed in SEEDS)


def run_case(variant: str, rng: Random) -> int:
    """Return how many attempts fail in one run."""
    health_tables = [HealthTable() for _ in range(ENTRY_COUNT)]
    attempts_in_flight: list[AttemptEnd] = []
    now, failed_count = 0.0, 0
    while now < SIMULATED_SECONDS:
        now += rng.expovariate(REQUESTS_PER_SECOND)
        while attempts_in_flight and attempts_in_flight[0].at <= now:
            attempt = heapq.heappop(attempts_in_flight)
            failed_count += attempt.result is not AttemptResult.SUCCEEDED
            record_result(
                health_tables[attempt.entry],
                attempt,
                len(attempts_in_flight),
                variant,
                rng,
            )
        entry = rng.randrange(ENTRY_COUNT)
        key = choose_upstream(health_tables[entry], now, variant, rng)
        result = simulate_result(key, now, rng)
        seconds = (
            TIMEOUT_SECONDS if result is AttemptResult.TIMED_OUT else ATTEMPT_SECONDS
        )
        if result is AttemptResult.FAILED:
            seconds = 0.001
        attempt = AttemptEnd(
            at=now + seconds, entry=entry, key=key, result=result, seconds=seconds
        )
        heapq.heappush(attempts_in_flight, attempt)
    return failed_count


def choose_upstream(health: HealthTable, now: float, variant: str, rng: Random) -> int:
    """Choose an upstream that is due for a trial, or else a random one not ejected."""
    if variant == "no_trial":
        for key in health.ejected_keys():
            observed = health.get(key)
            if observed.trial_at is not None and now >= observed.trial_at:
                health.observed[key] = observed._replace(trial_at=None)
    states = {key: ejection_state(health, key, now) for key in range(UPSTREAM_COUNT)}
    trial_due = [
        key for key, state in states.items() if state is EjectionState.TRIAL_DUE
    ]
    available = [key for key, state in states.items() if state is EjectionState.GOOD]
    key = trial_due[0] if trial_due else rng.choice(available)
    begin_attempt(health, key)
    return key


def record_result(
    health: HealthTable, attempt: AttemptEnd, in_flight: int, variant: str, rng: Random
) -> None:
    """Record the result of an attempt in the health table of its entry."""
    result = attempt.result
    if variant == "no_ejection":
        result = AttemptResult.CANCELLED
    if variant == "connection_errors_ignored" and result is AttemptResult.FAILED:
        result = AttemptResult.CANCELLED
    slots_by_upstream = dict.fromkeys(range(UPSTREAM_COUNT), SLOTS_PER_UPSTREAM)
    end_attempt(
        health,
        attempt.key,
        result,
        attempt.seconds,
        slots_by_upstream,
        in_flight,
        attempt.at,
        rng,
    )
