"""Random tests that open flows of live upstreams are neither reset nor moved."""

from __future__ import annotations

from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from testtools.assertions import assert_that
from testtools.matchers import Equals, IsInstance, Not

from chervilstage.coordination.flow_tokens import provisional_token
from chervilstage.coordination.relay_directory import apply_routing, expire_upstreams
from chervilstage.coordination.token_relay import expire_flows
from chervilstage.state.packet_decisions import Forward, ResetFlow
from chervilstage.state.types import UpstreamPhase, UpstreamRecord
from testing.support.token_relays import (
    SERVICE,
    RelayDriver,
    make_record,
    make_routing,
)

UPSTREAMS = range(1, 7)
ENTRIES = ("entry-1", "entry-2")
# Shorter than the idle time and the lifetime of a flow.
LONGEST_STEP_SECONDS = 6.0
LIFETIME_SECONDS = 60.0
IDLE_SECONDS = 14.0
STEPS = 60


class OpenFlow:
    """A flow of a caller and the upstream that has it; times are in seconds."""

    def __init__(self, *, caller: int, label: int, token: int, now: float) -> None:
        self.caller = caller
        self.label = label
        self.token = token
        self.opened_at = now
        self.used_at = now
        self.sequence = 1


class OpenFlowMachine(RuleBasedStateMachine):
    """Guards against an open flow that is closed or moved while its upstream lives.

    Upstreams announce themselves, stay silent or announce that they leave; their
    answers and the packets of callers get lost. No upstream ends.
    """

    def __init__(self) -> None:
        super().__init__()
        self.sequences = dict.fromkeys(UPSTREAMS, 1)
        self.phases = dict.fromkeys(UPSTREAMS, UpstreamPhase.READY)
        records = [self.record(number) for number in UPSTREAMS]
        self.entries = [RelayDriver(records=records, name=name) for name in ENTRIES]
        self.flows: list[OpenFlow] = []
        self.callers = iter(range(40_000, 65_000))
        self.version = 1

    def record(self, number: int) -> UpstreamRecord:
        """Return the newest record of an upstream."""
        return make_record(
            number,
            data_centre="gl-erie" if number % 2 else "gl-huron",
            sequence=self.sequences[number],
            phase=self.phases[number],
        )

    @property
    def now(self) -> float:
        """Return the time of all entries, in seconds."""
        return self.entries[0].now

    @rule(entry=st.sampled_from(range(len(ENTRIES))))
    def open(self, entry: int) -> None:
        """Open a flow that its upstream accepts."""
        caller = next(self.callers)
        opening = self.entries[entry].send(caller, opening=True)
        if isinstance(opening, Forward) and opening.token is not None:
            opened = self.entries[entry].send(caller, token=opening.token)
            assert_that(opened, IsInstance(Forward))
            assert_that(opened.label, Equals(opening.label))
            self.flows.append(
                OpenFlow(
                    caller=caller, label=opened.label, token=opened.token, now=self.now
                )
            )

    @rule(
        entry=st.sampled_from(range(len(ENTRIES))),
        copies=st.lists(st.floats(0.1, 1.0), max_size=4),
    )
    def open_in_vain(self, entry: int, copies: list[float]) -> None:
        """Send copies of an opening packet that no upstream answers."""
        caller = next(self.callers)
        self.entries[entry].send(caller, opening=True)
        for seconds in copies:
            self.wait(seconds)
            self.entries[entry].send(caller, opening=True)

    @rule(seconds=st.floats(0.01, LONGEST_STEP_SECONDS))
    def wait(self, seconds: float) -> None:
        """Let time pass at all entries."""
        for driver in self.entries:
            driver.now += seconds
            expire_flows(driver.state, driver.now)
            expire_upstreams(driver.state, driver.now)

    @rule(
        numbers=st.sets(st.sampled_from(UPSTREAMS)),
        entry=st.sampled_from(range(len(ENTRIES))),
    )
    def announce(self, numbers: set[int], entry: int) -> None:
        """Deliver announcements of some upstreams to one entry, and lose the others."""
        for number in numbers:
            self.sequences[number] += 1
            self.entries[entry].apply_records(self.record(number))

    @rule(number=st.sampled_from(UPSTREAMS))
    def leave(self, number: int) -> None:
        """Announce that an upstream leaves and takes no new flows."""
        self.phases[number] = UpstreamPhase.LEAVING
        self.sequences[number] += 1
        for driver in self.entries:
            driver.apply_records(self.record(number))

    @rule(names=st.sets(st.sampled_from(("gl-erie", "gl-huron"))))
    def take_out(self, names: set[str]) -> None:
        """Take data centres out of service and return the others to service."""
        for driver in self.entries:
            driver.withdraw_data_centres(*names)

    @rule()
    def configure(self) -> None:
        """Apply a new routing table that keeps the route."""
        self.version += 1
        for driver in self.entries:
            routing = make_routing(SERVICE, version=self.version)
            apply_routing(driver.state, routing, driver.now)

    @rule(
        place=st.integers(0, 1000),
        entry=st.sampled_from(range(len(ENTRIES))),
        repeats=st.lists(st.floats(0.1, 1.6), max_size=5),
        others=st.booleans(),
    )
    def use(self, place: int, entry: int, repeats: list[float], others: bool) -> None:
        """Send a packet of an open flow, and repeat it while its upstream is silent.

        :param others: whether new flows are answered meanwhile.
        """
        active_flows = [
            f for f in self.flows if self.now - f.opened_at < LIFETIME_SECONDS
        ]
        active_flows = [f for f in active_flows if self.now - f.used_at < IDLE_SECONDS]
        if not active_flows:
            return
        flow = active_flows[place % len(active_flows)]
        for seconds in [0.0, *repeats]:
            self.wait(seconds)
            flow.used_at = self.now
            if others:
                self.open(entry)
            decision = self.entries[entry].send(
                flow.caller, token=flow.token, sequence=flow.sequence, size=100
            )
            assert_that(decision, IsInstance(Forward))
            assert_that(decision.label, Equals(flow.label))
        flow.sequence += 100

    @rule(
        place=st.integers(0, 1000),
        entry=st.sampled_from(range(len(ENTRIES))),
        number=st.sampled_from(UPSTREAMS),
    )
    def answer_again(self, place: int, entry: int, number: int) -> None:
        """Send a packet with the token of a second upstream that answered a copy."""
        active_flows = [
            f for f in self.flows if self.now - f.opened_at < LIFETIME_SECONDS
        ]
        active_flows = [f for f in active_flows if self.now - f.used_at < IDLE_SECONDS]
        if not active_flows:
            return
        flow = active_flows[place % len(active_flows)]
        flow.used_at = self.now
        flow.sequence += 100
        decision = self.entries[entry].send(
            flow.caller,
            token=provisional_token(self.record(number).identity),
            sequence=flow.sequence,
            size=100,
        )
        assert_that(decision, Not(IsInstance(ResetFlow)))
        assert_that(getattr(decision, "label", flow.label), Equals(flow.label))


OpenFlowTests = OpenFlowMachine.TestCase
OpenFlowTests.settings = settings(stateful_step_count=STEPS, deadline=None)
