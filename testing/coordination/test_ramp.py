"""Tests of the ramp of new upstreams and of data centres back in service."""

from __future__ import annotations

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from chervilstage.coordination.ramp import (
    SUCCESSES_PER_SLOT,
    count_successes,
    flow_weight,
    is_warm,
    ramp_concurrency,
    ramp_entries,
    restart_data_centre_ramps,
)
from chervilstage.state.leases import Ramp
from testing.support.upstream_fakes import FakeGroup, make_announcement
from testing.support.upstream_load import FakeLoad


class RampTests(TestCase):
    """Guards against loading an upstream faster than it warms up."""

    @given(slots=st.integers(1, 100), batch=st.integers(1, 20))
    def test_each_step_needs_successes_and_at_most_doubles(
        self, slots: int, batch: int
    ) -> None:
        ramp, concurrency, counted = Ramp(), 1, 0
        self.assertThat(ramp_concurrency(0, slots), Equals(1))
        while not is_warm(ramp.stage, slots):
            ramp = count_successes(ramp, batch, slots)
            counted += batch
            if ramp_concurrency(ramp.stage, slots) > concurrency:
                self.assertThat(SUCCESSES_PER_SLOT * concurrency - 1, LessThan(counted))
                self.assertThat(
                    ramp_concurrency(ramp.stage, slots),
                    Equals(min(slots, 2 * concurrency)),
                )
                concurrency, counted = ramp_concurrency(ramp.stage, slots), 0
        self.assertThat(concurrency, Equals(slots))

    def test_number_of_entries_grows_from_one_to_two_to_all(self) -> None:
        counts = [ramp_entries(stage, 4) for stage in range(4)]
        self.assertThat(counts, Equals([1, 2, 4, 4]))

    def test_flow_weight_grows_with_announcements(self) -> None:
        weights = [flow_weight(make_announcement(0, sequence=n)) for n in range(8)]
        self.assertThat(weights, Equals([0.125, 0.125, 0.25, 0.25, 0.5, 0.5, 1, 1]))

    def test_data_centre_that_returns_to_service_restarts_its_ramps(self) -> None:
        load = FakeLoad(group=FakeGroup(seed=1), work_seconds_bounds=(0.05, 0.1))
        load.group.run(1)
        upstream = load.add(make_announcement(0))
        load.offered_requests = dict.fromkeys(load.offered_requests, 2)
        load.run(20)
        load.offered_requests = dict.fromkeys(load.offered_requests, 0)
        load.run(15)
        for entry in load.group.entries.values():
            restart_data_centre_ramps(
                entry.registry, entry.owned, entry.held, "gl-erie"
            )
            record = entry.registry.records[upstream.record.identity.address]
            base = entry.registry.ramp_base[record.identity.address]
            self.assertThat(flow_weight(record, base), Equals(0.125))
        upstream.successes = 0
        load.offered_requests = dict.fromkeys(load.offered_requests, 2)
        load.run(15)
        self.assertThat(upstream.max_excess, LessThan(1))
        self.assertThat(upstream.capacity(), Equals(4))
