"""Terms, roles and the lease of a leader.

A replica that has heard of a leader within ``ELECTION_SECONDS`` of its own clock
votes for nobody. A leader's lease is shorter than that, counted from the sending of
messages that a majority has answered, so it has run out before another leader can be
elected while clocks drift apart by less than a quarter.

A replica that has just started may have answered a leader right before. After all
voters have restarted nobody leads, so they need not wait: a candidate that every voter
has told so asks for votes at once. A leader with a lease is a voter, or one of the
voters has a newer log than the candidate and refuses.
"""

from __future__ import annotations

from math import inf
from random import Random

from ..errors.configuration import NoQuorumError, NotLeaderError
from ..state.replica import Replica, Role, Vote
from .replica_effects import ReplicaEffect, SaveVote

HEARTBEAT_SECONDS = 0.1
ELECTION_SECONDS = 1.0
# Trial votes settle a tie without a new term, so a spread of a few exchanges is enough.
ELECTION_SPREAD_SECONDS = 0.4
LEASE_SECONDS = 0.75
# How often a replica that has just started asks whether any voter knows a leader.
FIRST_TRIAL_SECONDS = 0.12


def postpone_election(replica: Replica, now: float, rng: Random) -> None:
    """Set the next time at which a replica without a leader seeks to lead."""
    spread = rng.random() * ELECTION_SPREAD_SECONDS
    replica.election_at = now + ELECTION_SECONDS + spread


def postpone_trial(replica: Replica, now: float, rng: Random) -> None:
    """Set the next time for trial votes, soon while this run knows of no leader."""
    postpone_election(replica, now, rng)
    if not replica.has_heard_leader:
        replica.election_at = now + FIRST_TRIAL_SECONDS * (1.0 + rng.random())


def follow(
    replica: Replica, term: int, leader: int, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Become a follower of a term.

    :param leader: the identity of its leader, 0 if unknown.
    """
    replica.role = Role.FOLLOWER
    if leader != replica.leader or term > replica.term:
        replica.leader_at = -inf
    replica.leader = leader
    replica.votes = set()
    postpone_election(replica, now, rng)
    if leader:
        replica.heard_at = now
        replica.has_heard_leader = True
        replica.leaderless.clear()
    if term <= replica.term:
        return []
    replica.vote = Vote(term=term)
    return [SaveVote(vote=replica.vote)]


def has_leader(replica: Replica, now: float) -> bool:
    """Tell whether this replica must count a leader as alive."""
    if replica.role is Role.LEADER:
        return True
    return now - replica.heard_at < ELECTION_SECONDS


def majority_value(replica: Replica, values: dict[int, float]) -> float:
    """Return the highest value that a majority of the voters has reached."""
    voters = replica.members.voters()
    reached = sorted((values[v] for v in voters), reverse=True)
    return reached[len(reached) // 2]


def contact_at(replica: Replica, now: float) -> float:
    """Return when this leader sent what a majority of the voters has answered."""
    acked = {identity: p.acked_at for identity, p in replica.progress.items()}
    acked[replica.identity] = now
    return majority_value(replica, acked)


def has_lost_quorum(replica: Replica, now: float) -> bool:
    """Tell whether a leader has to step down."""
    contact = max(contact_at(replica, now), replica.led_from)
    return now - contact >= ELECTION_SECONDS


def lease_holds(replica: Replica, now: float) -> bool:
    """Tell whether no other replica can lead now, and all accepted is known here."""
    if replica.role is not Role.LEADER:
        return False
    if replica.log.term_at(replica.commit) != replica.term:
        return False
    return now - contact_at(replica, now) < LEASE_SECONDS


def knows_majority(replica: Replica, now: float) -> bool:
    """Tell whether this replica leads with a majority, or hears of a leader."""
    if replica.role is Role.LEADER:
        return lease_holds(replica, now)
    return bool(replica.leader) and has_leader(replica, now)


def check_lease(replica: Replica, now: float) -> None:
    """Check that this replica may answer as the leader.

    :raises NotLeaderError: another replica leads.
    :raises NoQuorumError: no replica is known to lead.
    """
    if lease_holds(replica, now):
        return
    revision = replica.applied.configuration.revision
    if replica.role is Role.LEADER:
        reason = "this leader has no answers of a majority"
        raise NoQuorumError(reason=reason, revision=revision)
    leader = replica.members.find(replica.leader)
    if leader is None or now - replica.heard_at >= ELECTION_SECONDS:
        raise NoQuorumError(reason="no leader is known", revision=revision)
    raise NotLeaderError(leader=leader.name)
