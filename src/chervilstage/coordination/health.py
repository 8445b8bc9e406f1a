"""Ejection of upstreams, trial requests and detection of cold upstreams."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple

from ..state.capacity import AttemptResult
from ..state.health import AttemptOutcome, HealthTable, UpstreamObservations

WINDOW_SECONDS = 10.0
WINDOW_OUTCOMES = 20
MINIMUM_FAILURES = 5
# Ejection starts at this share of failures, but an upstream returns only after a trial:
# a single success among failures does not end the ejection.
EJECTION_RATE = 0.5
MINIMUM_FAILURES_AFTER_RETURN = 2
FIRST_TRIAL_SECONDS = 2.0
MAXIMUM_TRIAL_SECONDS = 30.0
TRIAL_JITTER = 0.2
# After this many successes in a row, earlier ejections no longer count.
RECOVERY_SUCCESSES = 20
# At most half of the upstreams are ejected: a fault that they all share is no reason to
# eject them. The load may take up at most MAXIMUM_REMAINING_LOAD of the other slots.
MINIMUM_REMAINING_SHARE = 0.5
MAXIMUM_REMAINING_LOAD = 0.8

# An attempt that began before the trial was due is not the trial. Its start is computed
# from its duration, so the comparison tolerates a rounding error.
ROUNDING_SECONDS = 1e-6

# An upstream counts as cold after COLD_REFUSALS within COLD_REFUSAL_SECONDS, or after
# SLOW_STREAK successes in a row that took over SLOW_FACTOR times as long as usual.
COLD_REFUSALS = 2
COLD_REFUSAL_SECONDS = 5.0
SLOW_FACTOR = 3.0
SLOW_STREAK = 3
# The usual latency is known after this many successes.
BASELINE_SAMPLES = 20
LATENCY_WEIGHT = 0.3
BASELINE_LATENCY_WEIGHT = 0.05
# Minimum time between two reports of an upstream as cold.
COLD_REPEAT_SECONDS = 2.0

FAILURES = frozenset({AttemptResult.FAILED, AttemptResult.TIMED_OUT})


class EjectionState(StrEnum):
    """Whether an upstream may receive requests."""

    GOOD = "good"
    TRIAL_DUE = "trial_due"
    EJECTED = "ejected"


class HealthChange(NamedTuple):
    """The changes of an upstream's health that follow from a result."""

    cold: bool = False
    ejected: bool = False
    returned: bool = False


def ejection_state(health: HealthTable, key: int, now: float) -> EjectionState:
    """Return whether an upstream may receive a request now."""
    observed = health.get(key)
    if observed.trial_at is None:
        return EjectionState.GOOD
    if observed.trial_running or now < observed.trial_at:
        return EjectionState.EJECTED
    return EjectionState.TRIAL_DUE


def begin_attempt(health: HealthTable, key: int) -> None:
    """Record the start of an attempt; at an ejected upstream it is the trial."""
    observed = health.get(key)
    if observed.trial_at is not None:
        health.observed[key] = observed._replace(trial_running=True)


def end_attempt(
    health: HealthTable,
    key: int,
    result: AttemptResult,
    seconds: float,
    slots_by_key: Mapping[int, int],
    load: int,
    now: float,
    rng: Random,
) -> HealthChange:
    """Record the result of an attempt and return the changes that follow from it.

    :param slots_by_key: the slots of all upstreams of the service that may receive
        requests, which may include this one.
    :param load: the known number of requests in flight at the service.
    """
    before = health.get(key)
    observed = _record_result(before, result, seconds, now)
    cold = _is_cold(observed, now)
    if cold:
        observed = observed._replace(last_cold_at=now, refusals=(), consecutive_slow=0)
    if before.trial_at is not None:
        if now - seconds >= before.trial_at - ROUNDING_SECONDS:
            observed = _record_trial_result(observed, result, now, rng)
    elif _should_eject(observed) and _is_ejection_allowed(
        health, key, slots_by_key, load
    ):
        observed = _eject(observed, now, rng)
    health.observed[key] = observed
    return HealthChange(
        cold=cold,
        ejected=before.trial_at is None and observed.trial_at is not None,
        returned=before.trial_at is not None and observed.trial_at is None,
    )


def _record_result(
    observed: UpstreamObservations, result: AttemptResult, seconds: float, now: float
) -> UpstreamObservations:
    if result is AttemptResult.CANCELLED:
        return observed
    if result is AttemptResult.REFUSED:
        recent = [t for t in observed.refusals if now - t < COLD_REFUSAL_SECONDS]
        return observed._replace(refusals=(*recent, now)[-COLD_REFUSALS:])
    outcome = AttemptOutcome(at=now, failed=result in FAILURES)
    recent_outcomes = [o for o in observed.outcomes if now - o.at < WINDOW_SECONDS]
    observed = observed._replace(
        outcomes=(*recent_outcomes, outcome)[-WINDOW_OUTCOMES:]
    )
    if outcome.failed:
        return observed._replace(successes_since_failure=0)
    successes = observed.successes_since_failure + 1
    ejections = 0 if successes >= RECOVERY_SUCCESSES else observed.ejection_count
    return _update_latency(
        observed._replace(successes_since_failure=successes, ejection_count=ejections),
        seconds,
    )


def _update_latency(
    observed: UpstreamObservations, seconds: float
) -> UpstreamObservations:
    baseline = observed.usual_latency
    has_baseline = observed.samples >= BASELINE_SAMPLES
    slow = has_baseline and seconds > SLOW_FACTOR * baseline
    latency = observed.latency + LATENCY_WEIGHT * (seconds - observed.latency)
    if not slow:
        weight = max(BASELINE_LATENCY_WEIGHT, 1 / (observed.samples + 1))
        baseline += weight * (seconds - baseline)
    return observed._replace(
        latency=latency if observed.samples else seconds,
        usual_latency=baseline,
        samples=observed.samples + 1,
        consecutive_slow=observed.consecutive_slow + 1 if slow else 0,
    )


def _is_cold(observed: UpstreamObservations, now: float) -> bool:
    if now - observed.last_cold_at < COLD_REPEAT_SECONDS:
        return False
    return (
        len(observed.refusals) >= COLD_REFUSALS
        or observed.consecutive_slow >= SLOW_STREAK
    )


def _should_eject(observed: UpstreamObservations) -> bool:
    failures = sum(o.failed for o in observed.outcomes)
    minimum = (
        MINIMUM_FAILURES_AFTER_RETURN if observed.ejection_count else MINIMUM_FAILURES
    )
    if failures < minimum:
        return False
    return failures >= EJECTION_RATE * len(observed.outcomes)


def _is_ejection_allowed(
    health: HealthTable, key: int, slots_by_key: Mapping[int, int], load: int
) -> bool:
    """Return whether the other upstreams can carry the load without this one."""
    excluded = health.ejected_keys() | {key}
    remaining = [
        slots for other, slots in slots_by_key.items() if other not in excluded
    ]
    if len(remaining) < MINIMUM_REMAINING_SHARE * len(slots_by_key):
        return False
    return load <= MAXIMUM_REMAINING_LOAD * sum(remaining)


def _eject(
    observed: UpstreamObservations, now: float, rng: Random
) -> UpstreamObservations:
    wait = min(MAXIMUM_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * 2**observed.ejection_count)
    wait *= 1 + rng.uniform(0, TRIAL_JITTER)
    return observed._replace(
        trial_at=now + wait,
        trial_running=False,
        ejection_count=observed.ejection_count + 1,
        outcomes=(),
        successes_since_failure=0,
    )


def _record_trial_result(
    observed: UpstreamObservations, result: AttemptResult, now: float, rng: Random
) -> UpstreamObservations:
    if not observed.trial_running:
        return observed
    if result is AttemptResult.SUCCEEDED:
        return observed._replace(trial_at=None, trial_running=False, outcomes=())
    if result in FAILURES:
        return _eject(observed, now, rng)
    return observed._replace(trial_running=False)
