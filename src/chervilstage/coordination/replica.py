"""What a replica of the configuration log does on each event."""

from __future__ import annotations

from random import Random
from typing import NamedTuple

from ..errors.configuration import ReplicaBusyError
from ..state.configuration import Change, ChangeOutcome
from ..state.log_entries import ChangeCommand, Command
from ..state.replica import Replica, Role, Stored
from ..state.replica_messages import (
    Append,
    AppendReply,
    HandOver,
    InstallSnapshot,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from .configuration import check_resend
from .election import receive_hand_over, receive_vote_reply, receive_vote_request
from .replica_effects import ReplicaEffect
from .replica_terms import (
    FIRST_TRIAL_SECONDS,
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

KEPT_OUTCOMES = 10_000
MAXIMUM_WAITING = 256


class Submission(NamedTuple):
    """The known outcome of a change, or the effects that lead to one."""

    outcome: ChangeOutcome | None
    effects: tuple[ReplicaEffect, ...] = ()


def start_replica(stored: Stored, now: float, rng: Random) -> Replica:
    """Return the replica of what its disk holds.

    A replica that has just started counts as having heard of a leader, since it may
    have done so right before it stopped; it votes for nobody until that lease is over.

    :param now: when this process started or later, since no message can have reached
        an earlier process of this replica after that.
    """
    spread = rng.random() * FIRST_TRIAL_SECONDS
    replica = Replica(
        stored=stored,
        now=now,
        election_at=now + spread,
        kept_outcomes=KEPT_OUTCOMES,
    )
    if replica.members.voters() == (replica.identity,):
        replica.election_at = now
    return replica


def receive(
    replica: Replica, message: ReplicaMessage, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Take a message; one for an identity that this disk once had is dropped."""
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
    if isinstance(body, HandOver):
        return receive_hand_over(replica, message, body, now, rng)
    assert isinstance(body, InstallSnapshot)
    return receive_snapshot(replica, message, body, now, rng)


def propose(replica: Replica, command: Command, now: float) -> list[ReplicaEffect]:
    """Append a command to the log.

    :raises NotLeaderError: another replica leads.
    :raises NoQuorumError: no majority answers.
    :raises ReplicaBusyError: too many commands wait for a majority.
    """
    check_lease(replica, now)
    waiting = replica.log.last_index - replica.commit
    if waiting >= MAXIMUM_WAITING:
        raise ReplicaBusyError(waiting=waiting)
    return [append_command(replica, command), *broadcast(replica, now)]


def submit(replica: Replica, change: Change, now: float, at: float) -> Submission:
    """Take a change of an operator; one that is sent again gets its first outcome.

    Only a leader whose lease holds may look up outcomes, since only it knows all that
    has been accepted.

    :param at: seconds since the epoch.
    :raises OperationReusedError: the operation id belongs to another operator.
    """
    check_lease(replica, now)
    known = replica.applied.outcomes.get(change.operation_id)
    if known is not None:
        return Submission(outcome=check_resend(known, change.operator))
    command = ChangeCommand(change=change, at=at)
    return Submission(outcome=None, effects=tuple(propose(replica, command, now)))


def persisted(
    replica: Replica, index: int, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Take note that the entries up to an index are durable here."""
    replica.persisted = index
    return advance_commit(replica, now, rng)


def next_timer(replica: Replica) -> float:
    """Return when this replica next has something to do of itself."""
    if replica.role is Role.LEADER:
        return replica.heartbeat_at
    return replica.election_at
