"""Tests of flows through several entries while upstreams and entries join and leave."""

from __future__ import annotations

from random import Random

from hypothesis import settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from testtools import TestCase
from testtools.matchers import Equals, HasLength

from chervilstage.coordination.flow_effects import SendToPeer
from chervilstage.coordination.flow_events import (
    handle_flow_message,
    handle_member_event,
)
from chervilstage.coordination.membership import MemberEvent, MemberEventKind
from chervilstage.coordination.pin_lists import answer_list_request
from chervilstage.state.flow_messages import (
    BucketMove,
    PinListPage,
    PinListRequest,
    ViewActivate,
    ViewPrepare,
)
from chervilstage.state.types import UpstreamId, UpstreamPhase
from chervilstage.state.view import ViewId, bucket_of, flow_key
from testing.support.flow_group import SERVICES, FlowGroup

NAMES = ["e1", "e2", "e3", "e4"]
FLOWS = 300
MACHINE_SETTINGS = settings(max_examples=15, stateful_step_count=20)


def start_settled_group(seed: int, loss: float = 0.0, upstreams: int = 4) -> FlowGroup:
    """Return a settled group of four entries with some upstreams of each service."""
    group = FlowGroup(
        names=NAMES, rng=Random(seed), loss=loss, delay=0.03, idle_seconds=60.0
    )
    for number, service in enumerate(SERVICES):
        for port in range(upstreams):
            group.add_upstream(service, number * 100 + port)
    for name in NAMES:
        group.start_entry(name)
    assert group.run_until_settled(), "no view came into force"
    return group


class GroupMachine(RuleBasedStateMachine):
    """Sends packets of many flows to random entries; subclasses add the changes."""

    loss = 0.03

    @initialize(seed=st.integers(0, 2**32 - 1))
    def start(self, seed: int) -> None:
        self.group = start_settled_group(seed, loss=self.loss)
        self.rng = Random(seed)
        self.next_port = 1_000
        self.send(200)

    def send(self, count: int) -> None:
        """Send packets at a steady rate."""
        for number in range(count):
            name = self.rng.choice(sorted(self.group.nodes))
            service = self.rng.choice(SERVICES)
            self.group.receive_packet(name, service, self.rng.randrange(FLOWS))
            if number % 10 == 9:
                self.group.tick()

    @rule(count=st.integers(10, 400))
    def send_packets(self, count: int) -> None:
        self.send(count)

    @rule(flow=st.integers(FLOWS, 2**40), gap=st.integers(0, 3))
    def retransmit_a_first_packet_at_two_entries(self, flow: int, gap: int) -> None:
        entries = sorted(self.group.nodes)
        self.group.receive_packet(self.rng.choice(entries), SERVICES[0], flow)
        self.group.run(gap * 0.02)
        self.group.receive_packet(
            self.rng.choice(sorted(self.group.nodes)), SERVICES[0], flow
        )

    @rule(seconds=st.floats(0.1, 3.0))
    def pass_time(self, seconds: float) -> None:
        self.group.run(seconds)

    @rule(service=st.sampled_from(SERVICES))
    def upstream_joins(self, service: str) -> None:
        self.next_port += 1
        self.group.add_upstream(service, self.next_port)

    @rule(place=st.integers(0, 1_000), service=st.sampled_from(SERVICES))
    def upstream_leaves(self, place: int, service: str) -> None:
        records = self.group.records.values()
        ready = [
            r.identity
            for r in records
            if r.identity.service == service and r.phase is UpstreamPhase.READY
        ]
        if len(ready) > 2:
            leaving = ready[place % len(ready)]
            self.group.add_upstream(
                service, leaving.address.port, phase=UpstreamPhase.LEAVING
            )

    @rule(place=st.integers(0, 1_000))
    def address_changes_hands(self, place: int) -> None:
        records = self.group.records.values()
        gone = [r.identity for r in records if r.phase is UpstreamPhase.LEAVING]
        if gone:
            old = gone[place % len(gone)]
            service = SERVICES[old.service == SERVICES[0]]
            self.group.add_upstream(
                service, old.address.port, incarnation=old.incarnation + 1
            )

    @invariant()
    def no_packet_reaches_another_service(self) -> None:
        assert self.group.wrong_service_packets == 0, self.group.wrong_service_packets

    @invariant()
    def leaving_upstream_gets_no_new_flow(self) -> None:
        assert not self.group.late_placements, self.group.late_placements


class PlannedChanges(GroupMachine):
    """Guards against flows that break while nothing fails."""

    @precondition(lambda self: len(self.group.nodes) > 2)
    @rule(place=st.integers(0, 3))
    def entry_stops(self, place: int) -> None:
        names = sorted(self.group.nodes)
        name = names.pop(place % len(names))
        nodes = [self.group.nodes[other] for other in names]
        if any(n.state.view.identity.number and not n.stopping for n in nodes):
            self.group.stop_entry(name)

    @precondition(lambda self: len(self.group.nodes) < len(NAMES))
    @rule()
    def entry_joins(self) -> None:
        absent = [name for name in NAMES if name not in self.group.nodes]
        self.group.start_entry(absent[0])

    @invariant()
    def no_flow_is_broken(self) -> None:
        assert not self.group.broken_flows, self.group.broken_flows

    def teardown(self) -> None:
        if hasattr(self, "group"):
            self.send(200)
            assert self.group.run_until_settled(120.0), "the group does not settle"
            self.no_flow_is_broken()


class SilentUpstreams(PlannedChanges):
    """Guards against flows that move because announcements of an upstream are lost."""

    @rule(place=st.integers(0, 1_000))
    def announcements_are_lost(self, place: int) -> None:
        announcing = [
            a
            for a in self.group.records
            if a not in self.group.announcements_lost_since
        ]
        ready = [
            a for a in announcing if self.group.records[a].phase is UpstreamPhase.READY
        ]
        if len(ready) > 4:
            self.group.drop_announcements(ready[place % len(ready)])

    @rule(seconds=st.floats(4.0, 9.0))
    def pass_the_bound_of_silence(self, seconds: float) -> None:
        for _ in range(4):
            self.group.run(seconds / 4)
            self.send(40)

    @precondition(lambda self: self.group.announcements_lost_since)
    @rule(place=st.integers(0, 1_000))
    def announcements_arrive_again(self, place: int) -> None:
        silent = sorted(self.group.announcements_lost_since)
        self.group.resume_announcements(silent[place % len(silent)])


class EntryLosses(GroupMachine):
    """Guards against losing flows that a surviving entry has pinned."""

    loss = 0.0

    def clear_seen_flows(self, name: str) -> None:
        """Remove an entry from the record of the entries that have seen each flow."""
        for seen in self.group.forwarding_entries.values():
            seen.discard(name)

    @precondition(lambda self: len(self.group.nodes) == len(NAMES))
    @rule(place=st.integers(0, 3), again=st.booleans())
    def entry_dies(self, place: int, again: bool) -> None:
        name = sorted(self.group.nodes)[place]
        self.group.kill_entry(name)
        self.clear_seen_flows(name)
        if again:
            self.send(50)
            self.group.start_entry(name)
            self.group.run_until_settled(30.0)
            second_name = NAMES[(NAMES.index(name) + 1) % len(NAMES)]
            self.group.kill_entry(second_name)
            self.clear_seen_flows(second_name)

    @precondition(lambda self: len(self.group.nodes) < len(NAMES))
    @rule()
    def entry_joins(self) -> None:
        absent = [name for name in NAMES if name not in self.group.nodes]
        self.group.start_entry(absent[0])
        self.group.run_until_settled(30.0)

    @precondition(lambda self: len(self.group.nodes) == len(NAMES))
    @rule(place=st.integers(0, 3), seconds=st.floats(0.1, 4.0))
    def entry_freezes(self, place: int, seconds: float) -> None:
        name = NAMES[place]
        self.group.nodes[name].frozen = True
        self.clear_seen_flows(name)
        self.group.unreplicated_entries.add(name)
        self.group.run(seconds)
        self.send(30)
        self.group.resume_entry(name)
        self.send(60)
        assert self.group.run_until_settled(60.0), "the group does not settle"
        self.group.unreplicated_entries.clear()

    @invariant()
    def only_flows_without_a_surviving_pin_are_broken(self) -> None:
        wrongly_broken = [
            f
            for f in self.group.broken_flows
            if f not in self.group.unpinned_broken_flows
        ]
        assert not wrongly_broken, wrongly_broken


PlannedChanges.TestCase.settings = MACHINE_SETTINGS
EntryLosses.TestCase.settings = MACHINE_SETTINGS
SilentUpstreams.TestCase.settings = MACHINE_SETTINGS
SilentUpstreamsTests = SilentUpstreams.TestCase
PlannedChangesTests = PlannedChanges.TestCase
EntryLossesTests = EntryLosses.TestCase


class FlowCaseTests(TestCase):
    """Specific sequences that the state machines may not generate."""

    def test_idle_flow_of_a_lost_entry_stays_where_its_bucket_has_not_moved(
        self,
    ) -> None:
        """Guards against moving flows after the only entry with their pins is lost."""
        group = start_settled_group(1)
        for flow in range(100):
            group.receive_packet("e2", SERVICES[0], flow)
        group.kill_entry("e2")
        group.run(3.0)
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertThat(group.first_upstreams, HasLength(100))

    def test_flows_of_a_moved_bucket_outlive_the_entry_that_reported_them(self) -> None:
        """Guards against losing exceptions with the entry that reported them."""
        group = start_settled_group(2)
        for flow in range(400):
            group.receive_packet("e2", SERVICES[0], flow)
        before = group.nodes["e1"].state.view
        group.add_upstream(SERVICES[0], 50)
        self.assertTrue(group.run_until_settled())
        group.kill_entry("e2")
        group.run(2.0)
        after = group.nodes["e1"].state.view
        moved = 0
        for flow in range(400):
            group.receive_packet("e3", SERVICES[0], flow)
        for service, key in group.first_upstreams:
            bucket = bucket_of(key)
            moved += before.buckets(service)[bucket] != after.buckets(service)[bucket]
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertGreater(moved, 20)

    def test_flows_of_a_data_centre_out_of_service_end_at_once_everywhere(self) -> None:
        """Guards against packets to a data centre that is out of service."""
        group = start_settled_group(3)
        away = group.add_upstream(SERVICES[0], 60, data_centre="away")
        self.assertTrue(group.run_until_settled())
        for flow in range(400):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
        self.assertIn(away, group.first_upstreams.values())
        group.withdraw_data_centre("away")
        for node in group.nodes.values():
            pins = (
                p for b in node.state.tables[SERVICES[0]].buckets for p in b.values()
            )
            self.assertNotIn(away, [pin.upstream for pin in pins])
        group.placement_counts.clear()
        for flow in range(400, 800):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
            group.run(0.02)
        self.assertThat(group.placement_counts[away], Equals(0))

    def test_partition_heals_into_one_view_and_keeps_known_flows(self) -> None:
        """Guards against different views, or broken flows, after a partition."""
        group = start_settled_group(4)
        for flow in range(200):
            for name in NAMES:
                group.receive_packet(name, SERVICES[0], flow)
        group.network.cut({"e1", "e2"}, {"e3", "e4"})
        group.run(2.0)
        group.add_upstream(SERVICES[0], 70)
        group.run(10.0)
        self.assertNotEqual(
            group.nodes["e1"].state.view.identity, group.nodes["e3"].state.view.identity
        )
        group.network.cut_links.clear()
        self.assertTrue(group.run_until_settled(120.0))
        for flow in range(200):
            for name in NAMES:
                group.receive_packet(name, SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertThat(group.wrong_service_packets, Equals(0))

    def test_resumed_entry_queries_peers_before_its_first_timer_runs(self) -> None:
        """Guards against new flows at a leaving upstream after a pause of the entry."""
        group = start_settled_group(6)
        leaving = next(iter(group.records.values())).identity
        group.nodes["e3"].frozen = True
        group.add_upstream(
            SERVICES[0], leaving.address.port, phase=UpstreamPhase.LEAVING
        )
        group.run(4.0)
        group.nodes["e3"].frozen = False
        for flow in range(200):
            group.receive_packet("e3", SERVICES[0], flow)
        group.resume_entry("e3")
        self.assertTrue(group.run_until_settled())
        self.assertThat(group.late_placements, Equals([]))
        self.assertThat(group.first_upstreams, HasLength(200))

    def test_confirmed_exception_outlives_the_idle_time(self) -> None:
        """Guards against expiry of an exception whose flow another entry uses."""
        group = start_settled_group(5)
        group.receive_packet("e2", SERVICES[0], 7)
        (flow,) = group.first_upstreams
        upstream = group.first_upstreams[flow]
        group.add_upstream(
            SERVICES[0], upstream.address.port, phase=UpstreamPhase.LEAVING
        )
        self.assertTrue(group.run_until_settled())
        for _ in range(4):
            group.run(40.0)
            group.receive_packet("e2", SERVICES[0], 7)
        group.receive_packet("e3", SERVICES[0], 7)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertThat(group.forwarding_entries[flow], Equals({"e2", "e3"}))

    def test_an_upstream_whose_announcements_are_lost_keeps_its_flows(self) -> None:
        """Guards against flows that move because announcements are lost."""
        group = start_settled_group(5)
        for flow in range(100):
            group.receive_packet("e2", SERVICES[0], flow)
        silent = next(iter(group.first_upstreams.values()))
        record = group.records[silent.address]
        for name in NAMES:
            group.nodes[name].state.registry.remove(silent.address, group.clock.now)
        del group.records[silent.address]
        group.run_until_settled()
        group.records[silent.address] = record
        for flow in range(100):
            group.receive_packet("e2", SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))

    def test_a_silent_upstream_keeps_its_flows_and_gets_no_new_ones(self) -> None:
        """Guards against flows that move when an upstream falls silent or returns."""
        group, silent = self.start_group_with_silent_upstream(12)
        kept = [
            flow for flow, first in group.first_upstreams.items() if first == silent
        ]
        group.placement_counts.clear()
        for flow in range(400):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
            group.run(0.02)
        self.assertThat(group.placement_counts[silent], Equals(0))
        self.assertThat(group.first_upstreams, HasLength(400))
        group.resume_announcements(silent.address)
        self.assertTrue(group.run_until_settled())
        for flow in range(100):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertThat(
            [group.first_upstreams[f] for f in kept], Equals([silent] * len(kept))
        )

    def test_an_entry_that_joins_relays_the_flows_of_a_silent_upstream(self) -> None:
        """Guards against moved flows at an entry that got no announcement."""
        group, _ = self.start_group_with_silent_upstream(13)
        group.kill_entry("e4")
        group.run(3.0)
        group.start_entry("e4")
        self.assertTrue(group.run_until_settled())
        for flow in range(100):
            group.receive_packet("e4", SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.broken_flows, Equals([]))
        relayed = [f for f, seen in group.forwarding_entries.items() if "e4" in seen]
        self.assertThat(relayed, HasLength(100))

    def test_an_entry_that_was_frozen_for_long_moves_no_flow(self) -> None:
        """Guards against an entry that treats its own pause as silence of upstreams."""
        group = start_settled_group(14)
        for flow in range(100):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
        group.nodes["e3"].frozen = True
        group.run(8.0)
        group.resume_entry("e3")
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(2.0)
        self.assertThat(group.broken_flows, Equals([]))

    def test_flows_of_a_silent_upstream_end_with_a_later_run_at_its_address(
        self,
    ) -> None:
        """Guards against flows that wait for a run that cannot return."""
        group, silent = self.start_group_with_silent_upstream(15)
        group.add_upstream(SERVICES[0], silent.address.port, incarnation=2)
        group.run(0.1)
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(2.0)
        self.assertNotIn(silent, group.first_upstreams.values())
        self.assertThat(group.broken_flows, Equals([]))

    def test_flows_of_a_silent_upstream_end_when_its_data_centre_is_out(self) -> None:
        """Guards against packets to a data centre that is out of service."""
        group, silent = self.start_group_with_silent_upstream(16)
        group.withdraw_data_centre("away")
        for node in group.nodes.values():
            pins = (
                p for b in node.state.tables[SERVICES[0]].buckets for p in b.values()
            )
            self.assertNotIn(silent, [pin.upstream for pin in pins])
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(2.0)
        self.assertNotIn(silent, group.first_upstreams.values())

    def test_an_idle_flow_of_a_dead_upstream_is_placed_anew(self) -> None:
        """Guards against sending returning callers to a dead upstream."""
        group, silent = self.start_group_with_silent_upstream(17)
        group.run(70.0)
        group.placement_counts.clear()
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(2.0)
        self.assertThat(group.placement_counts[silent], Equals(0))
        self.assertNotIn(silent, group.first_upstreams.values())

    def test_a_flow_of_a_silent_upstream_that_is_idle_at_one_entry_only_stays(
        self,
    ) -> None:
        """Guards against an entry that ends a flow which other entries use."""
        group, silent = self.start_group_with_silent_upstream(18)
        for _ in range(4):
            group.run(20.0)
            for flow in range(100):
                group.receive_packet("e2", SERVICES[0], flow)
        for flow in range(100):
            group.receive_packet("e3", SERVICES[0], flow)
        group.run(2.0)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertIn(silent, group.first_upstreams.values())

    def test_a_pending_flow_is_not_placed_at_an_upstream_that_falls_silent(
        self,
    ) -> None:
        """Guards against new flows at an upstream that no longer announces itself."""
        group = start_settled_group(19)
        state = group.nodes["e3"].state
        for peer in ("e1", "e2", "e4"):
            state.mark_all_missing(peer)
        group.receive_packet("e3", SERVICES[0], 7)
        (pending,) = state.pending.values()
        state.registry.remove(pending.proposal.address, group.clock.now)
        group.run(0.6)
        self.assertThat(state.pending, HasLength(0))
        self.assertThat(group.placement_counts[pending.proposal], Equals(0))

    def test_an_entry_with_pinned_flows_of_an_ended_upstream_stops(
        self,
    ) -> None:
        """Guards against a planned stop that waits for pins that no peer can adopt."""
        group = start_settled_group(20)
        for flow in range(100):
            group.receive_packet("e2", SERVICES[0], flow)
        gone = next(iter(group.first_upstreams.values()))
        group.add_upstream(SERVICES[0], gone.address.port, phase=UpstreamPhase.LEFT)
        group.run(1.0)
        self.assertTrue(group.run_until_settled())
        group.stop_entry("e2")
        group.run(10.0)
        self.assertNotIn("e2", group.nodes)

    def test_an_entry_that_does_not_know_a_new_run_of_the_view_places_no_flow(
        self,
    ) -> None:
        """Guards against two entries that place one flow at different upstreams."""
        group = start_settled_group(21)
        group.add_upstream(SERVICES[1], 100, phase=UpstreamPhase.LEAVING)
        group.run(1.0)
        self.assertTrue(group.run_until_settled())
        group.network.cut_links.add(frozenset(("upstream-3", "e2")))
        group.record_network.loss = 1.0
        added = group.add_upstream(SERVICES[0], 100, incarnation=2)
        group.run(1.0)
        self.assertTrue(group.run_until_settled())
        buckets = group.nodes["e2"].state.view.buckets(SERVICES[0])
        self.assertIn(added, buckets)
        for flow in range(400):
            key = flow_key(group.seeds[SERVICES[0]], flow.to_bytes(6, "big"))
            if buckets[bucket_of(key)] == added:
                group.receive_packet("e2", SERVICES[0], flow)
                group.run(0.1)
                group.receive_packet("e3", SERVICES[0], flow)
                group.run(0.1)
        self.assertThat(group.broken_flows, Equals([]))
        self.assertThat(set(group.first_upstreams.values()), Equals({added}))

    def test_an_entry_that_restarts_during_a_round_prepares_the_view_again(
        self,
    ) -> None:
        """Guards against a view that waits forever for lists of a restarted entry."""
        group = start_settled_group(22)
        state = group.nodes["e1"].state
        group.add_upstream(SERVICES[0], 95)
        while state.view_round is None or "e4" not in state.view_round.prepared:
            group.tick()
            self.assertLess(group.clock.now, 1_100.0)
        lost = MemberEvent(kind=MemberEventKind.LOST, name="e4")
        handle_member_event(state, lost, group.clock.now)
        self.assertNotIn("e4", state.view_round.prepared)

    def start_group_with_silent_upstream(
        self, seed: int
    ) -> tuple[FlowGroup, UpstreamId]:
        """Return a group whose view omits a silent upstream that has open flows."""
        group = start_settled_group(seed)
        silent = group.add_upstream(SERVICES[0], 60, data_centre="away")
        group.run(1.0)
        self.assertTrue(group.run_until_settled())
        for flow in range(100):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
        group.drop_announcements(silent.address)
        group.run(6.0)
        self.assertTrue(group.run_until_settled())
        for node in group.nodes.values():
            self.assertNotIn(silent, node.state.view.buckets(SERVICES[0]))
        self.assertIn(silent, group.first_upstreams.values())
        return group, silent

    def test_flows_of_an_upstream_that_has_left_go_to_another_at_once(self) -> None:
        """Guards against flows that wait for an upstream that has announced its end."""
        group = start_settled_group(11)
        for flow in range(100):
            group.receive_packet("e2", SERVICES[0], flow)
        gone = next(iter(group.first_upstreams.values()))
        port = gone.address.port
        group.add_upstream(SERVICES[0], port, phase=UpstreamPhase.LEAVING)
        self.assertTrue(group.run_until_settled())
        group.add_upstream(SERVICES[0], port, phase=UpstreamPhase.LEFT)
        group.run(0.1)
        group.placement_counts.clear()
        for flow in range(100):
            group.receive_packet(NAMES[flow % 4], SERVICES[0], flow)
        group.run(1.0)
        self.assertThat(group.placement_counts[gone], Equals(0))
        self.assertNotIn(gone, group.first_upstreams.values())
        self.assertThat(group.first_upstreams, HasLength(100))
        self.assertThat(group.broken_flows, Equals([]))

    def test_change_comes_into_force_after_another_coordinator_made_newer_views(
        self,
    ) -> None:
        """Guards against a coordinator whose views are refused as older ones."""
        group = start_settled_group(7)
        group.network.muted_senders.add("e1")
        for port in (80, 81):
            group.add_upstream(SERVICES[0], port)
            group.run(3.0)
        group.network.muted_senders.clear()
        group.add_upstream(SERVICES[0], 82)
        group.run(30.0)
        self.assertTrue(group.run_until_settled(), "a view is refused forever")
        views = [node.state.view for node in group.nodes.values()]
        self.assertThat([v.upstream_count() for v in views], Equals([11] * 4))

    def test_abandoned_prepared_view_is_replaced_by_a_newer_one(
        self,
    ) -> None:
        """Guards against an entry that keeps a view prepared forever."""
        group = start_settled_group(8)
        entry_state = group.nodes["e3"].state
        prepare = ViewPrepare(
            view=ViewId(number=9, coordinator="e2"),
            base=entry_state.view.identity,
            urgent=True,
            moves=(),
        )
        group.receive("e3", "e2", prepare)
        group.run(10.0)
        self.assertThat(entry_state.prepared_view, Equals(None))
        numbers = [node.state.view.identity.number for node in group.nodes.values()]
        self.assertThat(numbers, Equals([10] * 4))

    def test_pauses_during_each_planned_change_do_not_delay_it_forever(self) -> None:
        """Guards against urgent changes that restart a prepared batch forever."""
        group = start_settled_group(9)
        node = group.nodes["e1"]
        added = group.add_upstream(SERVICES[0], 90)
        for _ in range(1_500):
            group.tick()
            current_round = node.state.view_round
            if (
                current_round is not None
                and not current_round.active
                and not current_round.urgent
            ):
                node.frozen = True
                group.run(0.6)
                group.resume_entry("e1")
        self.assertIn(added, node.state.view.buckets(SERVICES[0]))

    def test_flow_pinned_between_two_answers_to_one_early_request_is_in_the_final_list(
        self,
    ) -> None:
        """Guards against omitting a flow that the peer may not have received."""
        group = start_settled_group(10)
        state = group.nodes["e3"].state
        flow = flow_key(group.seeds[SERVICES[0]], (7).to_bytes(6, "big"))
        buckets = state.view.buckets(SERVICES[0])
        upstream = next(u for u in buckets if u != buckets[bucket_of(flow)])
        view = ViewId(number=9, coordinator="e1")
        move = BucketMove(
            service=SERVICES[0], upstream=upstream, buckets=(bucket_of(flow),)
        )
        prepare = ViewPrepare(
            view=view, base=state.view.identity, urgent=False, moves=(move,)
        )
        handle_flow_message(state, "e1", prepare, group.clock.now)
        early = PinListRequest(
            view=view,
            service=SERVICES[0],
            buckets=(bucket_of(flow),),
            after_key=0,
            early=True,
            is_full=False,
            has_early_lists=False,
        )
        answer_list_request(state, "e1", early)
        group.receive_packet("e3", SERVICES[0], 7)
        answer_list_request(state, "e1", early)
        handle_flow_message(state, "e1", ViewActivate(view=view), group.clock.now)
        (final,) = answer_list_request(
            state, "e1", early._replace(early=False, has_early_lists=True)
        )
        assert isinstance(final, SendToPeer)
        assert isinstance(final.message, PinListPage)
        self.assertThat([item.key for item in final.message.items], Equals([flow]))
