"""Tests of the replicated log under crashes, partitions, freezes, and lost data."""

from __future__ import annotations

from unittest import mock

from hypothesis import given, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination import replica_apply
from chervilstage.coordination.replica_members import (
    MembersAction,
    MembersRequest,
    change_members,
)
from chervilstage.errors import ChervilstageError
from chervilstage.state.configuration import Change
from chervilstage.state.replica_set import ReplicaMember
from testing.support.replica_fakes import ReplicaCluster, ReplicaNode
from testing.support.replica_faults import (
    FaultSeries,
    applied_revision,
    conflicting_changes,
    make_operator_change,
)

NAMES = ["a", "b", "c", "d", "e"]
SNAPSHOT_ENTRIES = 6
KEPT_ENTRIES = 2
SERIES_STEPS = 150

node_numbers = st.integers(0, len(NAMES) - 1)


class ReplicaMachine(RuleBasedStateMachine):
    """Random sequences of changes, faults and delays; checked at each step.

    ``ReplicaCluster.check`` guards against lost or reverted changes, two winners of one
    revision, two replicas that answer reads at the same time, and a resend that gets
    a different outcome.
    """

    def __init__(self) -> None:
        super().__init__()
        self.bounds = mock.patch.multiple(
            replica_apply, SNAPSHOT_ENTRIES=SNAPSHOT_ENTRIES, KEPT_ENTRIES=KEPT_ENTRIES
        )
        self.bounds.start()
        self.changes: list[Change] = []

    @initialize(size=st.sampled_from([3, 3, 5]), seed=st.integers(0, 2**32))
    def begin(self, size: int, seed: int) -> None:
        """Form a set of blank replicas."""
        self.cluster = ReplicaCluster(names=NAMES[:size], seed=seed)
        self.cluster.advance(4.0)

    def node(self, number: int) -> ReplicaNode:
        """Return one of the replicas."""
        nodes = list(self.cluster.nodes.values())
        return nodes[number % len(nodes)]

    @rule(seconds=st.sampled_from([0.05, 0.2, 0.8, 1.5, 3.0]))
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.cluster.advance(seconds)

    @rule(number=node_numbers, behind=st.sampled_from([0, 0, 0, 1]))
    def submit(self, number: int, behind: int) -> None:
        """Submit a change to the leader, or to a replica if there is no leader."""
        node = self.cluster.leader() or self.node(number)
        base = max(0, applied_revision(node) - behind)
        self.changes.append(make_operator_change(f"change-{len(self.changes)}", base))
        self.cluster.submit(node, self.changes[-1])

    @rule(number=node_numbers)
    def race(self, number: int) -> None:
        """Submit two concurrent changes of the same revision."""
        base = applied_revision(self.cluster.leader() or self.node(number))
        for _ in range(2):
            self.changes.append(
                make_operator_change(f"change-{len(self.changes)}", base)
            )
            self.cluster.submit(
                self.cluster.leader() or self.node(number), self.changes[-1]
            )

    @precondition(lambda self: self.changes)
    @rule(number=node_numbers, pick=st.integers(0, 1000))
    def resend(self, number: int, pick: int) -> None:
        """Resend a change."""
        change = self.changes[pick % len(self.changes)]
        self.cluster.submit(self.cluster.leader() or self.node(number), change)

    @rule(number=node_numbers)
    def crash(self, number: int) -> None:
        """Kill a replica."""
        if self.node(number).replica is not None:
            self.cluster.crash(self.node(number))

    @rule(number=node_numbers, writes=st.integers(1, 6))
    def crash_at_write(self, number: int, writes: int) -> None:
        """Kill a replica at one of its next writes."""
        self.node(number).writes_until_crash = writes

    @rule(number=node_numbers)
    def restart(self, number: int) -> None:
        """Start a replica that is down."""
        if self.node(number).replica is None:
            self.cluster.start(self.node(number))

    @rule(number=node_numbers)
    def wipe(self, number: int) -> None:
        """Replace a VM if all earlier repairs have been committed."""
        if self.cluster.has_expected_voters():
            self.cluster.wipe(self.node(number))

    @rule(number=node_numbers, other=node_numbers)
    def cut(self, number: int, other: int) -> None:
        """Partition two replicas from each other by dropping their messages."""
        self.cluster.cut(self.node(number).name, self.node(other).name)

    @rule(number=node_numbers)
    def isolate(self, number: int) -> None:
        """Partition a replica from all others."""
        self.cluster.isolate(self.node(number))

    @rule()
    def isolate_leader(self) -> None:
        """Partition the leader from all others."""
        leader = self.cluster.leader()
        if leader is not None:
            self.cluster.isolate(leader)

    @rule()
    def heal(self) -> None:
        """End all partitions."""
        self.cluster.network.cut_links.clear()

    @rule(number=node_numbers)
    def freeze(self, number: int) -> None:
        """Freeze a replica."""
        self.cluster.frozen.add(self.node(number).name)

    @rule()
    def resume(self) -> None:
        """Resume frozen replicas."""
        self.cluster.frozen.clear()

    @rule(loss=st.sampled_from([0.0, 0.1, 0.4]), delay=st.sampled_from([0.02, 0.6]))
    def vary_network(self, loss: float, delay: float) -> None:
        """Set loss and delay of the network."""
        self.cluster.network.loss, self.cluster.network.delay = loss, delay

    @rule(number=node_numbers, action=st.sampled_from(["add", "remove"]))
    def change_members(self, number: int, action: str) -> None:
        """Ask the leader to add or remove a replica."""
        leader = self.cluster.leader()
        if leader is None or not self.cluster.has_expected_voters():
            return
        name = NAMES[number]
        if action == "add" and name not in self.cluster.nodes:
            self.cluster.optional_replicas.add(name)
            self.submit_members_change(leader, MembersAction.ADD, name)
        elif action == "remove" and len(self.cluster.nodes) > 3:
            self.cluster.optional_replicas.add(name)
            self.submit_members_change(leader, MembersAction.REMOVE, name)

    def submit_members_change(
        self, leader: ReplicaNode, action: MembersAction, name: str
    ) -> None:
        """Submit a change of members to the leader."""
        member = None
        if action is MembersAction.ADD:
            node = self.cluster.add_node(name)
            member = ReplicaMember(
                name=name,
                identity=node.disk.stored.identity,
                data_centre="gl-erie",
                address=node.address,
            )
        request = MembersRequest(
            operation_id=f"members-{self.cluster.now}",
            operator="maria",
            action=action,
            name=name,
            member=member,
        )
        assert leader.replica is not None
        now = leader.clock(self.cluster.now)
        try:
            effects = change_members(leader.replica, request, now, self.cluster.now)
        except ChervilstageError:
            return
        leader.pending += effects
        self.cluster.flush(leader)

    def teardown(self) -> None:
        """End all faults and check that no acknowledged change is lost."""
        try:
            if hasattr(self, "cluster"):
                self.check_end()
        finally:
            self.bounds.stop()

    def check_end(self) -> None:
        """Check the state of the leader after all faults have ended."""
        leader = self.cluster.end_faults()
        assert leader.replica is not None
        missing = self.cluster.missing_operations(leader.replica)
        assert not missing, f"{missing} were acknowledged and are lost"
        wrong = conflicting_changes(leader.replica, self.changes)
        assert not wrong, f"not the only winner of its revision: {wrong}"


ReplicaMachine.TestCase.settings = settings(stateful_step_count=40)
TestReplicas = ReplicaMachine.TestCase


class FaultSeriesTests(TestCase):
    """Guards against lost changes that show only after a long series of faults."""

    @given(st.integers(0, 2**32), st.sampled_from([3, 3, 5]), st.booleans())
    def test_nothing_is_lost_in_a_long_series_of_faults(
        self, seed: int, size: int, keeps_size: bool
    ) -> None:
        with mock.patch.multiple(
            replica_apply, SNAPSHOT_ENTRIES=SNAPSHOT_ENTRIES, KEPT_ENTRIES=KEPT_ENTRIES
        ):
            series = FaultSeries(
                size=size, seed=seed, replaces_lost_replicas=keeps_size
            )
            for _ in range(SERIES_STEPS):
                series.step()
            self.assertThat(series.find_lost_changes(), Equals([]))
            self.assertThat(series.find_conflicting_changes(), Equals([]))
