"""The formation of a set of replicas and its changes, one at a time.

A replica enters as a learner and becomes a voter when it holds the whole log. A
replica whose disk is blank has another identity; its old one leaves the set in the
same step in which the new one enters as a learner, so one step changes one voter.

Where replicas keep the number of voters up by themselves, each one that asks enters as
a learner. A learner hears the leader, so that it can hand calls over. It holds the log,
so that it can replace a voter that is silent for some time: the silent voter becomes a
learner, since it may still hear, then the other one votes. A learner that is silent for
longer leaves. Each step needs a majority of the set before it.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from ..errors.configuration import MembersChangeError
from ..state.log_entries import MembersCommand
from ..state.replica import Replica, Snapshot, Vote
from ..state.replica_log import ReplicaLog
from ..state.replica_messages import Hello
from ..state.replica_set import ReplicaMember, ReplicaSet
from .replica import propose
from .replica_effects import ReplicaEffect, SaveSnapshot, SaveVote
from .replica_terms import lease_holds

FIRST_TERM = 1
FIRST_INDEX = 1
SYSTEM_OPERATOR = "chervilstage"
# Longer than an election, so that a replica that restarts keeps its place.
SILENT_VOTER_SECONDS = 1.5
SILENT_LEARNER_SECONDS = 10.0


class MembersAction(StrEnum):
    """What operators can do to the set of replicas."""

    ADD = "add"
    REMOVE = "remove"
    REPLACE = "replace"


class MembersRequest(NamedTuple):
    """A change of the set of replicas; ``member`` is the new one, if there is one."""

    operation_id: str
    operator: str
    action: MembersAction
    name: str
    member: ReplicaMember | None = None


def may_form(own: Hello, founders: Iterable[str], answers: Iterable[Hello]) -> bool:
    """Tell whether a blank replica may form the set of replicas.

    Only the one with the lowest name may, and only if every founder has answered that
    it has never belonged to a set. A single answer of one that has proves that changes
    may have been accepted.

    :param founders: the names of all replicas that the set begins with.
    :param answers: those of the founders, and of others that are known.
    """
    names = set(founders) | {own.name}
    hellos = [own, *answers]
    if any(hello.formed for hello in hellos) or own.name != min(names):
        return False
    return names <= {hello.name for hello in hellos}


def form(replica: Replica, hellos: Iterable[Hello]) -> list[ReplicaEffect]:
    """Make a set of blank replicas the first one."""
    members = ReplicaSet(
        members=tuple(sorted(_member(hello, voter=True) for hello in hellos))
    )
    snapshot = Snapshot(position=FIRST_INDEX, term=FIRST_TERM, members=members)
    replica.snapshot = snapshot
    replica.log = ReplicaLog(index=FIRST_INDEX, term=FIRST_TERM, members=members)
    replica.commit = replica.applied_index = replica.persisted = FIRST_INDEX
    if members.voters() == (replica.identity,):
        replica.election_at = float("-inf")
    effects: list[ReplicaEffect] = [SaveSnapshot(snapshot=snapshot, entries=())]
    if replica.term < FIRST_TERM:
        replica.vote = Vote(term=FIRST_TERM)
        effects.insert(0, SaveVote(vote=replica.vote))
    return effects


def rejoin(
    replica: Replica, hello: Hello, now: float, at: float
) -> list[ReplicaEffect]:
    """Let a replica that has lost its disk back in as a learner.

    Its old identity cannot lead any more, whatever lease it held.

    :param at: seconds since the epoch.
    """
    known = replica.members.named(hello.name)
    if known is None or known.identity == hello.identity or hello.formed:
        return []
    replica.lost.add(known.identity)
    if not may_change_members(replica, now) or known.identity == replica.identity:
        return []
    text = f"replica {hello.name} has a blank disk and rejoins as a learner"
    return _propose_set(
        replica, replica.members.with_member(_member(hello)), text, now, at
    )


def admit(
    replica: Replica, hello: Hello, size: int, now: float, at: float
) -> list[ReplicaEffect]:
    """Let a replica that is not in the set enter as a learner.

    A learner for each voter is enough to replace all of them; more would only add to
    what the leader sends.

    :param size: the number of voters that the set should have.
    :param at: seconds since the epoch.
    """
    members = replica.members
    if members.named(hello.name) is not None or members.find(hello.identity):
        return []
    if not may_change_members(replica, now):
        return []
    learners = len(members.members) - len(members.voters())
    if learners >= size:
        return []
    text = f"replica {hello.name} enters as a learner"
    return _propose_set(replica, members.with_member(_member(hello)), text, now, at)


def silent_voters(replica: Replica, now: float) -> list[ReplicaMember]:
    """Return the voters that this leader has not heard for some time."""
    return [
        member
        for member in replica.members.members
        if member.voter and _is_silent(replica, member, SILENT_VOTER_SECONDS, now)
    ]


def settle_members(
    replica: Replica, size: int | None, now: float, at: float
) -> list[ReplicaEffect]:
    """Give votes to learners that hold the whole log, in place of silent voters.

    :param size: the number of voters that the set should have, None for as many as
        operators have added.
    :param at: seconds since the epoch.
    """
    if not may_change_members(replica, now):
        return []
    members = replica.members
    for learner in members.members:
        progress = replica.progress.get(learner.identity)
        if learner.voter or progress is None:
            continue
        if size is not None and _is_silent(
            replica, learner, SILENT_LEARNER_SECONDS, now
        ):
            text = f"learner {learner.name} is silent and leaves"
            return _propose_set(replica, members.without(learner.name), text, now, at)
        if progress.matched != replica.log.last_index or (
            size is not None and _is_silent(replica, learner, SILENT_VOTER_SECONDS, now)
        ):
            continue
        if size is None or len(members.voters()) < size:
            wanted = members.with_member(learner._replace(voter=True))
            text = f"replica {learner.name} has caught up and votes"
            return _propose_set(replica, wanted, text, now, at)
        for silent in silent_voters(replica, now):
            wanted = members.with_member(silent._replace(voter=False))
            text = f"replica {silent.name} is silent, {learner.name} takes its vote"
            return _propose_set(replica, wanted, text, now, at)
    return []


def change_members(
    replica: Replica, request: MembersRequest, now: float, at: float
) -> list[ReplicaEffect]:
    """Change the set of replicas for an operator.

    :raises MembersChangeError: the change is not allowed now.
    """
    members = _changed(replica.members, request)
    if not members.voters():
        raise MembersChangeError(reason="no voter would remain")
    if not may_change_members(replica, now):
        raise MembersChangeError(reason="another change of replicas is under way")
    command = MembersCommand(
        members=members,
        operation_id=request.operation_id,
        operator=request.operator,
        at=at,
        difference=f"{request.action.value} replica {request.name}",
    )
    return propose(replica, command, now)


def may_change_members(replica: Replica, now: float) -> bool:
    """Tell whether the newest set of replicas is committed and this replica leads.

    The lease also proves that an entry of the leader's own term is committed, without
    which two changes of one voter each could add up to one without a common majority.
    """
    return lease_holds(replica, now) and replica.log.members_index <= replica.commit


def _changed(members: ReplicaSet, request: MembersRequest) -> ReplicaSet:
    known = members.named(request.name)
    if request.action is MembersAction.ADD and known is not None:
        raise MembersChangeError(reason=f"{request.name} is a replica already")
    if request.action is not MembersAction.ADD and known is None:
        raise MembersChangeError(reason=f"{request.name} is no replica")
    if request.action is MembersAction.REMOVE:
        return members.without(request.name)
    if request.member is None:
        raise MembersChangeError(reason="the new replica has not answered")
    if members.find(request.member.identity) is not None:
        raise MembersChangeError(reason="the new replica belongs to the set already")
    return members.with_member(request.member._replace(voter=False))


def _propose_set(
    replica: Replica, members: ReplicaSet, text: str, now: float, at: float
) -> list[ReplicaEffect]:
    command = MembersCommand(
        members=members,
        operation_id="",
        operator=SYSTEM_OPERATOR,
        at=at,
        difference=text,
    )
    return propose(replica, command, now)


def _is_silent(
    replica: Replica, member: ReplicaMember, seconds: float, now: float
) -> bool:
    if member.identity == replica.identity:
        return False
    progress = replica.progress.get(member.identity)
    heard_at = replica.led_from
    if progress is not None:
        heard_at = max(heard_at, progress.acked_at, progress.sent_from)
    return now - heard_at > seconds


def _member(hello: Hello, voter: bool = False) -> ReplicaMember:
    return ReplicaMember(
        name=hello.name,
        identity=hello.identity,
        data_centre=hello.data_centre,
        address=hello.address,
        voter=voter,
    )
