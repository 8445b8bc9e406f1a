"""Formation of the replica set, admission of replicas and changes by operators.

A replica joins as a learner and becomes a voter when it has the whole log. A replica
with a blank disk has a new identity; its old identity leaves the set in the same step
in which the new one joins as a learner, so that each step changes at most one voter.
The old identity has lost its log for good and could count in no majority anyway.

Where the replica set maintains its number of voters automatically, each replica that
asks is added as a learner. A learner follows the leader, so that it can forward calls
to it, and it has the log, so that it can take over a vote (``replica_voters``).
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
from .replica_terms import has_leader_lease

FIRST_TERM = 1
FIRST_INDEX = 1
SYSTEM_OPERATOR = "chervilstage"


class MembersAction(StrEnum):
    """Changes of the replica set that an operator can request."""

    ADD = "add"
    REMOVE = "remove"
    REPLACE = "replace"


class MembersRequest(NamedTuple):
    """A requested change of the replica set; ``member`` is the new replica, if any."""

    operation_id: str
    operator: str
    action: MembersAction
    name: str
    member: ReplicaMember | None = None


def can_form_set(own: Hello, founders: Iterable[str], answers: Iterable[Hello]) -> bool:
    """Return whether a blank replica may form the replica set.

    Only the founder with the lowest name may do so, and only after every founder has
    answered that it has never belonged to a set. If any replica has belonged to one,
    changes may already have been committed there.

    :param founders: the names of all initial replicas of the set.
    :param answers: the answers of the founders and of other known replicas.
    """
    names = set(founders) | {own.name}
    hellos = [own, *answers]
    if any(hello.formed for hello in hellos) or own.name != min(names):
        return False
    return names <= {hello.name for hello in hellos}


def form_replica_set(replica: Replica, hellos: Iterable[Hello]) -> list[ReplicaEffect]:
    """Form the first replica set of blank replicas."""
    members = ReplicaSet(
        members=tuple(sorted(make_member(hello, voter=True) for hello in hellos))
    )
    snapshot = Snapshot(position=FIRST_INDEX, term=FIRST_TERM, members=members)
    replica.snapshot = snapshot
    replica.log = ReplicaLog(index=FIRST_INDEX, term=FIRST_TERM, members=members)
    replica.commit_index = replica.applied_index = replica.persisted = FIRST_INDEX
    if replica.is_only_voter():
        replica.election_at = float("-inf")
    effects: list[ReplicaEffect] = [SaveSnapshot(snapshot=snapshot, entries=())]
    if replica.term < FIRST_TERM:
        replica.vote = Vote(term=FIRST_TERM)
        effects.insert(0, SaveVote(vote=replica.vote))
    return effects


def rejoin(
    replica: Replica, hello: Hello, now: float, at: float
) -> list[ReplicaEffect]:
    """Add a replica again, as a learner, after it has lost its disk.

    Its old identity is recorded as lost: it can no longer be the leader, even if it
    had a lease.

    :param at: seconds since the epoch.
    """
    known = replica.members.find_by_name(hello.name)
    if known is None or known.identity == hello.identity or hello.formed:
        return []
    replica.replaced_identities.add(known.identity)
    if not can_change_members(replica, now) or known.identity == replica.identity:
        return []
    difference = f"replica {hello.name} has a blank disk and rejoins as a learner"
    return propose_members(
        replica, replica.members.with_member(make_member(hello)), difference, now, at
    )


def change_members(
    replica: Replica, request: MembersRequest, now: float, at: float
) -> list[ReplicaEffect]:
    """Propose a change of the replica set that an operator has requested.

    :raises MembersChangeError: the change is invalid or another one is in progress.
    """
    members = _requested_members(replica.members, request)
    if not members.voters():
        raise MembersChangeError(reason="no voter would remain")
    if not can_change_members(replica, now):
        raise MembersChangeError(reason="another change of replicas is under way")
    return propose_members(
        replica,
        members,
        f"{request.action.value} replica {request.name}",
        now,
        at,
        operation_id=request.operation_id,
        operator=request.operator,
    )


def can_change_members(replica: Replica, now: float) -> bool:
    """Return whether this replica leads and no change of the replica set is open."""
    return has_committed_members(replica, now) and not replica.members.is_joint()


def has_committed_members(replica: Replica, now: float) -> bool:
    """Return whether this replica leads and the latest replica set is committed.

    The lease also proves that an entry of the leader's own term is committed. Without
    it, two changes of one voter each could combine into sets without a common majority.
    """
    return (
        has_leader_lease(replica, now)
        and replica.log.members_index <= replica.commit_index
    )


def propose_members(
    replica: Replica,
    members: ReplicaSet,
    difference: str,
    now: float,
    at: float,
    *,
    operation_id: str = "",
    operator: str = SYSTEM_OPERATOR,
) -> list[ReplicaEffect]:
    """Propose a change of the replica set, by default one of the replicas themselves.

    :param difference: what changes, for the audit trail.
    :param at: seconds since the epoch.
    """
    command = MembersCommand(
        members=members,
        operation_id=operation_id,
        operator=operator,
        at=at,
        difference=difference,
    )
    return propose(replica, command, now)


def _requested_members(members: ReplicaSet, request: MembersRequest) -> ReplicaSet:
    known = members.find_by_name(request.name)
    if request.action is MembersAction.ADD and known is not None:
        raise MembersChangeError(reason=f"{request.name} is a replica already")
    if request.action is not MembersAction.ADD and known is None:
        raise MembersChangeError(reason=f"{request.name} is no replica")
    if request.action is MembersAction.REMOVE:
        return members.without_member(request.name)
    if request.member is None:
        raise MembersChangeError(reason="the new replica has not answered")
    if members.find_by_identity(request.member.identity) is not None:
        raise MembersChangeError(reason="the new replica belongs to the set already")
    return members.with_member(request.member._replace(voter=False))


def make_member(hello: Hello, voter: bool = False) -> ReplicaMember:
    """Return the member that a hello describes."""
    return ReplicaMember(
        name=hello.name,
        identity=hello.identity,
        data_centre=hello.data_centre,
        address=hello.address,
        voter=voter,
    )
