"""Tests of the routing decisions for flows with tokens, packet by packet."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, Not

from chervilstage.coordination.flow_tokens import flow_token
from chervilstage.coordination.relay_directory import (
    UPSTREAM_EXPIRY_SECONDS,
    apply_routing,
    expire_upstreams,
)
from chervilstage.coordination.suspicion import is_suspect
from chervilstage.coordination.token_relay import (
    REMOVED_ROUTE_GRACE_SECONDS,
    expire_flows,
)
from chervilstage.state.packet_decisions import DropPacket, Forward, ResetFlow
from chervilstage.state.types import Address, UpstreamPhase
from testing.support.token_relays import (
    FRONT_ADDRESS,
    SERVICE,
    RelayDriver,
    make_record,
    make_routing,
)


class OpenFlowTests(TestCase):
    """Guards against open flows that are moved, reset or misrouted without need."""

    def test_any_entry_relays_a_flow_by_its_token(self) -> None:
        records = [make_record(n) for n in range(1, 8)]
        first, second = RelayDriver(records=records), RelayDriver(records=records)
        opened = first.open_flow(40_001)
        assert opened.token is not None
        later = second.send(40_001, token=opened.token, sequence=2, size=100)
        self.assertThat(later, IsInstance(Forward))
        self.assertThat(later.address, Equals(opened.address))

    def test_a_late_second_answer_does_not_move_an_open_flow(self) -> None:
        relay = RelayDriver(records=[make_record(1), make_record(2)])
        opened = relay.open_flow(40_001)
        other = next(
            r
            for r in relay.state.registry.records.values()
            if r.identity.address != opened.address
        )
        later = relay.send(40_001, token=flow_token(other.identity), size=10)
        self.assertThat(later.address, Equals(opened.address))

    def test_a_late_second_answer_does_not_move_the_flow_at_other_entries(self) -> None:
        """Guards against relaying by a token that names another upstream."""
        relay = RelayDriver(records=[make_record(1), make_record(2)])
        opened = relay.open_flow(40_001)
        other = 3 - opened.label
        foreign = flow_token(make_record(other).identity)
        corrected = relay.send(40_001, token=foreign, size=10)
        self.assertThat(corrected.token, Equals(opened.token))
        usual = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(usual.token, Equals(None))

    def test_a_leaving_upstream_keeps_open_flows_and_gets_no_new_ones(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(
            make_record(1, sequence=2, phase=UpstreamPhase.LEAVING), make_record(2)
        )
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later.address, Equals(opened.address))
        for caller in range(20):
            self.assertThat(relay.open_flow(41_000 + caller).label, Equals(2))

    def test_a_route_that_changes_service_keeps_its_open_flows(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        apply_routing(relay.state, make_routing("league-ledger", version=2), relay.now)
        relay.apply_records(make_record(2, service="league-ledger"))
        fresh = RelayDriver(records=[])
        fresh.state = relay.state
        fresh.state.flows.clear()
        later = fresh.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later.address, Equals(opened.address))

    def test_flows_of_a_removed_route_are_reset(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        elsewhere = Address(host="198.18.0.9", port=443)
        table = make_routing(SERVICE, version=2, front=elsewhere)
        apply_routing(relay.state, table, relay.now)
        relay.now += REMOVED_ROUTE_GRACE_SECONDS + 0.1
        later = relay.send(40_001, token=opened.token or 0, acknowledged=77, size=10)
        self.assertThat(later, IsInstance(ResetFlow))
        self.assertThat(later[:3], Equals((77, "route_removed", True)))
        self.assertThat(later.flow.upstream, Equals(make_record(1)))

    def test_flows_are_kept_if_their_route_is_added_again_soon(self) -> None:
        """Guards against resetting a flow whose route is in a table still to arrive."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        without = make_routing(SERVICE, version=2, front=Address("198.18.0.9", 443))
        for table in (without, make_routing(SERVICE, version=3)):
            apply_routing(relay.state, table, relay.now)
            for _ in range(3):
                relay.now += 0.5
                later = relay.send(40_001, token=opened.token or 0, size=10)
                self.assertThat(later, IsInstance(Forward))

    def test_a_flow_on_a_route_that_was_added_again_is_not_reset(self) -> None:
        """Guards against a reset by an entry that only knows of the removal."""
        opened = RelayDriver(records=[make_record(1)]).open_flow(40_001)
        late = RelayDriver(records=[make_record(1)], name="entry-2")
        elsewhere = Address(host="198.18.0.9", port=443)
        table = make_routing(SERVICE, version=2, front=elsewhere)
        apply_routing(late.state, table, late.now)
        later = late.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, Equals(DropPacket(reason="route_removed")))

    def test_flows_of_an_ended_upstream_are_reset_after_the_grace_period(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1), gone=True)
        self.assertThat(
            relay.send(40_001, token=opened.token or 0), IsInstance(Forward)
        )
        relay.now += 0.5
        self.assertThat(
            relay.send(40_001, token=opened.token or 0), IsInstance(ResetFlow)
        )

    def test_other_entries_apply_the_grace_period_as_well(self) -> None:
        """Guards against resetting a flow while its upstream is still shutting down."""
        opened = RelayDriver(records=[make_record(1)]).open_flow(40_001)
        other = RelayDriver(records=[make_record(1)], name="entry-2")
        other.apply_records(make_record(1), gone=True)
        other.now += 0.1
        sent = other.send(40_001, token=opened.token or 0)
        assert isinstance(sent, Forward), sent
        self.assertThat(sent, Equals(opened._replace(token=None)))
        other.now += 0.5
        later = other.send(40_001, token=opened.token or 0)
        self.assertThat(later, IsInstance(ResetFlow))

    def test_a_repeated_end_does_not_extend_the_grace_period(self) -> None:
        """Guards against extending the grace period when replicas repeat an end."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        for _ in range(3):
            relay.apply_records(make_record(1), gone=True)
            relay.now += 0.2
        later = relay.send(40_001, token=opened.token or 0)
        self.assertThat(later, IsInstance(ResetFlow))

    def test_the_end_of_an_expired_upstream_resets_its_flows(self) -> None:
        """Guards against keeping flows of an upstream that expired before it ended."""
        for ending in (
            lambda relay: relay.apply_records(make_record(1, sequence=2), gone=True),
            lambda relay: relay.apply_records(
                make_record(1, incarnation=2)._replace(label=9)
            ),
        ):
            relay = RelayDriver(records=[make_record(1)])
            opened = relay.open_flow(40_001)
            relay.now += UPSTREAM_EXPIRY_SECONDS + 1.0
            expire_upstreams(relay.state, relay.now)
            self.assertThat(
                relay.send(40_001, token=opened.token or 0), IsInstance(Forward)
            )
            ending(relay)
            relay.now += 0.5
            later = relay.send(40_001, token=opened.token or 0)
            self.assertThat(later, IsInstance(ResetFlow))

    def test_flows_of_an_expired_upstream_are_kept(self) -> None:
        """Guards against treating missing announcements as the end of an upstream."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        for _ in range(12):
            relay.now += 10.0
            expire_upstreams(relay.state, relay.now)
            later = relay.send(40_001, token=opened.token or 0, size=10)
            self.assertThat(later, IsInstance(Forward))
        self.assertThat(relay.state.registry.records, Equals({}))

    def test_no_flow_is_reset_while_a_later_table_may_have_its_route(self) -> None:
        """Guards against a reset by a routing table that is known to be outdated."""
        relay, fresh = (RelayDriver(records=[make_record(1)]) for _ in range(2))
        opened = relay.open_flow(40_001)
        elsewhere = Address(host="198.18.0.9", port=443)
        for driver in (relay, fresh):
            table = make_routing(SERVICE, version=2, front=elsewhere)
            apply_routing(driver.state, table, driver.now)
            driver.state.announced_routing_version = 3
            driver.now += REMOVED_ROUTE_GRACE_SECONDS + 0.1
        known = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(known, IsInstance(Forward))
        behind = DropPacket(reason="routing_behind")
        unknown = fresh.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(unknown, Equals(behind))
        self.assertThat(fresh.send(40_002, opening=True), Equals(behind))

    def test_no_flow_is_reset_for_a_route_that_the_table_never_had(self) -> None:
        """Guards against a reset by an entry that started with an old routing table."""
        relay = RelayDriver(records=[make_record(1)])
        newer = Address(host="198.18.0.9", port=443)
        token = flow_token(make_record(1).identity)
        decision = relay.send(40_001, token=token, size=10, front=newer)
        self.assertThat(decision, Equals(DropPacket(reason="unknown_route")))

    def test_a_reassigned_address_gets_no_packet_of_an_old_flow(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1, service="league-ledger", incarnation=2))
        relay.now += 0.5
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, IsInstance(ResetFlow))

    def test_a_token_of_another_service_is_dropped(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        foreign = make_record(2, service="league-ledger")
        relay.apply_records(foreign)
        decision = relay.send(40_001, token=flow_token(foreign.identity), size=10)
        self.assertThat(decision, Equals(DropPacket(reason="foreign_token")))

    def test_an_unknown_token_never_leads_to_a_reset(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        decision = relay.send(40_001, token=12345, size=10)
        self.assertThat(decision, Equals(DropPacket(reason="unknown_token")))


class NewFlowTests(TestCase):
    """Guards against new flows that are delayed or sent to an unsuitable upstream."""

    def test_a_flow_without_a_route_is_rejected_immediately(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        front = Address(host="198.18.0.9", port=443)
        decision = relay.send(40_001, opening=True, front=front)
        self.assertThat(decision, Equals(ResetFlow(sequence=0, reason="no_route")))

    def test_a_flow_without_an_upstream_is_rejected_immediately(self) -> None:
        relay = RelayDriver(records=[])
        decision = relay.send(40_001, opening=True)
        self.assertThat(decision, Equals(ResetFlow(sequence=0, reason="no_upstream")))

    def test_a_starting_entry_rejects_no_flow_before_upstreams_are_known(self) -> None:
        relay = RelayDriver(records=[])
        for known_from in (None, relay.now - 1.0):
            relay.state.upstreams_known_since = known_from
            decision = relay.send(40_001, opening=True)
            self.assertThat(decision, Equals(DropPacket(reason="no_upstreams_known")))

    def test_a_copy_without_an_answer_tries_another_upstream(self) -> None:
        relay = RelayDriver(records=[make_record(1), make_record(2)])
        first = relay.send(40_001, opening=True)
        relay.now += 0.2
        second = relay.send(40_001, opening=True)
        self.assertThat(second.address, Not(Equals(first.address)))
        record = relay.state.registry.records[first.address]
        self.assertTrue(is_suspect(relay.state, record, relay.now))

    def test_copies_that_arrive_together_go_to_the_same_upstream(self) -> None:
        relay = RelayDriver(records=[make_record(1), make_record(2)])
        first = relay.send(40_001, opening=True)
        self.assertThat(relay.send(40_001, opening=True), Equals(first))

    def test_a_data_centre_that_is_out_gets_no_new_flow(self) -> None:
        records = [make_record(1), make_record(2, data_centre="gl-huron")]
        relay = RelayDriver(records=records)
        relay.withdraw_data_centres("gl-erie")
        for caller in range(20):
            self.assertThat(relay.open_flow(41_000 + caller).label, Equals(2))

    def test_a_data_centre_that_is_back_is_cold_until_it_announces_itself(self) -> None:
        records = [make_record(1), make_record(2, data_centre="gl-huron")]
        relay = RelayDriver(records=records)
        relay.withdraw_data_centres("gl-erie")
        relay.withdraw_data_centres()
        for caller in range(20):
            self.assertThat(relay.open_flow(41_000 + caller).label, Equals(2))
        relay.apply_records(make_record(1, sequence=2))
        labels = {relay.open_flow(42_000 + caller).label for caller in range(20)}
        self.assertThat(labels, Equals({1}))

    def test_entries_share_the_new_flows_of_a_lone_cold_upstream(self) -> None:
        cold = make_record(1, cold_seconds=5.0)
        entries = ("entry-1", "entry-2", "entry-3")
        accepted = 0
        for name in entries:
            relay = RelayDriver(records=[cold], name=name)
            relay.state.entries = entries
            for caller in range(200):
                relay.now = 100.0 + caller / 100
                decision = relay.send(41_000 + caller, opening=True)
                accepted += isinstance(decision, Forward)
        self.assertThat(accepted, Equals(4))

    def test_new_flows_go_to_upstreams_with_fewer_requests_in_flight(self) -> None:
        relay = RelayDriver(records=[make_record(n) for n in (1, 2, 3)])
        for caller in range(30):
            opened = relay.open_flow(41_000 + caller)
            relay.send(41_000 + caller, token=opened.token or 0, size=100)
        loads = [load.in_flight for load in relay.state.loads.values()]
        self.assertThat(loads, Equals([10, 10, 10]))
        relay.now += 20.0
        expire_flows(relay.state, relay.now)
        self.assertThat(relay.state.flows, Equals({}))
        loads = [load.in_flight for load in relay.state.loads.values()]
        self.assertThat(loads, Equals([0, 0, 0]))

    def test_front_address_is_part_of_the_flow(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        self.assertThat(relay.open_flow(40_001).label, Equals(1))
        decision = relay.send(40_001, opening=True, front=FRONT_ADDRESS)
        self.assertThat(decision, Equals(DropPacket(reason="late_copy")))
