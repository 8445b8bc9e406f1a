"""The state of a replica of the configuration log."""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum
from math import inf
from typing import NamedTuple

from .applied import AppliedState
from .configuration import ChangeOutcome, Configuration
from .log_entries import LogEntry
from .replica_log import ReplicaLog
from .replica_set import ReplicaSet


class Role(StrEnum):
    """The role of a replica in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


class Vote(NamedTuple):
    """The term of a replica and the candidate it voted for in that term, 0 if none."""

    term: int = 0
    candidate: int = 0


class Snapshot(NamedTuple):
    """The state that results from the log entries up to the index ``position``."""

    position: int = 0
    term: int = 0
    members: ReplicaSet = ReplicaSet()
    configuration: Configuration = Configuration()
    outcomes: tuple[ChangeOutcome, ...] = ()


class StoredReplica(NamedTuple):
    """The state that a replica reads from its disk at start."""

    identity: int
    vote: Vote
    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Progress(NamedTuple):
    """A leader's record of the progress of another replica.

    ``match_index`` is the highest entry known to be durable there, ``next_index`` the
    next one to send. ``acked_at`` is when this leader sent the newest message that the
    replica has answered. ``contact_at`` is when it began to send to the replica, or,
    for the leader before it, when it last received a message from that one.
    """

    next_index: int
    match_index: int = 0
    acked_at: float = float("-inf")
    contact_at: float = float("-inf")


class Replica:
    """A replica of the log; times are in seconds of its own clock.

    ``last_leader_contact_at`` is when it last received a message from a leader, and
    ``last_leader`` the identity of that one, 0 if none or if it has led since;
    ``election_at`` when it starts an election, ``heartbeat_at`` when it next sends as
    the leader and ``leader_since`` when it became the leader. ``persisted`` is the
    highest entry that is durable here, and ``applied_bytes`` the size of the entries
    applied since the snapshot. ``leader_at`` is the newest time of the leader's own
    clock that the leader has sent. ``has_received_from_leader`` says whether this run
    of the replica has received a message from a leader; ``voters_without_leader`` holds
    the voters that reported that they have not, ``replaced_identities`` the identities
    that were replaced by a replica with a blank disk. ``leaderless_rounds`` counts the
    rounds in which no voter knew of a leader.
    """

    def __init__(
        self,
        *,
        stored: StoredReplica,
        now: float,
        election_at: float,
        max_outcomes: int,
    ) -> None:
        snapshot = stored.snapshot
        self.identity = stored.identity
        self.vote = stored.vote
        self.snapshot = snapshot
        self.log = ReplicaLog(
            index=snapshot.position,
            term=snapshot.term,
            members=snapshot.members,
            entries=stored.entries,
        )
        self.applied = AppliedState(
            configuration=snapshot.configuration,
            outcomes=snapshot.outcomes,
            max_outcomes=max_outcomes,
        )
        self.role = Role.FOLLOWER
        self.leader = 0
        self.leader_at = -inf
        self.votes: set[int] = set()
        self.commit_index = snapshot.position
        self.applied_index = snapshot.position
        self.applied_bytes = 0
        self.persisted = self.log.last_index
        self.last_leader_contact_at = now
        self.last_leader = 0
        self.election_at = election_at
        self.heartbeat_at = now
        self.leader_since = now
        self.progress: dict[int, Progress] = {}
        self.has_received_from_leader = False
        self.voters_without_leader: set[int] = set()
        self.replaced_identities: set[int] = set()
        self.leaderless_rounds = 0

    @property
    def term(self) -> int:
        """Return the current term."""
        return self.vote.term

    @property
    def members(self) -> ReplicaSet:
        """Return the newest set of replicas in the log, committed or not."""
        return self.log.members

    def is_formed(self) -> bool:
        """Return whether this replica is, or was, a member of a set of replicas."""
        return self.log.last_index > 0

    def is_voter(self) -> bool:
        """Return whether this replica has a vote in elections."""
        return self.identity in self.members.all_voters()

    def has_quorum(self, identities: Iterable[int]) -> bool:
        """Return whether these replicas include a majority of the voters."""
        return self.members.has_majority(identities)

    def is_only_voter(self) -> bool:
        """Return whether this replica decides alone."""
        return self.members.all_voters() == {self.identity}
