"""Tests of the decisions of the stand-in upstream."""

from __future__ import annotations

from random import Random

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, Is

from chervilstage.coordination.standin import (
    Arrival,
    PacketKind,
    Refusal,
    finish_request,
    is_cold,
    next_updates,
    receive_packet,
    reported_load,
    reset_to_cold,
    try_start_request,
)
from chervilstage.state.standin import Faults, StandinState
from chervilstage.state.types import Address

SERVICE = "alley-desk"
CALLER = Address(host="127.0.0.1", port=9)
ENTRIES = [Address(host="127.0.0.2", port=n) for n in (1, 2)]
NEVER = float("inf")


def deliver_packet(
    state: StandinState, named_service: str, entry: Address
) -> PacketKind:
    """Deliver one datagram to the stand-in."""
    return receive_packet(
        state,
        caller=CALLER,
        entry=entry,
        header=b"",
        named_service=named_service,
        service=SERVICE,
        now=1.0,
    )


class AdmissionTests(TestCase):
    """Guards against a stand-in that hides overload or runs rejected requests."""

    @given(
        st.integers(1, 8),
        st.lists(st.sampled_from(["begin", "end", "cut", "late", "cold"]), max_size=60),
    )
    def test_every_request_is_started_or_rejected_and_excess_is_counted(
        self, slots: int, steps: list[str]
    ) -> None:
        state, rng = StandinState(slots=slots, cold=True, warm_successes=2), Random(1)
        started = excess = 0
        for number, step in enumerate(steps):
            free = state.in_flight < state.capacity
            if step in ("begin", "late"):
                deadline = 1.0 if step == "late" else NEVER
                arrival = Arrival(deadline=deadline, key=f"k{number}")
                refusal = try_start_request(state, arrival, SERVICE, 1.0, rng)
                expected = Refusal.EXPIRED if step == "late" else Refusal.BUSY
                runs = step == "begin" and free
                self.assertThat(refusal, Equals(None if runs else expected))
                self.assertThat(state.runs[arrival.key], Equals(int(runs)))
                started += runs
                excess += step == "begin" and not free
            elif step == "cold":
                reset_to_cold(state)
            elif state.in_flight:
                finish_request(state, completed=step == "end")
            self.assertTrue(1 <= state.capacity <= slots)
        counts = state.counts
        self.assertThat(counts.started, Equals(started))
        over = counts.over_capacity_cold + counts.over_capacity_warm
        self.assertThat(over + counts.over_capacity_turned, Equals(excess))

    def test_reset_to_cold_tolerates_only_requests_allowed_before(self) -> None:
        state, rng = StandinState(slots=4), Random(1)
        reset_to_cold(state)
        for _ in range(6):
            try_start_request(state, Arrival(deadline=NEVER), SERVICE, 1.0, rng)
        self.assertThat(state.counts.over_capacity_turned, Equals(3))
        self.assertThat(state.counts.over_capacity_cold, Equals(2))

    def test_capacity_doubles_on_successes_and_not_on_aborts(self) -> None:
        state, rng = StandinState(slots=4, cold=True, warm_successes=2), Random(1)
        capacities = []
        for completed in (False, True, False, True, True, True, True):
            try_start_request(state, Arrival(deadline=NEVER), SERVICE, 1.0, rng)
            finish_request(state, completed=completed)
            capacities.append(state.capacity)
        self.assertThat(capacities, Equals([1, 1, 1, 2, 2, 4, 4]))
        self.assertThat(is_cold(state), Is(False))
        self.assertThat(state.counts.requests_cold, Equals(6))

    def test_shedding_rejects_a_request_before_it_runs(self) -> None:
        state = StandinState(slots=4)
        state.faults = Faults(shed_share=1.0)
        arrival = Arrival(deadline=NEVER, key="k")
        refusal = try_start_request(state, arrival, SERVICE, 1.0, Random(1))
        self.assertThat(refusal, Equals(Refusal.SHEDDING))
        self.assertThat((state.runs["k"], state.in_flight), Equals((0, 0)))


class PacketTests(TestCase):
    """Guards against answered foreign packets and misrouted updates."""

    def test_packet_of_another_service_is_counted_and_not_answered(self) -> None:
        state = StandinState(slots=1)
        kind = deliver_packet(state, "league-ledger", ENTRIES[0])
        self.assertThat(kind, Equals(PacketKind.FOREIGN))
        self.assertThat(
            deliver_packet(state, SERVICE, ENTRIES[0]), Equals(PacketKind.ANSWER)
        )
        self.assertThat(state.counts.foreign_packets, Equals(1))

    def test_updates_follow_the_entry_of_the_last_packet(self) -> None:
        state = StandinState(slots=1)
        for entry in ENTRIES:
            deliver_packet(state, SERVICE, entry)
        state.flows[CALLER] = state.flows[CALLER]._replace(subscription="board")
        pushed = [next_updates(state)[0][1] for _ in range(2)]
        self.assertThat([f.updates for f in pushed], Equals([1, 2]))
        self.assertThat({f.entry for f in pushed}, Equals({ENTRIES[1]}))


class ReportTests(TestCase):
    """Guards against faults of the reported load that have no effect."""

    @given(st.lists(st.integers(0, 9), min_size=1, max_size=20), st.integers(0, 5))
    def test_reported_load_is_as_old_as_configured(
        self, loads: list[int], lag: int
    ) -> None:
        state = StandinState(slots=10)
        state.faults = Faults(report_lag=lag)
        for load in loads:
            state.in_flight = load
            reported = reported_load(state)
        self.assertThat(reported, Equals(loads[max(0, len(loads) - 1 - lag)]))
        state.faults = Faults(reported_load=0)
        self.assertThat(reported_load(state), Equals(0))
