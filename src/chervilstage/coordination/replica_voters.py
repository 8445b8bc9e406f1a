"""Maintenance of the learners and the voters of an automatically maintained set.

A learner with the whole log is promoted while there are too few voters. Where the
replica set maintains its number of voters automatically, such a learner also takes the
vote of a voter that is silent for some time; the silent voter stays as a learner, since
it may still receive entries. A learner that is silent for longer is removed. The voters
are spread over the data centres, so that the loss of one stops as few as possible: a
learner also takes the vote of a voter that shares its data centre with others.

A vote moves by joint consensus. To take the vote first would leave a set that tolerates
fewer lost disks, and to give it first a set that needs more voters; either set would
remain if the learner were lost as well before the second step. The joint set needs a
majority of the voters before and of the voters after, so it tolerates the losses that
both of them tolerate, and it is left as soon as it is committed.
"""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from ..state.replica import Replica
from ..state.replica_messages import Hello
from ..state.replica_set import ReplicaMember, ReplicaSet
from .replica import is_busy
from .replica_effects import ReplicaEffect
from .replica_members import (
    can_change_members,
    has_committed_members,
    make_member,
    propose_members,
)

# Longer than an election, so that a replica that restarts remains a voter.
SILENT_VOTER_SECONDS = 1.5
SILENT_LEARNER_SECONDS = 10.0


class MembersStep(NamedTuple):
    """A change of the replica set, with its reason for the audit trail."""

    members: ReplicaSet
    difference: str


def silent_voters(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the voters that have not answered this leader for some time.

    In a joint set these include voters of the set before.
    """
    return [
        member
        for member in replica.members.members
        if member.has_vote() and _is_silent(replica, member, SILENT_VOTER_SECONDS, now)
    ]


def add_learner(
    replica: Replica, hello: Hello, target_voter_count: int, now: float, at: float
) -> list[ReplicaEffect]:
    """Add a replica that is not in the set as a learner.

    One learner per voter is enough to replace all voters; more learners would only
    increase the traffic of the leader. A silent learner gives its place to the new
    replica, so that lost replicas do not keep their successors out.

    :param at: seconds since the epoch.
    """
    members = replica.members
    if members.find_by_name(hello.name) is not None or members.find_by_identity(
        hello.identity
    ):
        return []
    if not can_change_members(replica, now):
        return []
    difference = f"replica {hello.name} enters as a learner"
    learners = [m for m in members.members if not m.voter]
    if len(learners) >= target_voter_count:
        silent = [
            m for m in learners if _is_silent(replica, m, SILENT_VOTER_SECONDS, now)
        ]
        if not silent:
            return []
        members = members.without_member(silent[0].name)
        difference += f" in place of {silent[0].name}, which is silent"
    members = members.with_member(make_member(hello))
    return propose_members(replica, members, difference, now, at)


def reconcile_members(
    replica: Replica, target_voter_count: int | None, now: float, at: float
) -> list[ReplicaEffect]:
    """Propose the next step towards a set of voters that all answer, if any.

    :param target_voter_count: None if every replica that operators have added is to
        vote.
    :param at: seconds since the epoch.
    """
    if is_busy(replica) or not has_committed_members(replica, now):
        return []
    step = _next_step(replica, target_voter_count, now)
    if step is None:
        return []
    return propose_members(replica, step.members, step.difference, now, at)


def _next_step(
    replica: Replica, target_voter_count: int | None, now: float
) -> MembersStep | None:
    members = replica.members
    if members.is_joint():
        return MembersStep(
            members=members.without_outgoing(),
            difference="the replicas that took votes decide without those before them",
        )
    learners = [m for m in members.members if not m.voter]
    if target_voter_count is None:
        return _promotion(replica, [m for m in learners if _has_log(replica, m)])
    for learner in learners:
        if _is_silent(replica, learner, SILENT_LEARNER_SECONDS, now):
            return MembersStep(
                members=members.without_member(learner.name),
                difference=f"learner {learner.name} is silent and leaves",
            )
    ready = [
        learner
        for learner in learners
        if _has_log(replica, learner)
        and not _is_silent(replica, learner, SILENT_VOTER_SECONDS, now)
    ]
    if len(members.voters()) < target_voter_count:
        return _promotion(replica, ready)
    silent = silent_voters(replica, now)
    return _replacement(replica, ready, silent) if silent else _spread(replica, ready)


def _promotion(replica: Replica, ready: list[ReplicaMember]) -> MembersStep | None:
    """Return the step that adds a voter."""
    steps = [
        MembersStep(
            members=replica.members.with_member(learner._replace(voter=True)),
            difference=f"replica {learner.name} has caught up and votes",
        )
        for learner in ready
    ]
    return min(steps, key=_crowding, default=None)


def _replacement(
    replica: Replica, ready: list[ReplicaMember], silent: list[ReplicaMember]
) -> MembersStep | None:
    """Return the step by which a learner takes the vote of a silent voter."""
    steps = [
        MembersStep(
            members=replica.members.with_vote_moved(source, target),
            difference=f"replica {source.name} is silent, {target.name} takes its vote",
        )
        for source in silent
        for target in ready
    ]
    return min(steps, key=_crowding, default=None)


def _spread(replica: Replica, ready: list[ReplicaMember]) -> MembersStep | None:
    """Return the step that spreads the voters better over the data centres.

    The leader keeps its vote, so that the move causes no election.
    """
    members = replica.members
    steps = [
        MembersStep(
            members=members.with_vote_moved(source, target),
            difference=f"replica {target.name} takes the vote of {source.name}, "
            "which shares a data centre with other voters",
        )
        for source in members.members
        if source.voter and source.identity != replica.identity
        for target in ready
    ]
    step = min(steps, key=_crowding, default=None)
    current = MembersStep(members=members, difference="")
    if step is None or _crowding(step) >= _crowding(current):
        return None
    return step


def _crowding(step: MembersStep) -> list[int]:
    """Return the numbers of voters in the data centres after a step, largest first.

    A replica of an unknown data centre counts as the only one of its data centre.
    """
    counts = Counter(
        member.data_centre or member.name
        for member in step.members.members
        if member.voter
    )
    return sorted(counts.values(), reverse=True)


def _has_log(replica: Replica, member: ReplicaMember) -> bool:
    """Return whether a replica is known to have the whole log."""
    progress = replica.progress.get(member.identity)
    return progress is not None and progress.match_index == replica.log.last_index


def _is_silent(
    replica: Replica, member: ReplicaMember, seconds: float, now: float
) -> bool:
    if member.identity == replica.identity:
        return False
    progress = replica.progress.get(member.identity)
    if progress is None:
        return False
    return now - max(progress.acked_at, progress.contact_at) > seconds
