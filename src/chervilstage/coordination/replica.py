"""Event handlers of a replica of the configuration log."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from ..errors.configuration import ReplicaBusyError
from ..state.configuration import Change, ChangeOutcome
from ..state.log_entries import ChangeCommand, Command
from ..state.replica import Replica, Role, StoredReplica
from ..state.replica_messages import (
    Append,
    AppendReply,
    InstallSnapshot,
    LeadershipTransfer,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from .configuration import check_resend
from .election import (
    receive_leadership_transfer,
    receive_vote_reply,
    receive_vote_request,
)
from .replica_effects import ReplicaEffect
from .replica_terms import (
    STARTUP_PRE_VOTE_SECONDS,
    check_lease,
)
from .replication import (
    advance_commit,
    append_command,
    broadcast,
    receive_append,
    receive_append_reply,
    receive_snapshot,
)

RETAINED_OUTCOMES = 10_000
MAXIMUM_UNCOMMITTED = 256


class Submission(NamedTuple):
    """The known outcome of a change, or the effects that append it to the log."""

    outcome: ChangeOutcome | None
    effects: tuple[ReplicaEffect, ...] = ()


def start_replica(stored: StoredReplica, now: float, rng: Random) -> Replica:
    """Return a replica with the state restored from its disk.

    A replica that has just started behaves as if it had just heard from a leader,
    since that may have happened right before it stopped. It grants no vote until the
    lease of such a leader has expired.

    :param now: a time at or after the start of this process; no message can have
        reached an earlier process of this replica after its start.
    """
    jitter = rng.random() * STARTUP_PRE_VOTE_SECONDS
    replica = Replica(
        stored=stored,
        now=now,
        election_at=now + jitter,
        max_outcomes=RETAINED_OUTCOMES,
    )
    if replica.is_only_voter():
        replica.election_at = now
    return replica


def receive(
    replica: Replica, message: ReplicaMessage, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Handle a message; drop it if it is for an earlier identity of this disk."""
    if message.to != replica.identity:
        return []
    body = message.body
    if isinstance(body, VoteRequest):
        return receive_vote_request(replica, message, body, now, rng)
    if isinstance(body, VoteReply):
        return receive_vote_reply(replica, message, body, now, rng)
    if isinstance(body, Append):
        return receive_append(replica, message, body, now, rng)
    if isinstance(body, AppendReply):
        return receive_append_reply(replica, message, body, now, rng)
    if isinstance(body, LeadershipTransfer):
        return receive_leadership_transfer(replica, message, body, now, rng)
    assert isinstance(body, InstallSnapshot)
    return receive_snapshot(replica, message, body, now, rng)


def propose(replica: Replica, command: Command, now: float) -> list[ReplicaEffect]:
    """Append a command to the log and send it to the other replicas.

    :raises NotLeaderError: another replica is the leader.
    :raises NoQuorumError: no majority acknowledges this leader.
    :raises ReplicaBusyError: too many commands are uncommitted.
    """
    check_lease(replica, now)
    if is_busy(replica):
        uncommitted = replica.log.last_index - replica.commit_index
        raise ReplicaBusyError(waiting=uncommitted)
    return [append_command(replica, command), *broadcast(replica, now)]


def is_busy(replica: Replica) -> bool:
    """Return whether too many commands are uncommitted to propose another one."""
    return replica.log.last_index - replica.commit_index >= MAXIMUM_UNCOMMITTED


def submit(replica: Replica, change: Change, now: float, at: float) -> Submission:
    """Propose an operator's change; a resend returns the recorded outcome instead.

    Only a leader with a valid lease may look up outcomes, since only such a leader
    knows of every committed change.

    :param at: seconds since the epoch.
    :raises OperationReusedError: the operation id belongs to another operator.
    """
    check_lease(replica, now)
    known = replica.applied.outcomes.get(change.operation_id)
    if known is not None:
        return Submission(outcome=check_resend(known, change.operator))
    command = ChangeCommand(change=change, at=at)
    return Submission(outcome=None, effects=tuple(propose(replica, command, now)))


def record_persisted(
    replica: Replica, index: int, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Record that entries up to an index are durable here, and advance the commit."""
    replica.persisted = index
    return advance_commit(replica, now, rng)


def next_timer(replica: Replica) -> float:
    """Return the time of the next heartbeat of a leader, else of the next election."""
    if replica.role is Role.LEADER:
        return replica.heartbeat_at
    return replica.election_at
