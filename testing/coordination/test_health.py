"""Tests of ejection, trial requests and the detection of cold upstreams."""

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
    BASELINE_SAMPLES,
    EJECTION_RATE,
    MAXIMUM_REMAINING_LOAD,
    MINIMUM_FAILURES,
    MINIMUM_REMAINING_SHARE,
    EjectionState,
    HealthChange,
    begin_attempt,
    ejection_state,
    end_attempt,
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
) -> HealthChange:
    """Begin and end an attempt."""
    begin_attempt(health, key)
    others = dict.fromkeys(range(UPSTREAMS), SLOTS)
    return end_attempt(health, key, result, seconds, others, load, now, Random(1))


class HealthMachine(RuleBasedStateMachine):
    """Attempts with any result at any upstream that may receive one."""

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
            if ejection_state(self.health, key, self.now) is EjectionState.GOOD:
                self.check(key, result)

    @rule(key=st.integers(0, UPSTREAMS - 1))
    def begin_trial(self, key: int) -> None:
        if ejection_state(self.health, key, self.now) is EjectionState.TRIAL_DUE:
            begin_attempt(self.health, key)
            self.trials.append((key, self.now))
            assert ejection_state(self.health, key, self.now) is EjectionState.EJECTED

    @rule(result=st.sampled_from(list(AttemptResult)))
    def end_trial(self, result: AttemptResult) -> None:
        if self.trials:
            key, begun = self.trials.pop(0)
            verdict = self.end(key, result, begun)
            assert verdict.returned == (result is SUCCEEDED)
            self.results[key] = []

    @rule(key=st.integers(0, UPSTREAMS - 1))
    def begin_older(self, key: int) -> None:
        if ejection_state(self.health, key, self.now) is EjectionState.GOOD:
            begin_attempt(self.health, key)
            self.older.append((key, self.now))

    @rule(result=st.sampled_from([SUCCEEDED, AttemptResult.REFUSED]))
    def end_older(self, result: AttemptResult) -> None:
        if self.older:
            key, begun = self.older.pop(0)
            assert not self.end(key, result, begun).returned
            self.results.setdefault(key, []).append(result)

    def end(self, key: int, result: AttemptResult, begun: float) -> HealthChange:
        """End an attempt that began at the given time."""
        others = dict.fromkeys(range(UPSTREAMS), SLOTS)
        seconds = self.now - begun
        return end_attempt(
            self.health, key, result, seconds, others, self.load, self.now, Random(2)
        )

    @rule(seconds=st.sampled_from([0.1, 3.0, 11.0]), load=st.integers(0, 20))
    def wait(self, seconds: float, load: int) -> None:
        before = self.health.ejected_keys()
        self.now += seconds
        self.load = load
        assert self.health.ejected_keys() == before, "upstream returned without a trial"

    def check(self, key: int, result: AttemptResult) -> None:
        """Run an attempt and check the conditions of an ejection."""
        observed_results = self.results.setdefault(key, [])
        observed_results.append(result)
        verdict = attempt(self.health, key, result, self.now, load=self.load)
        if not verdict.ejected:
            return
        counted = [
            r
            for r in observed_results
            if r in (SUCCEEDED, FAILED, AttemptResult.TIMED_OUT)
        ]
        failures = sum(r is not SUCCEEDED for r in counted)
        minimum = 2 if self.health.get(key).ejection_count > 1 else MINIMUM_FAILURES
        assert failures >= minimum, observed_results
        remaining = UPSTREAMS - len(self.health.ejected_keys())
        assert self.load <= MAXIMUM_REMAINING_LOAD * remaining * SLOTS

    @invariant()
    def enough_upstreams_remain(self) -> None:
        if hasattr(self, "health"):
            remaining = UPSTREAMS - len(self.health.ejected_keys())
            assert remaining >= MINIMUM_REMAINING_SHARE * UPSTREAMS


class HealthTests(TestCase):
    """Guards against ejections that do more harm than the failing upstream."""

    def test_ejections_leave_enough_upstreams_and_need_failures(self) -> None:
        run_state_machine_as_test(HealthMachine)

    def test_failure_rate_below_the_limit_does_not_eject(self) -> None:
        health = HealthTable()
        failure_interval = round(1 / EJECTION_RATE) + 1
        for n in range(200):
            result = FAILED if n % failure_interval == 0 else SUCCEEDED
            verdict = attempt(health, 0, result, n * 0.1)
            self.assertThat(verdict.ejected, Equals(False))

    def test_failed_trial_doubles_the_delay_of_the_next_one(self) -> None:
        health, now = HealthTable(), 0.0
        while ejection_state(health, 0, now) is EjectionState.GOOD:
            attempt(health, 0, FAILED, now)
        first = (health.get(0).trial_at or 0.0) - now
        now += first + 0.01
        attempt(health, 0, FAILED, now)
        second = (health.get(0).trial_at or 0.0) - now
        self.assertThat(round(second / first), Equals(2))

    def test_latency_far_above_the_baseline_marks_an_upstream_cold_once(self) -> None:
        health = HealthTable()
        verdicts = [attempt(health, 0, SUCCEEDED, n * 0.1) for n in range(60)]
        verdicts += [attempt(health, 0, SUCCEEDED, 6 + n, 0.02) for n in range(20)]
        self.assertThat([v for v in verdicts if v.cold], HasLength(0))
        slow = [attempt(health, 0, SUCCEEDED, 30 + n * 0.1, 0.2) for n in range(5)]
        self.assertThat([v.cold for v in slow].count(True), Equals(1))

    def test_first_latencies_do_not_mark_a_new_upstream_cold(self) -> None:
        health = HealthTable()
        for n in range(BASELINE_SAMPLES):
            verdict = attempt(health, 0, SUCCEEDED, n * 0.1, 0.5 / (n + 1))
            self.assertThat(verdict.cold, Equals(False))
