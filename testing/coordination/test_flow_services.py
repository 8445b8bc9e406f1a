"""Tests of flows of services that an entry does not know yet or no longer knows."""

from __future__ import annotations

from random import Random

from testtools import TestCase

from chervilstage.coordination.flow_effects import HoldPacket
from chervilstage.coordination.flow_events import run_flow_timers
from chervilstage.coordination.flows import route_packet
from chervilstage.state.view import flow_key

from ..support.flow_group import FlowGroup

NAMES = ["entry-1", "entry-2", "entry-3"]
RESTARTED = "entry-3"
SERVICE = "league-ledger"
FLOWS = range(200)
SETTLE_SECONDS = 60.0
SHORT_SECONDS = 2.0


def group_with_exceptions() -> FlowGroup:
    """Return a settled group with flows whose upstream differs from the view."""
    group = FlowGroup(names=NAMES, rng=Random(1))
    for name in NAMES:
        group.start_entry(name)
    group.add_upstream(SERVICE, 1)
    assert group.run_until_settled(SETTLE_SECONDS)
    for flow in FLOWS:
        group.receive_packet(NAMES[0], SERVICE, flow)
    group.run(SHORT_SECONDS)
    group.add_upstream(SERVICE, 2)
    group.run(SHORT_SECONDS)
    assert group.run_until_settled(SETTLE_SECONDS)
    return group


def restart_without_services(group: FlowGroup) -> None:
    """Restart an entry that receives no configuration."""
    group.kill_entry(RESTARTED)
    group.run(SHORT_SECONDS)
    group.start_entry(RESTARTED)
    for service in group.services:
        group.nodes[RESTARTED].state.remove_service(service.name)


class UnknownServiceTests(TestCase):
    """An entry that has no configuration yet, in a group that has one."""

    def test_a_list_of_an_unknown_service_does_not_crash_the_entry(self) -> None:
        """Guards against a crash by a peer's list that precedes the configuration.

        In the fault soak an entry crashed that restarted while no replica answered.
        """
        group = group_with_exceptions()
        restart_without_services(group)
        group.run(SHORT_SECONDS)
        self.assertIn(RESTARTED, group.nodes)

    def test_flows_are_kept_once_the_service_is_known(self) -> None:
        """Guards against lists counted as received while their service is unknown."""
        group = group_with_exceptions()
        restart_without_services(group)
        group.run(SHORT_SECONDS)
        state = group.nodes[RESTARTED].state
        for service in group.services:
            state.add_service(service)
        self.assertTrue(group.run_until_settled(SETTLE_SECONDS))
        for flow in FLOWS:
            group.receive_packet(RESTARTED, SERVICE, flow)
        group.run(SHORT_SECONDS)
        self.assertEqual([], group.broken_flows)
        self.assertEqual(0, group.wrong_service_packets)


class RemovedServiceTests(TestCase):
    """An entry whose new configuration no longer contains a service."""

    def test_pending_flows_are_dropped(self) -> None:
        """Guards against a crash by a query that outlives its service."""
        group = group_with_exceptions()
        state = group.nodes[RESTARTED].state
        now = group.clock.now
        state.mark_all_missing(NAMES[0])
        seed = group.seeds[SERVICE]
        keys = [flow_key(seed, f.to_bytes(6, "big")) for f in range(1000, 1400)]
        decisions = [
            route_packet(state=state, service=SERVICE, key=key, now=now) for key in keys
        ]
        self.assertTrue(any(isinstance(d, HoldPacket) for d in decisions))
        state.remove_service(SERVICE)
        self.assertFalse(state.pending)
        run_flow_timers(state, now + SHORT_SECONDS)

    def test_pins_that_are_handed_over_are_dropped(self) -> None:
        """Guards against a crash of an entry that leaves while a service is removed."""
        group = group_with_exceptions()
        group.stop_entry(NAMES[0])
        group.run(0.2)
        node = group.nodes.get(NAMES[0])
        self.assertIsNotNone(node)
        assert node is not None
        node.state.remove_service(SERVICE)
        group.run(SHORT_SECONDS)
        self.assertNotIn(NAMES[0], group.nodes)
