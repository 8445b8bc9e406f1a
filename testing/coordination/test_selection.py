"""Tests of the selection of an upstream for a request."""

from __future__ import annotations

from collections import Counter
from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, LessThan

from chervilstage.coordination.selection import Candidate, aged_load, choose_candidate
from testing.support.upstream_fakes import make_announcement


def candidate(number: int, load: float = 0.0, **fields: object) -> Candidate:
    """Return a candidate for upstream ``number``."""
    default = Candidate(
        record=make_announcement(number),
        load=load,
        latency=0.01,
        away=False,
        trial=False,
    )
    return default._replace(**fields)


class SelectionTests(TestCase):
    """Guards against choices that converge on one upstream or use old reports."""

    def test_loaded_upstream_is_chosen_only_beside_a_more_loaded_one(self) -> None:
        candidates = [candidate(0, 2.0), candidate(1, 1.0), candidate(2, 0.0)]
        rng = Random(1)
        chosen = Counter(choose_candidate(candidates, rng) for _ in range(3000))
        self.assertThat(chosen[candidates[0]], Equals(0))
        self.assertThat(chosen[candidates[1]], GreaterThan(800))
        self.assertThat(chosen[candidates[1]], LessThan(1200))

    def test_own_data_centre_then_latency_break_ties(self) -> None:
        rng = Random(1)
        near, away = candidate(0), candidate(1, away=True)
        slow = candidate(2, latency=0.5)
        for _ in range(50):
            self.assertThat(choose_candidate([away, near], rng), Equals(near))
            self.assertThat(choose_candidate([slow, near], rng), Equals(near))

    def test_due_trial_has_priority_and_no_candidates_give_none(self) -> None:
        trial = candidate(1, 9.0, trial=True)
        chosen = choose_candidate([candidate(0), trial, candidate(2)], Random(1))
        self.assertThat(chosen, Equals(trial))
        self.assertThat(choose_candidate([], Random(1)), Equals(None))

    def test_weight_of_a_report_decreases_with_age(self) -> None:
        ages = [aged_load(5, 1, age) for age in (0.0, 1.5, 3.0, 60.0)]
        self.assertThat(ages, Equals([4.0, 2.0, 0.0, 0.0]))
