"""Ejection, trial requests and the detection of a turn to cold."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple

from ..state.capacity import AttemptResult
from ..state.health import HealthTable, Observed, Outcome

WINDOW_SECONDS = 10.0
WINDOW_OUTCOMES = 20
MINIMUM_FAILURES = 5
# Ejection at half, but a return only after a trial; one good answer among failures
# does not bring an upstream back.
EJECTION_RATE = 0.5
MINIMUM_FAILURES_AFTER_RETURN = 2
FIRST_TRIAL_SECONDS = 2.0
MOST_TRIAL_SECONDS = 30.0
TRIAL_JITTER = 0.2
WELL_SUCCESSES = 20
# Never more than half: a fault that all upstreams share is no reason to eject them.
FLOOR_SHARE = 0.5
FLOOR_LOAD = 0.8

# An attempt that began before the trial was due is no trial.
ROUNDING_SECONDS = 1e-6

COLD_REFUSALS = 2
COLD_REFUSAL_SECONDS = 5.0
SLOW_FACTOR = 3.0
SLOW_STREAK = 3
USUAL_SAMPLES = 20
LATENCY_WEIGHT = 0.3
USUAL_LATENCY_WEIGHT = 0.05
COLD_AGAIN_SECONDS = 2.0

FAILURES = frozenset({AttemptResult.FAILED, AttemptResult.TIMED_OUT})


class Standing(StrEnum):
    """Whether an upstream may get requests."""

    GOOD = "good"
    TRIAL_DUE = "trial_due"
    EJECTED = "ejected"


class Verdict(NamedTuple):
    """What a result changed about an upstream."""

    cold: bool = False
    ejected: bool = False
    returned: bool = False


def standing(health: HealthTable, key: int, now: float) -> Standing:
    """Return whether an upstream may get a request now."""
    observed = health.get(key)
    if observed.trial_at is None:
        return Standing.GOOD
    if observed.trial_running or now < observed.trial_at:
        return Standing.EJECTED
    return Standing.TRIAL_DUE


def begin_attempt(health: HealthTable, key: int) -> None:
    """Note a request to an upstream; to an ejected one it is the trial."""
    observed = health.get(key)
    if observed.trial_at is not None:
        health.observed[key] = observed._replace(trial_running=True)


def end_attempt(
    health: HealthTable,
    key: int,
    result: AttemptResult,
    seconds: float,
    others: Mapping[int, int],
    load: int,
    now: float,
    rng: Random,
) -> Verdict:
    """Take the result of an attempt.

    :param others: the slots of all upstreams of the service that may get requests, by
        key.
    :param load: the requests in flight at the service, as far as is known.
    """
    before = health.get(key)
    observed = _record(before, result, seconds, now)
    cold = _is_cold(observed, now)
    if cold:
        observed = observed._replace(cold_at=now, refusals=(), slow_streak=0)
    if before.trial_at is not None:
        if now - seconds >= before.trial_at - ROUNDING_SECONDS:
            observed = _after_trial(observed, result, now, rng)
    elif _should_eject(observed) and _above_floor(health, key, others, load):
        observed = _eject(observed, now, rng)
    health.observed[key] = observed
    return Verdict(
        cold=cold,
        ejected=before.trial_at is None and observed.trial_at is not None,
        returned=before.trial_at is not None and observed.trial_at is None,
    )


def _record(
    observed: Observed, result: AttemptResult, seconds: float, now: float
) -> Observed:
    if result is AttemptResult.CANCELLED:
        return observed
    if result is AttemptResult.REFUSED:
        recent = [t for t in observed.refusals if now - t < COLD_REFUSAL_SECONDS]
        return observed._replace(refusals=(*recent, now)[-COLD_REFUSALS:])
    outcome = Outcome(at=now, failed=result in FAILURES)
    kept = [o for o in observed.outcomes if now - o.at < WINDOW_SECONDS]
    observed = observed._replace(outcomes=(*kept, outcome)[-WINDOW_OUTCOMES:])
    if outcome.failed:
        return observed._replace(well=0)
    well = observed.well + 1
    strikes = 0 if well >= WELL_SUCCESSES else observed.strikes
    return _with_latency(observed._replace(well=well, strikes=strikes), seconds)


def _with_latency(observed: Observed, seconds: float) -> Observed:
    usual = observed.usual_latency
    known = observed.samples >= USUAL_SAMPLES
    slow = known and seconds > SLOW_FACTOR * usual
    latency = observed.latency + LATENCY_WEIGHT * (seconds - observed.latency)
    if not slow:
        weight = max(USUAL_LATENCY_WEIGHT, 1 / (observed.samples + 1))
        usual += weight * (seconds - usual)
    return observed._replace(
        latency=latency if observed.samples else seconds,
        usual_latency=usual,
        samples=observed.samples + 1,
        slow_streak=observed.slow_streak + 1 if slow else 0,
    )


def _is_cold(observed: Observed, now: float) -> bool:
    if now - observed.cold_at < COLD_AGAIN_SECONDS:
        return False
    return (
        len(observed.refusals) >= COLD_REFUSALS or observed.slow_streak >= SLOW_STREAK
    )


def _should_eject(observed: Observed) -> bool:
    failures = sum(o.failed for o in observed.outcomes)
    least = MINIMUM_FAILURES_AFTER_RETURN if observed.strikes else MINIMUM_FAILURES
    if failures < least:
        return False
    return failures >= EJECTION_RATE * len(observed.outcomes)


def _above_floor(
    health: HealthTable, key: int, others: Mapping[int, int], load: int
) -> bool:
    """Tell whether the rest can do without an upstream."""
    gone = health.ejected() | {key}
    rest = [slots for other, slots in others.items() if other not in gone]
    if len(rest) < FLOOR_SHARE * len(others):
        return False
    return load <= FLOOR_LOAD * sum(rest)


def _eject(observed: Observed, now: float, rng: Random) -> Observed:
    wait = min(MOST_TRIAL_SECONDS, FIRST_TRIAL_SECONDS * 2**observed.strikes)
    wait *= 1 + rng.uniform(0, TRIAL_JITTER)
    return observed._replace(
        trial_at=now + wait,
        trial_running=False,
        strikes=observed.strikes + 1,
        outcomes=(),
        well=0,
    )


def _after_trial(
    observed: Observed, result: AttemptResult, now: float, rng: Random
) -> Observed:
    if not observed.trial_running:
        return observed
    if result is AttemptResult.SUCCEEDED:
        return observed._replace(trial_at=None, trial_running=False, outcomes=())
    if result in FAILURES:
        return _eject(observed, now, rng)
    return observed._replace(trial_running=False)
