"""Effects that the decisions of a replica request from the transport.

The transport executes them in order. It sends messages and replies only after the
preceding effects that persist data are durable.
"""

from __future__ import annotations

from typing import NamedTuple

from ..state.configuration import ChangeOutcome
from ..state.log_entries import LogEntry
from ..state.replica import Snapshot, Vote
from ..state.replica_messages import Body
from ..state.types import Address


class SaveVote(NamedTuple):
    """Persist the term and the vote."""

    vote: Vote


class SaveEntries(NamedTuple):
    """Persist entries in place of all entries that follow the index ``after``."""

    after: int
    entries: tuple[LogEntry, ...]


class SaveSnapshot(NamedTuple):
    """Persist a snapshot and the entries that follow it."""

    snapshot: Snapshot
    entries: tuple[LogEntry, ...]


class Send(NamedTuple):
    """Send a message to a replica, without a guarantee of delivery."""

    address: Address
    to: int
    body: Body


class Reply(NamedTuple):
    """Return the outcome of a change to the caller that waits for it."""

    outcome: ChangeOutcome


Persist = SaveVote | SaveEntries | SaveSnapshot
ReplicaEffect = Persist | Send | Reply
