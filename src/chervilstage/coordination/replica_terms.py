"""Terms, roles and the leader lease.

A replica that has heard from a leader within ``ELECTION_TIMEOUT_SECONDS`` of its own
clock grants no vote. The leader lease is shorter and starts when the messages were sent
that a majority has answered. It therefore expires before another leader can be elected,
provided that clock rates differ by less than a quarter.

A replica that has just started may have answered a leader right before. After a restart
of all voters there is no leader, so they need not wait: a candidate requests votes at
once if every voter has reported that it knows of no leader. This is safe, since a
leader with a lease is itself a voter, or else one of the voters has a newer log than
the candidate and refuses.
"""

from __future__ import annotations

from math import inf
from random import Random

from ..errors.configuration import NoQuorumError, NotLeaderError
from ..state.replica import Replica, Role, Vote
from .replica_effects import ReplicaEffect, SaveVote

HEARTBEAT_INTERVAL_SECONDS = 0.1
ELECTION_TIMEOUT_SECONDS = 1.0
# Pre-votes resolve a tie without a new term, so a jitter of a few exchanges is enough.
ELECTION_JITTER_SECONDS = 0.4
LEASE_SECONDS = 0.75
# Shortest interval at which a replica that has just started requests pre-votes, to ask
# whether any voter knows of a leader.
STARTUP_PRE_VOTE_SECONDS = 0.12


def reset_election_timer(replica: Replica, now: float, rng: Random) -> None:
    """Restart the election timer with a random jitter."""
    jitter = rng.random() * ELECTION_JITTER_SECONDS
    replica.election_at = now + ELECTION_TIMEOUT_SECONDS + jitter


def reset_pre_vote_timer(replica: Replica, now: float, rng: Random) -> None:
    """Set the time of the next pre-vote, early while this run knows of no leader."""
    reset_election_timer(replica, now, rng)
    if not replica.has_received_from_leader:
        replica.election_at = now + STARTUP_PRE_VOTE_SECONDS * (1.0 + rng.random())


def retry_election_soon(replica: Replica, now: float, rng: Random) -> None:
    """Set the time of the next pre-vote after a vote was split between candidates.

    No leader can have been elected by a majority that a split vote lacks, and the
    voters refuse pre-votes if one was, so there is no need to wait for one.
    """
    jitter = rng.random() * ELECTION_JITTER_SECONDS
    replica.election_at = min(replica.election_at, now + jitter)


def become_follower(
    replica: Replica, term: int, leader: int, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Become a follower, in a newer term if there is one.

    :param leader: the identity of the leader of that term, 0 if unknown.
    """
    replica.role = Role.FOLLOWER
    if leader != replica.leader or term > replica.term:
        replica.leader_at = -inf
    replica.leader = leader
    replica.votes = set()
    reset_election_timer(replica, now, rng)
    if leader:
        replica.last_leader_contact_at = now
        replica.last_leader = leader
        replica.has_received_from_leader = True
        replica.voters_without_leader.clear()
    if term <= replica.term:
        return []
    replica.vote = Vote(term=term)
    return [SaveVote(vote=replica.vote)]


def has_leader(replica: Replica, now: float) -> bool:
    """Return whether a leader is, or may still be, alive."""
    if replica.role is Role.LEADER:
        return True
    return now - replica.last_leader_contact_at < ELECTION_TIMEOUT_SECONDS


def majority_value(replica: Replica, values: dict[int, float]) -> float:
    """Return the highest value that a majority of each set of voters has reached."""
    reached = []
    for voters in replica.members.voter_sets():
        sorted_values = sorted((values[v] for v in voters), reverse=True)
        reached.append(sorted_values[len(sorted_values) // 2])
    return min(reached)


def quorum_contact_at(replica: Replica, now: float) -> float:
    """Return the send time of the latest messages that a majority has answered."""
    acked = {identity: p.acked_at for identity, p in replica.progress.items()}
    acked[replica.identity] = now
    return majority_value(replica, acked)


def has_lost_quorum(replica: Replica, now: float) -> bool:
    """Return whether a leader must step down for lack of answers from a majority."""
    last_contact = max(quorum_contact_at(replica, now), replica.leader_since)
    return now - last_contact >= ELECTION_TIMEOUT_SECONDS


def has_leader_lease(replica: Replica, now: float) -> bool:
    """Return whether no other replica can lead and all commits are known here."""
    if replica.role is not Role.LEADER:
        return False
    if replica.log.term_at(replica.commit_index) != replica.term:
        return False
    return now - quorum_contact_at(replica, now) < LEASE_SECONDS


def has_quorum_contact(replica: Replica, now: float) -> bool:
    """Return whether this replica has the leader lease or follows a live leader."""
    if replica.role is Role.LEADER:
        return has_leader_lease(replica, now)
    return bool(replica.leader) and has_leader(replica, now)


def check_lease(replica: Replica, now: float) -> None:
    """Check that this replica has the leader lease.

    :raises NotLeaderError: another replica is the leader.
    :raises NoQuorumError: no replica is known to lead.
    """
    if has_leader_lease(replica, now):
        return
    revision = replica.applied.configuration.revision
    if replica.role is Role.LEADER:
        reason = "this leader has no answers of a majority"
        raise NoQuorumError(reason=reason, revision=revision)
    leader = replica.members.find_by_identity(replica.leader)
    if (
        leader is None
        or now - replica.last_leader_contact_at >= ELECTION_TIMEOUT_SECONDS
    ):
        raise NoQuorumError(reason="no leader is known", revision=revision)
    raise NotLeaderError(leader=leader.name)
