"""The messages between the replicas of the configuration log."""

from __future__ import annotations

from typing import NamedTuple

from .log_entries import LogEntry
from .replica import Snapshot
from .replica_set import ReplicaMember
from .types import Address


class VoteRequest(NamedTuple):
    """A request for a vote; a trial request changes no state at the receiver.

    ``handed_over`` says that no leader holds a lease: either the leader has transferred
    its leadership to the sender, or every voter has reported that it knows of none.
    """

    term: int
    last_index: int
    last_term: int
    trial: bool
    handed_over: bool = False


class VoteReply(NamedTuple):
    """The answer to a vote request; if granted, ``term`` is the requested term.

    ``leaderless`` says that the sender is not the leader, that this run of it has
    received no message from a leader, and that its log is not ahead of the candidate's.
    """

    term: int
    granted: bool
    trial: bool
    leaderless: bool = False


class Append(NamedTuple):
    """Entries after ``previous_index``, or none for a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[LogEntry, ...]
    commit: int
    sent_at: float


class InstallSnapshot(NamedTuple):
    """A snapshot for a replica that needs entries removed from the leader's log."""

    term: int
    snapshot: Snapshot
    sent_at: float


class AppendReply(NamedTuple):
    """The answer to ``Append`` and ``InstallSnapshot``; echoes ``sent_at``.

    ``matched`` is the last entry known to match if ``success`` is true, otherwise an
    entry up to which the logs may match.
    """

    term: int
    success: bool
    matched: int
    sent_at: float


class LeadershipTransfer(NamedTuple):
    """Asks the receiver to become leader at once, because the leader is stopping."""

    term: int


Body = (
    VoteRequest
    | VoteReply
    | Append
    | InstallSnapshot
    | AppendReply
    | LeadershipTransfer
)


class ReplicaMessage(NamedTuple):
    """A message between two replica identities; ``origin`` is the reply address."""

    sender: int
    to: int
    origin: Address
    body: Body


class Hello(NamedTuple):
    """The status that a replica sends to find the set of replicas it belongs to.

    ``formed`` says whether it was ever a member of one; ``members`` is the set that it
    knows, and ``leader`` the identity of the leader that it follows, 0 if none.
    """

    name: str
    identity: int
    data_centre: str
    address: Address
    formed: bool
    members: tuple[ReplicaMember, ...] = ()
    leader: int = 0
