"""Tests of replicated log cases that random faults rarely reach."""

from __future__ import annotations

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from chervilstage.coordination import replica_apply
from chervilstage.coordination.election import transfer_leadership
from chervilstage.coordination.replica import propose, receive, start_replica
from chervilstage.coordination.replica_effects import ReplicaEffect, Send
from chervilstage.coordination.replica_members import (
    MembersAction,
    MembersRequest,
    change_members,
)
from chervilstage.coordination.replica_terms import ELECTION_TIMEOUT_SECONDS
from chervilstage.errors.configuration import MembersChangeError, NoQuorumError
from chervilstage.state.log_entries import LogEntry
from chervilstage.state.replica import Replica, Role, Vote
from chervilstage.state.replica_messages import (
    AppendReply,
    Body,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from testing.support.replica_fakes import Node, ReplicaCell
from testing.support.replica_faults import change_of, revision_of

NAMES = ["a", "b", "c"]


def replica_of(node: Node) -> Replica:
    """Return the replica of a running process."""
    assert node.replica is not None
    return node.replica


def votes_of(effects: list[ReplicaEffect]) -> list[bool]:
    """Return whether each vote reply among the effects grants the vote."""
    bodies = [effect.body for effect in effects if isinstance(effect, Send)]
    return [body.granted for body in bodies if isinstance(body, VoteReply)]


class ReplicaCaseTests(TestCase):
    """Cases with several replicas."""

    def formed(self, names: list[str]) -> ReplicaCell:
        """Return a set of replicas with a leader."""
        cell = ReplicaCell(names=names, seed=7)
        cell.advance(4.0)
        self.assertThat(cell.leaders(), HasLength(1))
        return cell

    def accept(self, cell: ReplicaCell, count: int, prefix: str = "change") -> None:
        """Submit changes one after another and check that they are accepted."""
        for number in range(count):
            leader = cell.leader()
            assert leader is not None
            change = change_of(f"{prefix}-{number}", revision_of(leader))
            cell.submit(leader, change)
            cell.advance(0.2)
            self.assertThat(cell.told[change.operation_id].code, Equals(""))

    def test_partitioned_leader_steps_down_and_no_change_is_lost(self) -> None:
        """Guards against a partitioned leader that does not step down."""
        cell = self.formed(NAMES)
        old = cell.leader()
        assert old is not None and old.replica is not None
        cell.isolate(old)
        cell.submit(old, change_of("behind-the-cut", 0))
        cell.advance(600.0)
        self.assertThat(old.replica.role is Role.LEADER, Equals(False))
        self.accept(cell, 3, "other-side")
        self.assertThat(cell.settle().replica.log.members.members, HasLength(3))
        cell.advance(1.0)
        self.assertThat(revision_of(old), Equals(3))
        self.assertThat("behind-the-cut" in old.replica.applied.outcomes, Equals(False))

    def test_long_partition_of_a_replica_does_not_change_the_term(self) -> None:
        """Guards against a returning replica whose high term deposes the leader."""
        cell = self.formed(NAMES)
        leader = cell.leader()
        assert leader is not None and leader.replica is not None
        term = leader.replica.term
        lone = next(n for n in cell.nodes.values() if n is not leader)
        cell.isolate(lone)
        cell.advance(300.0)
        cell.network.cuts.clear()
        cell.advance(5.0)
        self.assertThat(leader.replica.term, Equals(term))

    def test_two_repairs_in_a_row_keep_all_changes(self) -> None:
        """Guards against blank replicas that elect each other."""
        cell = self.formed(NAMES)
        self.accept(cell, 40)
        for name in ("a", "b", "c", "a"):
            cell.wipe(cell.nodes[name])
            cell.settle()
        leader = cell.settle()
        assert leader.replica is not None
        self.assertThat(cell.missing(leader.replica), Equals([]))
        self.assertThat(revision_of(leader), Equals(40))

    def test_two_blank_replicas_do_not_form_a_set_without_the_third(self) -> None:
        """Guards against a second log beside one that has committed changes."""
        cell = self.formed(NAMES)
        self.accept(cell, 1)
        cell.crash(cell.nodes["c"])
        for name in ("a", "b"):
            cell.wipe(cell.nodes[name])
        cell.advance(60.0)
        self.assertThat(cell.leaders(), Equals([]))

    def test_all_restart_after_hundreds_of_changes(self) -> None:
        """Guards against an unbounded log and outcomes that are lost in a restart."""
        cell = self.formed(NAMES)
        self.accept(cell, 700)
        for node in cell.nodes.values():
            assert node.replica is not None
            entry_count = len(node.replica.log.entries)
            bound = replica_apply.SNAPSHOT_ENTRIES + replica_apply.KEPT_ENTRIES
            self.assertThat(entry_count <= bound, Equals(True))
            cell.crash(node)
        leader = cell.settle()
        self.assertThat(revision_of(leader), Equals(700))
        cell.submit(leader, change_of("change-3", 3))
        self.assertThat(cell.told["change-3"].revision_after, Equals(4))
        self.assertThat(cell.differing, Equals([]))

    def leader_of(self, cell: ReplicaCell) -> Node:
        """Return the leader."""
        leader = cell.leader()
        assert leader is not None
        return leader

    def followers_of(self, cell: ReplicaCell) -> list[Node]:
        """Return the other replicas."""
        leader = self.leader_of(cell)
        return [node for node in cell.nodes.values() if node is not leader]

    def test_frozen_leader_does_not_answer_reads_when_it_resumes(self) -> None:
        """Guards against a read by an old leader right after SIGCONT."""
        cell = self.formed(NAMES)
        old = self.leader_of(cell)
        cell.frozen.add(old.name)
        while not cell.leaders():
            cell.advance(0.05)
        cell.frozen.clear()
        self.assertThat(cell.leaders() == [old.name], Equals(False))
        self.assertThat(cell.leaders(), HasLength(1))
        self.assertRaises(
            NoQuorumError, propose, replica_of(old), None, old.clock(cell.now)
        )

    def test_votes_are_refused_while_a_lease_may_hold(self) -> None:
        """Guards against a second leader within the lease of a partitioned leader."""
        cell = self.formed(NAMES)
        old = self.leader_of(cell)
        late, _ = self.followers_of(cell)
        for _ in range(20):
            cell.frozen = {late.name}
            cell.advance(3.0)
            cell.frozen.clear()
            cell.network.parcels.clear()
            cell.held.clear()
            cell.isolate(old)
            cell.advance(0.6)
            cell.settle()
            old = self.leader_of(cell)
            late, _ = self.followers_of(cell)

    def test_votes_are_refused_right_after_a_restart(self) -> None:
        """Guards against a restarted replica that votes while a lease may be valid."""
        cell = self.formed(NAMES)
        for _ in range(20):
            old = self.leader_of(cell)
            late, other = self.followers_of(cell)
            cell.frozen = {late.name}
            cell.advance(3.0)
            cell.frozen.clear()
            cell.network.parcels.clear()
            cell.held.clear()
            cell.isolate(old)
            cell.crash(other)
            cell.start(other)
            cell.advance(0.6)
            cell.settle()

    def test_restart_of_all_voters_does_not_wait_for_election_timeout(self) -> None:
        """Guards against waiting for the lease of a leader that cannot exist."""
        cell = self.formed(NAMES)
        for _ in range(30):
            for node in cell.nodes.values():
                cell.crash(node)
                cell.start(node)
                replica_of(node).election_at = node.clock(cell.now)
            cell.network.parcels.clear()
            cell.held.clear()
            cell.advance(ELECTION_TIMEOUT_SECONDS * 0.8)
            self.assertThat(cell.leaders(), HasLength(1))

    def test_blank_disk_of_a_voter_does_not_delay_an_election(self) -> None:
        """Guards against waiting for a leader whose disk is lost."""
        cell = self.formed(NAMES)
        wiped = self.leader_of(cell)
        for node in cell.nodes.values():
            cell.crash(node)
        wiped.disk.wipe(identity=777_777)
        for node in cell.nodes.values():
            cell.start(node)
        cell.network.parcels.clear()
        cell.held.clear()
        cell.advance(ELECTION_TIMEOUT_SECONDS * 0.9)
        self.assertThat(cell.leaders(), HasLength(1))

    def test_one_voter_that_does_not_answer_makes_the_others_wait(self) -> None:
        """Guards against a second leader while the lease of the first is valid."""
        cell = self.formed(NAMES)
        old = self.leader_of(cell)
        cell.isolate(old)
        for node in self.followers_of(cell):
            cell.crash(node)
            cell.start(node)
        cell.advance(ELECTION_TIMEOUT_SECONDS * 0.5)
        self.assertThat([n for n in cell.leaders() if n != old.name], Equals([]))

    def test_leadership_transfer_does_not_wait_for_election_timeout(self) -> None:
        """Guards against a planned stop during which no change is accepted."""
        cell = self.formed(NAMES)
        old = self.leader_of(cell)
        old.pending += transfer_leadership(
            replica_of(old), old.clock(cell.now), cell.rng
        )
        cell.flush(old)
        self.assertThat(cell.leaders(), Equals([]))
        cell.advance(ELECTION_TIMEOUT_SECONDS / 2)
        self.assertThat(cell.leaders(), HasLength(1))
        self.assertThat(cell.leaders() == [old.name], Equals(False))

    def test_leadership_is_transferred_to_a_voter_that_answers(self) -> None:
        """Guards against waiting for an election since the target does not answer."""
        for silent in range(4):
            cell = self.formed([*NAMES, "d", "e"])
            old = self.leader_of(cell)
            cell.crash(self.followers_of(cell)[silent])
            cell.advance(ELECTION_TIMEOUT_SECONDS / 2)
            old.pending += transfer_leadership(
                replica_of(old), old.clock(cell.now), cell.rng
            )
            cell.flush(old)
            cell.advance(ELECTION_TIMEOUT_SECONDS / 2)
            self.assertThat(cell.leaders(), HasLength(1))

    def test_vote_survives_a_restart(self) -> None:
        """Guards against two votes of one replica in one term."""
        cell = self.formed(NAMES)
        voter, other = self.followers_of(cell)
        now = voter.clock(cell.now) + 10 * ELECTION_TIMEOUT_SECONDS
        request = VoteRequest(term=90, last_index=900, last_term=80, trial=False)

        def ask(sender: int) -> list[bool]:
            message = self.message(voter, sender, request)
            effects = receive(replica_of(voter), message, now, Random(1))
            voter.pending += effects
            cell.flush(voter)
            return votes_of(effects)

        self.assertThat(ask(replica_of(other).identity), Equals([True]))
        cell.crash(voter)
        voter.replica = start_replica(voter.disk.stored, 0.0, Random(1))
        self.assertThat(ask(12345), Equals([False]))
        self.assertThat(ask(replica_of(other).identity), Equals([True]))

    def message(self, to: Node, sender: int, body: Body) -> ReplicaMessage:
        """Return a message to a replica."""
        return ReplicaMessage(
            sender=sender, to=replica_of(to).identity, origin=to.address, body=body
        )

    def test_entry_of_an_older_term_is_not_committed_by_counting(self) -> None:
        """Guards against a commit that a later leader may still overwrite."""
        cell = self.formed(NAMES)
        leader = self.leader_of(cell)
        follower = self.followers_of(cell)[0]
        replica = replica_of(leader)
        last = replica.log.last_index
        replica.log.extend(
            [LogEntry(position=last + 1, term=replica.term, command=None)]
        )
        replica.persisted = last + 1
        replica.vote = Vote(term=replica.term + 5)
        reply = AppendReply(
            term=replica.term, success=True, matched=last + 1, sent_at=cell.now
        )
        message = self.message(leader, replica_of(follower).identity, reply)
        receive(replica, message, leader.clock(cell.now), Random(1))
        self.assertThat(replica.commit_index, Equals(last))

    def test_leader_does_not_count_its_own_unsynced_entry(self) -> None:
        """Guards against a commit that is lost when the leader crashes."""
        cell = self.formed(NAMES)
        leader = self.leader_of(cell)
        follower = self.followers_of(cell)[0]
        replica, now = replica_of(leader), leader.clock(cell.now)
        propose(replica, None, now)
        last = replica.log.last_index
        reply = AppendReply(term=replica.term, success=True, matched=last, sent_at=now)
        message = self.message(leader, replica_of(follower).identity, reply)
        receive(replica, message, now, Random(1))
        self.assertThat(replica.commit_index, Equals(last - 1))

    def test_replica_that_rejoins_has_no_vote_before_it_has_caught_up(self) -> None:
        """Guards against a majority that counts a blank disk."""
        cell = self.formed(NAMES)
        self.accept(cell, 20)
        leader = self.leader_of(cell)
        blank = self.followers_of(cell)[0]
        cell.wipe(blank)
        cell.advance(0.05)
        cell.cut(leader.name, blank.name)
        self.accept(cell, 5, "meanwhile")
        members = replica_of(leader).members
        found = members.find_by_identity(blank.disk.stored.identity)
        assert found is not None
        self.assertThat(found.voter, Equals(False))
        self.assertThat(members.voters(), HasLength(2))
        cell.settle()
        self.assertThat(replica_of(leader).members.voters(), HasLength(3))

    def test_second_change_of_members_waits_for_the_first(self) -> None:
        """Guards against two replica sets without a common majority."""
        cell = self.formed([*NAMES, "d", "e"])
        leader = self.leader_of(cell)
        now = leader.clock(cell.now)
        first, second = (
            MembersRequest(
                operation_id=node.name,
                operator="maria",
                action=MembersAction.REMOVE,
                name=node.name,
            )
            for node in self.followers_of(cell)[:2]
        )
        change_members(replica_of(leader), first, now, 1.0)
        self.assertRaises(
            MembersChangeError, change_members, replica_of(leader), second, now, 1.0
        )

    def test_removed_leader_steps_down(self) -> None:
        """Guards against a leader that is not in the replica set."""
        cell = self.formed(NAMES)
        leader = self.leader_of(cell)
        request = MembersRequest(
            operation_id="remove",
            operator="maria",
            action=MembersAction.REMOVE,
            name=leader.name,
        )
        now = leader.clock(cell.now)
        leader.pending += change_members(replica_of(leader), request, now, 1.0)
        cell.advance(4.0)
        self.assertThat(replica_of(leader).role is Role.LEADER, Equals(False))
        self.assertThat(replica_of(self.leader_of(cell)).members.voters(), HasLength(2))
