"""Leader election: pre-votes, votes, the start of a term and leadership transfer."""

from __future__ import annotations

from random import Random

from ..state.replica import Progress, Replica, Role, Vote
from ..state.replica_messages import (
    LeadershipTransfer,
    ReplicaMessage,
    VoteReply,
    VoteRequest,
)
from .replica_effects import ReplicaEffect, SaveVote, Send
from .replica_terms import (
    become_follower,
    has_leader,
    has_lost_quorum,
    reset_election_timer,
    reset_pre_vote_timer,
    retry_election_soon,
)
from .replication import append_command, broadcast


def tick(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Run the timers: send heartbeats, step down, or start a pre-vote."""
    if replica.role is Role.LEADER:
        if has_lost_quorum(replica, now):
            return become_follower(replica, replica.term, 0, now, rng)
        return broadcast(replica, now) if now >= replica.heartbeat_at else []
    if now < replica.election_at:
        return []
    reset_pre_vote_timer(replica, now, rng)
    if not replica.is_voter():
        return []
    return _request_pre_votes(replica, now, rng)


def receive_vote_request(
    replica: Replica,
    message: ReplicaMessage,
    request: VoteRequest,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Grant or refuse a vote or a pre-vote."""
    is_lease_possible = has_leader(replica, now) and not request.handed_over
    if is_lease_possible or not _is_up_to_date(replica, request):
        return [_vote_reply(replica, message, request, False)]
    if request.trial:
        granted = request.term > replica.term
        return [_vote_reply(replica, message, request, granted)]
    effects: list[ReplicaEffect] = []
    if request.term > replica.term:
        effects += become_follower(replica, request.term, 0, now, rng)
    voted_for = replica.vote.candidate
    granted = request.term == replica.term and voted_for in (0, message.sender)
    if granted and not voted_for:
        replica.vote = Vote(term=request.term, candidate=message.sender)
        reset_election_timer(replica, now, rng)
        effects.append(SaveVote(vote=replica.vote))
    return [*effects, _vote_reply(replica, message, request, granted)]


def receive_vote_reply(
    replica: Replica,
    message: ReplicaMessage,
    reply: VoteReply,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Count a vote or a pre-vote, and act on a majority."""
    if reply.leaderless:
        replica.voters_without_leader.add(message.sender)
        if replica.role is Role.PRE_CANDIDATE and _is_known_leaderless(replica):
            return _start_election_in_turn(replica, now, rng)
    if not reply.granted:
        if reply.term > replica.term:
            return become_follower(replica, reply.term, 0, now, rng)
        if replica.role is Role.CANDIDATE and reply.term == replica.term:
            retry_election_soon(replica, now, rng)
        return []
    role = Role.PRE_CANDIDATE if reply.trial else Role.CANDIDATE
    term = replica.term + 1 if reply.trial else replica.term
    if replica.role is not role or reply.term != term:
        return []
    replica.votes.add(message.sender)
    if not replica.has_quorum(replica.votes):
        return []
    if not reply.trial:
        return _become_leader(replica, now)
    return [] if has_leader(replica, now) else _start_election(replica, now, rng)


def transfer_leadership(
    replica: Replica, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Step down, give up the lease and transfer leadership to another voter.

    The target is the voter with the longest matching log and, among several of these,
    the one with the latest acknowledgement.
    """
    if replica.role is not Role.LEADER:
        return []
    candidates = [
        (
            replica.progress[m.identity].match_index,
            replica.progress[m.identity].acked_at,
            m,
        )
        for m in replica.members.members
        if m.voter and m.identity in replica.progress
        if m.identity != replica.identity
    ]
    effects = become_follower(replica, replica.term, 0, now, rng)
    if candidates:
        _, _, target = max(candidates)
        body = LeadershipTransfer(term=replica.term)
        effects.append(Send(address=target.address, to=target.identity, body=body))
    return effects


def receive_leadership_transfer(
    replica: Replica,
    message: ReplicaMessage,
    body: LeadershipTransfer,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Start an election at once if the leader of this term requests it."""
    is_current = body.term == replica.term and message.sender == replica.leader
    if not is_current or not replica.is_voter() or replica.role is Role.LEADER:
        return []
    return _start_election(replica, now, rng, handed_over=True)


def _request_pre_votes(
    replica: Replica, now: float, rng: Random
) -> list[ReplicaEffect]:
    replica.role = Role.PRE_CANDIDATE
    replica.leader = 0
    replica.votes = {replica.identity}
    replica.voters_without_leader = set()
    if replica.has_quorum(replica.votes):
        return _start_election(replica, now, rng)
    return _request_votes(replica, replica.term + 1, True)


def _start_election(
    replica: Replica, now: float, rng: Random, handed_over: bool = False
) -> list[ReplicaEffect]:
    replica.role = Role.CANDIDATE
    replica.leader = 0
    replica.vote = Vote(term=replica.term + 1, candidate=replica.identity)
    replica.votes = {replica.identity}
    reset_election_timer(replica, now, rng)
    save = SaveVote(vote=replica.vote)
    if replica.has_quorum(replica.votes):
        return [save, *_become_leader(replica, now)]
    return [save, *_request_votes(replica, replica.term, False, handed_over)]


def _become_leader(replica: Replica, now: float) -> list[ReplicaEffect]:
    replica.role = Role.LEADER
    replica.leader = replica.identity
    replica.has_received_from_leader = True
    replica.leader_since = now
    following_index = replica.log.last_index + 1
    replica.progress = {
        m.identity: Progress(next_index=following_index, contact_at=now)
        for m in replica.members.members
    }
    _count_silence_of_last_leader(replica)
    return [append_command(replica, None), *broadcast(replica, now)]


def _count_silence_of_last_leader(replica: Replica) -> None:
    """Count the silence of the leader before this one from its last message.

    Its silence has caused the election. Counted from the election, a lost leader would
    keep its vote longer than another lost voter.
    """
    progress = replica.progress.get(replica.last_leader)
    if progress is not None:
        replica.progress[replica.last_leader] = progress._replace(
            contact_at=replica.last_leader_contact_at
        )
    replica.last_leader = 0


def _request_votes(
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
        if member.has_vote() and member.identity != replica.identity
    ]


def _start_election_in_turn(
    replica: Replica, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Start an election after a restart of all voters, if it is this replica's turn.

    The voters have started at about the same time, so they start elections in
    successive rounds in the order of their identities. More than one round may be
    needed, since the log of the first voter may be behind.
    """
    order = sorted(replica.members.all_voters() - replica.replaced_identities)
    if replica.leaderless_rounds >= order.index(replica.identity):
        return _start_election(replica, now, rng, handed_over=True)
    replica.leaderless_rounds += 1
    replica.role = Role.FOLLOWER
    return []


def _is_known_leaderless(replica: Replica) -> bool:
    """Return whether every other voter was replaced or has reported no leader."""
    if replica.has_received_from_leader:
        return False
    unknown_voters = (
        replica.members.all_voters()
        - replica.voters_without_leader
        - replica.replaced_identities
    )
    return unknown_voters <= {replica.identity}


def _is_up_to_date(replica: Replica, request: VoteRequest) -> bool:
    own = replica.log.last_term, replica.log.last_index
    return (request.last_term, request.last_index) >= own


def _vote_reply(
    replica: Replica, message: ReplicaMessage, request: VoteRequest, granted: bool
) -> ReplicaEffect:
    reply = VoteReply(
        term=request.term if granted else replica.term,
        granted=granted,
        trial=request.trial,
        leaderless=request.trial
        and _is_up_to_date(replica, request)
        and replica.role is not Role.LEADER
        and not replica.has_received_from_leader,
    )
    return Send(address=message.origin, to=message.sender, body=reply)
