"""Ejection of failing upstreams, trial requests and the turn to cold."""

from __future__ import annotations

from random import Random

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from chervilstage.coordination.health import (
    EJECTION_RATE,
    FLOOR_LOAD,
    FLOOR_SHARE,
    MINIMUM_FAILURES,
    USUAL_SAMPLES,
    Standing,
    Verdict,
    begin_attempt,
    end_attempt,
    standing,
)
from chervilstage.state.capacity import AttemptResult
from chervilstage.state.health import HealthTable

UPSTREAMS = 5
SLOTS = 4
SUCCEEDED, FAILED = AttemptResult.SUCCEEDED, AttemptResult.FAILED


def attempt(
    health: HealthTable,
    key: int,
    result: AttemptResult,
    now: float,
    seconds: float = 0.01,
    load: int = 0,
) -> Verdict:
    """Begin and end an attempt."""
    begin_attempt(health, key)
    others = dict.fromkeys(range(UPSTREAMS), SLOTS)
    return end_attempt(health, key, result, seconds, others, load, now, Random(1))


class HealthMachine(RuleBasedStateMachine):
    """Attempts with any result at any upstream that may get one."""

    @initialize()
    def start(self) -> None:
        self.health = HealthTable()
        self.now = 0.0
        self.load = 0
        self.results: dict[int, list[AttemptResult]] = {}
        self.trials: list[tuple[int, float]] = []
        self.older: list[tuple[int, float]] = []

    @rule(
        key=st.integers(0, UPSTREAMS - 1),
        results=st.lists(st.sampled_from(list(AttemptResult)), max_size=8),
    )
    def attempts(self, key: int, results: list[AttemptResult]) -> None:
        for result in results:
            if standing(self.health, key, self.now) is Standing.GOOD:
                self.check(key, result)

    @rule(key=st.integers(0, UPSTREAMS - 1))
    def begin_trial(self, key: int) -> None:
        if standing(self.health, key, self.now) is Standing.TRIAL_DUE:
            begin_attempt(self.health, key)
            self.trials.append((key, self.now))
            assert standing(self.health, key, self.now) is Standing.EJECTED

    @rule(result=st.sampled_from(list(AttemptResult)))
    def end_trial(self, result: AttemptResult) -> None:
        if self.trials:
            key, begun = self.trials.pop(0)
            verdict = self.end(key, result, begun)
            assert verdict.returned == (result is SUCCEEDED)
            self.results[key] = []

    @rule(key=st.integers(0, UPSTREAMS - 1))
    def begin_older(self, key: int) -> None:
        if standing(self.health, key, self.now) is Standing.GOOD:
            begin_attempt(self.health, key)
            self.older.append((key, self.now))

    @rule(result=st.sampled_from([SUCCEEDED, AttemptResult.REFUSED]))
    def end_older(self, result: AttemptResult) -> None:
        if self.older:
            key, begun = self.older.pop(0)
            assert not self.end(key, result, begun).returned
            self.results.setdefault(key, []).append(result)

    def end(self, key: int, result: AttemptResult, begun: float) -> Verdict:
        """End an attempt that began at a time."""
        others = dict.fromkeys(range(UPSTREAMS), SLOTS)
        seconds = self.now - begun
        return end_attempt(
            self.health, key, result, seconds, others, self.load, self.now, Random(2)
        )

    @rule(seconds=st.sampled_from([0.1, 3.0, 11.0]), load=st.integers(0, 20))
    def wait(self, seconds: float, load: int) -> None:
        before = self.health.ejected()
        self.now += seconds
        self.load = load
        assert self.health.ejected() == before, "returned without a trial"

    def check(self, key: int, result: AttemptResult) -> None:
        """Attempt, and check the conditions of an ejection."""
        seen = self.results.setdefault(key, [])
        seen.append(result)
        verdict = attempt(self.health, key, result, self.now, load=self.load)
        if not verdict.ejected:
            return
        counted = [r for r in seen if r in (SUCCEEDED, FAILED, AttemptResult.TIMED_OUT)]
        failures = sum(r is not SUCCEEDED for r in counted)
        least = 2 if self.health.get(key).strikes > 1 else MINIMUM_FAILURES
        assert failures >= least, seen
        rest = UPSTREAMS - len(self.health.ejected())
        assert self.load <= FLOOR_LOAD * rest * SLOTS

    @invariant()
    def floor_holds(self) -> None:
        if hasattr(self, "health"):
            rest = UPSTREAMS - len(self.health.ejected())
            assert rest >= FLOOR_SHARE * UPSTREAMS


class HealthTests(TestCase):
    """Guards against ejections that hurt more than the failing upstream does."""

    def test_ejection_keeps_its_conditions(self) -> None:
        run_state_machine_as_test(HealthMachine)

    def test_rate_below_the_limit_does_not_eject(self) -> None:
        health = HealthTable()
        share = round(1 / EJECTION_RATE) + 1
        for n in range(200):
            result = FAILED if n % share == 0 else SUCCEEDED
            verdict = attempt(health, 0, result, n * 0.1)
            self.assertThat(verdict.ejected, Equals(False))

    def test_failed_trial_doubles_the_wait(self) -> None:
        health, now = HealthTable(), 0.0
        while standing(health, 0, now) is Standing.GOOD:
            attempt(health, 0, FAILED, now)
        first = (health.get(0).trial_at or 0.0) - now
        now += first + 0.01
        attempt(health, 0, FAILED, now)
        second = (health.get(0).trial_at or 0.0) - now
        self.assertThat(round(second / first), Equals(2))

    def test_latency_far_above_the_usual_is_a_turn_to_cold(self) -> None:
        health = HealthTable()
        verdicts = [attempt(health, 0, SUCCEEDED, n * 0.1) for n in range(60)]
        verdicts += [attempt(health, 0, SUCCEEDED, 6 + n, 0.02) for n in range(20)]
        self.assertThat([v for v in verdicts if v.cold], HasLength(0))
        slow = [attempt(health, 0, SUCCEEDED, 30 + n * 0.1, 0.2) for n in range(5)]
        self.assertThat([v.cold for v in slow].count(True), Equals(1))

    def test_fresh_upstream_is_not_called_cold_for_its_first_latencies(self) -> None:
        health = HealthTable()
        for n in range(USUAL_SAMPLES):
            verdict = attempt(health, 0, SUCCEEDED, n * 0.1, 0.5 / (n + 1))
            self.assertThat(verdict.cold, Equals(False))
