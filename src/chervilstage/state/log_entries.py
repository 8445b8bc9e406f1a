"""The entries of the configuration log and the commands in them."""

from __future__ import annotations

from typing import NamedTuple

from .configuration import Change
from .replica_set import ReplicaSet


class ChangeCommand(NamedTuple):
    """A change that an operator requested; ``at`` is in seconds since the epoch."""

    change: Change
    at: float


class MembersCommand(NamedTuple):
    """A change of the set of replicas; ``at`` is in seconds since the epoch.

    The operation id is empty if a replica itself requested the change.
    """

    members: ReplicaSet
    operation_id: str
    operator: str
    at: float
    difference: str


Command = ChangeCommand | MembersCommand | None


class LogEntry(NamedTuple):
    """One entry of the log; the first entry of a leader's term has no command."""

    position: int
    term: int
    command: Command
