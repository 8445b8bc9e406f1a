"""Application of committed entries, and snapshots of the resulting state."""

from __future__ import annotations

from ..state.configuration import ChangeOutcome, RoutingDocument
from ..state.log_entries import ChangeCommand, LogEntry, MembersCommand
from ..state.replica import Replica, Snapshot
from .configuration import apply_change
from .log_bytes import configuration_bytes, entry_bytes
from .replica_effects import ReplicaEffect, Reply, SaveSnapshot

SNAPSHOT_ENTRIES = 512
# Large changes would fill disk and memory long before SNAPSHOT_ENTRIES is reached.
SNAPSHOT_BYTES = 1024 * 1024
# A snapshot holds one configuration; the log may grow by this many before the next
# snapshot, so that a large configuration does not cause a snapshot at every change.
SNAPSHOT_CONFIGURATIONS = 4
# Maximum number of applied entries that stay in memory after a snapshot.
KEPT_ENTRIES = 128


def commit_to(replica: Replica, index: int) -> list[ReplicaEffect]:
    """Commit and apply the entries up to an index."""
    effects: list[ReplicaEffect] = []
    replica.commit_index = max(replica.commit_index, index)
    first = replica.applied_index
    for entry in replica.log.entries_after(first)[: replica.commit_index - first]:
        outcome = _apply(replica, entry)
        replica.applied_index = entry.position
        replica.applied_bytes += entry_bytes(entry)
        if outcome is not None:
            effects.append(Reply(outcome=outcome))
    if _is_snapshot_due(replica):
        effects.append(take_snapshot(replica))
    return effects


def take_snapshot(replica: Replica) -> SaveSnapshot:
    """Replace the applied entries by a snapshot.

    The latest entries stay in memory, so that a replica that lags a little needs no
    snapshot. Their size is limited to what a log may reach before a snapshot is due.
    """
    index = replica.applied_index
    replica.snapshot = Snapshot(
        position=index,
        term=replica.log.term_at(index) or 0,
        members=replica.log.members_at(index),
        configuration=replica.applied.configuration,
        outcomes=tuple(replica.applied.outcomes.values()),
    )
    replica.applied_bytes = 0
    replica.log.compact(index - _retained_entry_count(replica, index))
    return SaveSnapshot(
        snapshot=replica.snapshot, entries=tuple(replica.log.entries_after(index))
    )


def _is_snapshot_due(replica: Replica) -> bool:
    if replica.applied_index - replica.snapshot.position >= SNAPSHOT_ENTRIES:
        return True
    if replica.applied_bytes < SNAPSHOT_BYTES:
        return False
    return replica.applied_bytes >= _snapshot_threshold_bytes(replica)


def _retained_entry_count(replica: Replica, index: int) -> int:
    """Return how many of the entries up to an index stay in memory."""
    first = max(replica.log.base_index, index - KEPT_ENTRIES)
    entries = replica.log.entries_after(first)[: index - first]
    remaining_bytes = _snapshot_threshold_bytes(replica)
    for count, entry in enumerate(reversed(entries)):
        remaining_bytes -= entry_bytes(entry)
        if remaining_bytes < 0:
            return count
    return len(entries)


def _snapshot_threshold_bytes(replica: Replica) -> int:
    """Return the size in bytes at which a snapshot of the log is due."""
    size = configuration_bytes(replica.applied.configuration)
    return max(SNAPSHOT_BYTES, SNAPSHOT_CONFIGURATIONS * size)


def newest_routing(replica: Replica) -> RoutingDocument | None:
    """Return the newest routing table in the log, committed or not."""
    newest = replica.applied.configuration.routing
    for entry in reversed(replica.log.entries_after(replica.applied_index)):
        command = entry.command
        if isinstance(command, ChangeCommand) and command.change.routing is not None:
            proposed = command.change.routing
            if newest is None or proposed.version > newest.version:
                newest = proposed
    return newest


def _apply(replica: Replica, entry: LogEntry) -> ChangeOutcome | None:
    command = entry.command
    if isinstance(command, ChangeCommand):
        return apply_change(replica.applied, command.change, command.at)
    if isinstance(command, MembersCommand):
        return _record_members(replica, entry.position, command)
    return None


def _record_members(
    replica: Replica, index: int, command: MembersCommand
) -> ChangeOutcome:
    revision = replica.applied.configuration.revision
    outcome = ChangeOutcome(
        operation_id=command.operation_id or f"members-{index}",
        operator=command.operator,
        revision_before=revision,
        revision_after=revision,
        code="",
        message="accepted",
        at=command.at,
        difference=command.difference,
    )
    replica.applied.record_outcome(outcome)
    return outcome
