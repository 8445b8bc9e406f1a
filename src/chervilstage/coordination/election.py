"""Elections: trial votes, votes, and the start of a term."""

from __future__ import annotations

from random import Random

from ..state.replica import Progress, Replica, Role, Vote
from ..state.replica_messages import ReplicaMessage, VoteReply, VoteRequest
from .replica_effects import ReplicaEffect, SaveVote, Send
from .replica_terms import (
    follow,
    has_leader,
    has_lost_quorum,
    postpone_election,
)
from .replication import append_command, broadcast


def tick(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Do what is due: send heartbeats, step down, or seek to lead."""
    if replica.role is Role.LEADER:
        if has_lost_quorum(replica, now):
            return follow(replica, replica.term, 0, now, rng)
        return broadcast(replica, now) if now >= replica.heartbeat_at else []
    if now < replica.election_at:
        return []
    postpone_election(replica, now, rng)
    if not replica.is_voter():
        return []
    return _seek_trial_votes(replica, now, rng)


def receive_vote_request(
    replica: Replica,
    message: ReplicaMessage,
    request: VoteRequest,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Grant or refuse a vote."""
    if has_leader(replica, now) or not _is_up_to_date(replica, request):
        return [_answer(replica, message, request, False)]
    if request.trial:
        granted = request.term > replica.term
        return [_answer(replica, message, request, granted)]
    effects: list[ReplicaEffect] = []
    if request.term > replica.term:
        effects += follow(replica, request.term, 0, now, rng)
    voted = replica.vote.candidate
    granted = request.term == replica.term and voted in (0, message.sender)
    if granted and not voted:
        replica.vote = Vote(term=request.term, candidate=message.sender)
        postpone_election(replica, now, rng)
        effects.append(SaveVote(vote=replica.vote))
    return [*effects, _answer(replica, message, request, granted)]


def receive_vote_reply(
    replica: Replica,
    message: ReplicaMessage,
    reply: VoteReply,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Count a vote."""
    if not reply.granted:
        if reply.term > replica.term:
            return follow(replica, reply.term, 0, now, rng)
        return []
    role = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
    term = replica.term + 1 if reply.trial else replica.term
    if replica.role is not role or reply.term != term:
        return []
    replica.votes.add(message.sender)
    if not replica.has_quorum(replica.votes):
        return []
    return _stand(replica, now, rng) if reply.trial else _lead(replica, now)


def _seek_trial_votes(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    replica.role = Role.PRE_CANDIDATE
    replica.leader = 0
    replica.votes = {replica.identity}
    if replica.has_quorum(replica.votes):
        return _stand(replica, now, rng)
    return _ask(replica, replica.term + 1, True)


def _stand(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    replica.role = Role.CANDIDATE
    replica.vote = Vote(term=replica.term + 1, candidate=replica.identity)
    replica.votes = {replica.identity}
    postpone_election(replica, now, rng)
    save = SaveVote(vote=replica.vote)
    if replica.has_quorum(replica.votes):
        return [save, *_lead(replica, now)]
    return [save, *_ask(replica, replica.term, False)]


def _lead(replica: Replica, now: float) -> list[ReplicaEffect]:
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.led_from = now
    following = replica.log.last_index + 1
    replica.progress = {
        m.identity: Progress(following=following) for m in replica.members.members
    }
    return [append_command(replica, None), *broadcast(replica, now)]


def _ask(replica: Replica, term: int, trial: bool) -> list[ReplicaEffect]:
    request = VoteRequest(
        term=term,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        trial=trial,
    )
    return [
        Send(address=member.address, to=member.identity, body=request)
        for member in replica.members.members
        if member.voter and member.identity != replica.identity
    ]


def _is_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    own = replica.log.last_term, replica.log.last_index
    return (request.last_term, request.last_index) >= own


def _answer(
    replica: Replica, message: ReplicaMessage, request: VoteRequest, granted: bool
) -> ReplicaEffect:
    reply = VoteReply(
        term=request.term if granted else replica.term,
        granted=granted,
        trial=request.trial,
    )
    return Send(address=message.origin, to=message.sender, body=reply)
