"""Tests of the schedule of a load run."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination.load_schedule import (
    RETRIED_OUTCOMES,
    next_entry,
    packet_schedule,
    request_schedule,
)
from chervilstage.state.load_plan import EntryTarget, FlowLoad, LoadPlan, RequestLoad
from chervilstage.state.load_results import CallerOutcome

BOOKINGS = RequestLoad(
    name="bookings",
    service="alley-desk",
    port=1,
    method="POST",
    path="/",
    per_second=40,
    leave_share=0.2,
    half_sent_share=0.2,
)


def plan_of(seed: int) -> LoadPlan:
    """Return a plan with two kinds of flows and one of requests."""
    flows = FlowLoad(service="alley-desk", port=1, callers=5, packets_per_second=50)
    return LoadPlan(
        seed=seed,
        seconds=4,
        entries=tuple(EntryTarget(host=f"127.0.0.{n}", data_centre="a") for n in "123"),
        flows=(flows, flows._replace(packets_per_second=30, flow_packets=4)),
        requests=(BOOKINGS,),
    )


class ScheduleTests(TestCase):
    """Guards against load that differs from its plan or between runs."""

    @given(st.integers(0, 2**32))
    def test_packets_are_in_order_and_sequences_start_at_one(self, seed: int) -> None:
        due = list(packet_schedule(plan_of(seed)))
        self.assertThat(due, Equals(list(packet_schedule(plan_of(seed)))))
        self.assertThat([p.at for p in due], Equals(sorted(p.at for p in due)))
        last: Counter[tuple[int, int, int]] = Counter()
        for packet in due:
            flow = packet[1:4]
            last[flow] += 1
            self.assertThat(packet.sequence, Equals(last[flow]))
        renewed = [count for (load, _, _), count in last.items() if load == 1]
        self.assertThat(max(renewed), Equals(4))
        self.assertThat(len(due), Equals(4 * (50 + 30)))
        self.assertThat({p.entry for p in due}, Equals({0, 1, 2}))

    @given(st.integers(0, 2**32))
    def test_requests_arrive_at_their_rate_and_retry_at_other_entries(
        self, seed: int
    ) -> None:
        due = list(request_schedule(plan_of(seed)))
        self.assertThat(due, Equals(list(request_schedule(plan_of(seed)))))
        self.assertTrue(100 < len(due) < 230, len(due))
        self.assertFalse(any(d.leaves and d.half_sent for d in due))
        self.assertThat(len({d.token for d in due}), Equals(len(due)))
        for outcome in CallerOutcome:
            entry = next_entry(BOOKINGS, due[0], 1, outcome)
            expected = due[0].entries[1] if outcome in RETRIED_OUTCOMES else None
            self.assertThat(entry, Equals(expected))
            over = next_entry(BOOKINGS, due[0], BOOKINGS.attempts, outcome)
            self.assertThat(over, Equals(None))
