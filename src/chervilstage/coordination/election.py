"""Elections: trial votes, votes, and the start of a term."""

from __future__ import annotations

from random import Random

from ..state.replica import Progress, Replica, Role, Vote
from ..state.replica_messages import (
    HandOver,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from .replica_effects import ReplicaEffect, SaveVote, Send
from .replica_terms import (
    follow,
    has_leader,
    has_lost_quorum,
    postpone_election,
    postpone_trial,
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
    postpone_trial(replica, now, rng)
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
    is_led = has_leader(replica, now) and not request.handed_over
    if is_led or not _is_up_to_date(replica, request):
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
    if reply.leaderless:
        replica.leaderless.add(message.sender)
        if replica.role is Role.PRE_CANDIDATE and _nobody_leads(replica):
            return _stand_first(replica, now, rng)
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
    if not reply.trial:
        return _lead(replica, now)
    return [] if has_leader(replica, now) else _stand(replica, now, rng)


def hand_over(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Give up the lead and the lease, and ask another voter to take it at once.

    Of those that hold most of the log, the one that has answered last is asked.
    """
    if replica.role is not Role.LEADER:
        return []
    voters = [
        (replica.progress[m.identity].matched, replica.progress[m.identity].acked_at, m)
        for m in replica.members.members
        if m.voter and m.identity in replica.progress
        if m.identity != replica.identity
    ]
    effects = follow(replica, replica.term, 0, now, rng)
    if voters:
        _, _, best = max(voters)
        body = HandOver(term=replica.term)
        effects.append(Send(address=best.address, to=best.identity, body=body))
    return effects


def receive_hand_over(
    replica: Replica, message: ReplicaMessage, body: HandOver, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Take the lead from the leader of this term."""
    is_current = body.term == replica.term and message.sender == replica.leader
    if not is_current or not replica.is_voter() or replica.role is Role.LEADER:
        return []
    return _stand(replica, now, rng, handed_over=True)


def _seek_trial_votes(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    replica.role = Role.PRE_CANDIDATE
    replica.leader = 0
    replica.votes = {replica.identity}
    replica.leaderless = set()
    if replica.has_quorum(replica.votes):
        return _stand(replica, now, rng)
    return _ask(replica, replica.term + 1, True)


def _stand(
    replica: Replica, now: float, rng: Random, handed_over: bool = False
) -> list[ReplicaEffect]:
    replica.role = Role.CANDIDATE
    replica.leader = 0
    replica.vote = Vote(term=replica.term + 1, candidate=replica.identity)
    replica.votes = {replica.identity}
    postpone_election(replica, now, rng)
    save = SaveVote(vote=replica.vote)
    if replica.has_quorum(replica.votes):
        return [save, *_lead(replica, now)]
    return [save, *_ask(replica, replica.term, False, handed_over)]


def _lead(replica: Replica, now: float) -> list[ReplicaEffect]:
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.has_heard_leader = True
    replica.led_from = now
    following = replica.log.last_index + 1
    replica.progress = {
        m.identity: Progress(following=following) for m in replica.members.members
    }
    return [append_command(replica, None), *broadcast(replica, now)]


def _ask(
    replica: Replica, term: int, trial: bool, handed_over: bool = False
) -> list[ReplicaEffect]:
    request = VoteRequest(
        term=term,
        last_index=replica.log.last_index,
        last_term=replica.log.last_term,
        trial=trial,
        handed_over=handed_over,
    )
    return [
        Send(address=member.address, to=member.identity, body=request)
        for member in replica.members.members
        if member.voter and member.identity != replica.identity
    ]


def _stand_first(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Stand for a set of voters that have all restarted.

    They have started at about the same time, so they stand one round after the other
    in the order of their identities; the first may have a log that is behind.
    """
    order = sorted(set(replica.members.voters()) - replica.lost)
    if replica.leaderless_rounds >= order.index(replica.identity):
        return _stand(replica, now, rng, handed_over=True)
    replica.leaderless_rounds += 1
    replica.role = Role.FOLLOWER
    return []


def _nobody_leads(replica: Replica) -> bool:
    """Tell whether every voter has said that it knows of no leader, or is lost."""
    if replica.has_heard_leader:
        return False
    silent = set(replica.members.voters()) - replica.leaderless - replica.lost
    return silent <= {replica.identity}


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
        leaderless=request.trial
        and _is_up_to_date(replica, request)
        and replica.role is not Role.LEADER
        and not replica.has_heard_leader,
    )
    return Send(address=message.origin, to=message.sender, body=reply)
