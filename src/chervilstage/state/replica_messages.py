"""The messages between the replicas of the configuration log."""

from __future__ import annotations

from typing import NamedTuple

from .log_entries import LogEntry
from .replica import Snapshot
from .replica_set import ReplicaMember
from .types import Address


class VoteRequest(NamedTuple):
    """A request for a vote; a trial one changes nothing at the receiver.

    ``handed_over`` tells that no leader holds a lease: it has given it up for the
    sender, or every voter has said that it knows of none.
    """

    term: int
    last_index: int
    last_term: int
    trial: bool
    handed_over: bool = False


class VoteReply(NamedTuple):
    """The answer; ``term`` is the one asked for where the vote was granted.

    ``leaderless`` tells that the sender does not lead, that this run of it has heard
    of no leader, and that its log is not ahead of the candidate's.
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
    """A snapshot for a replica that needs entries which the leader has dropped."""

    term: int
    snapshot: Snapshot
    sent_at: float


class AppendReply(NamedTuple):
    """The answer to ``Append`` and ``InstallSnapshot``; echoes ``sent_at``.

    ``matched`` is the last entry known to agree where ``success`` is true, otherwise
    an entry up to which it may agree.
    """

    term: int
    success: bool
    matched: int
    sent_at: float


class HandOver(NamedTuple):
    """A leader that stops asks the receiver to take the lead at once."""

    term: int


Body = VoteRequest | VoteReply | Append | InstallSnapshot | AppendReply | HandOver


class ReplicaMessage(NamedTuple):
    """A message from one identity to another; ``origin`` is where to answer."""

    sender: int
    to: int
    origin: Address
    body: Body


class Hello(NamedTuple):
    """What a replica says of itself, to find the set of replicas that it belongs to.

    ``formed`` tells whether it has ever belonged to one; ``members`` is the set that
    it knows, and ``leader`` the identity of the leader that it follows, 0 if none.
    """

    name: str
    identity: int
    data_centre: str
    address: Address
    formed: bool
    members: tuple[ReplicaMember, ...] = ()
    leader: int = 0
