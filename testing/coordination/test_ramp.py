"""The ramp of fresh upstreams and of data centres that are back."""

from __future__ import annotations

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from chervilstage.coordination.ramp import (
    SUCCESSES_PER_SLOT,
    count_successes,
    flow_weight,
    is_warm,
    ramp_entries,
    ramp_width,
    restart_centre,
)
from chervilstage.state.leases import Ramp
from testing.support.upstream_fakes import FakeGroup, record_of
from testing.support.upstream_load import FakeLoad


class RampTests(TestCase):
    """Guards against an upstream that is loaded faster than it warms up."""

    @given(slots=st.integers(1, 100), batch=st.integers(1, 20))
    def test_each_step_needs_successes_and_at_most_doubles(
        self, slots: int, batch: int
    ) -> None:
        ramp, width, counted = Ramp(), 1, 0
        self.assertThat(ramp_width(0, slots), Equals(1))
        while not is_warm(ramp.stage, slots):
            ramp = count_successes(ramp, batch, slots)
            counted += batch
            if ramp_width(ramp.stage, slots) > width:
                self.assertThat(SUCCESSES_PER_SLOT * width - 1, LessThan(counted))
                self.assertThat(
                    ramp_width(ramp.stage, slots), Equals(min(slots, 2 * width))
                )
                width, counted = ramp_width(ramp.stage, slots), 0
        self.assertThat(width, Equals(slots))

    def test_entries_widen_from_one_to_two_to_all(self) -> None:
        counts = [ramp_entries(stage, 4) for stage in range(4)]
        self.assertThat(counts, Equals([1, 2, 4, 4]))

    def test_weight_for_flows_ramps_by_announcements(self) -> None:
        weights = [flow_weight(record_of(0, sequence=n)) for n in range(8)]
        self.assertThat(weights, Equals([0.125, 0.125, 0.25, 0.25, 0.5, 0.5, 1, 1]))

    def test_data_centre_that_is_back_ramps_again(self) -> None:
        load = FakeLoad(group=FakeGroup(seed=1), work=(0.05, 0.1))
        load.group.run(1)
        upstream = load.add(record_of(0))
        load.offered = dict.fromkeys(load.offered, 2)
        load.run(20)
        load.offered = dict.fromkeys(load.offered, 0)
        load.run(15)
        for entry in load.group.entries.values():
            restart_centre(entry.registry, entry.owned, entry.held, "gl-erie")
            record = entry.registry.records[upstream.record.identity.address]
            base = entry.registry.ramp_base[record.identity.address]
            self.assertThat(flow_weight(record, base), Equals(0.125))
        upstream.successes = 0
        load.offered = dict.fromkeys(load.offered, 2)
        load.run(15)
        self.assertThat(upstream.worst_excess, LessThan(1))
        self.assertThat(upstream.capacity(), Equals(4))
