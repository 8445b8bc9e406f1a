"""The effects of decisions of a replica.

The transport carries them out in order. It sends and replies only after what came
before has been made durable.
"""

from __future__ import annotations

from typing import NamedTuple

from ..state.configuration import ChangeOutcome
from ..state.log_entries import LogEntry
from ..state.replica import Snapshot, Vote
from ..state.replica_messages import Body
from ..state.types import Address


class SaveVote(NamedTuple):
    """Make the term and the vote durable."""

    vote: Vote


class SaveEntries(NamedTuple):
    """Make entries durable in place of all that follow the entry ``after``."""

    after: int
    entries: tuple[LogEntry, ...]


class SaveSnapshot(NamedTuple):
    """Make a snapshot durable, with the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Send(NamedTuple):
    """Send a message to a replica; it may get lost."""

    address: Address
    to: int
    body: Body


class Reply(NamedTuple):
    """Tell who waits for a change what became of it."""

    outcome: ChangeOutcome


Persist = SaveVote | SaveEntries | SaveSnapshot
ReplicaEffect = Persist | Send | Reply
