"""Log replication from the leader to the other replicas."""

from __future__ import annotations

from itertools import dropwhile
from random import Random

from ..state.log_entries import ChangeCommand, Command, LogEntry
from ..state.replica import Progress, Replica, Role
from ..state.replica_log import ReplicaLog
from ..state.replica_messages import (
    Append,
    AppendReply,
    Body,
    InstallSnapshot,
    ReplicaMessage,
)
from ..state.replica_set import ReplicaMember
from .replica_apply import commit_to
from .replica_effects import ReplicaEffect, SaveEntries, SaveSnapshot, Send
from .replica_terms import HEARTBEAT_INTERVAL_SECONDS, become_follower, majority_value

# Limits of one append message, so that it fits into one frame. A document is an
# inventory, a set of rules or a routing table.
APPEND_ENTRIES = 64
APPEND_DOCUMENTS = 3


def append_command(replica: Replica, command: Command) -> ReplicaEffect:
    """Append an entry in the current term to the log of the leader."""
    after = replica.log.last_index
    entry = LogEntry(position=after + 1, term=replica.term, command=command)
    replica.log.extend([entry])
    return SaveEntries(after=after, entries=(entry,))


def broadcast(replica: Replica, now: float) -> list[ReplicaEffect]:
    """Send the missing entries or a heartbeat to each other replica."""
    replica.heartbeat_at = now + HEARTBEAT_INTERVAL_SECONDS
    others = [m for m in replica.members.members if m.identity != replica.identity]
    return [_send_next(replica, member, now) for member in others]


def receive_append(
    replica: Replica, message: ReplicaMessage, append: Append, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Handle an append request from a leader."""
    if append.term < replica.term:
        return [_append_reply(replica, message, False, 0, append.sent_at)]
    effects = become_follower(replica, append.term, message.sender, now, rng)
    replica.leader_at = max(replica.leader_at, append.sent_at)
    log = replica.log
    previous = append.previous_index
    if previous >= log.base_index and log.term_at(previous) != append.previous_term:
        last_match = _last_possible_match(replica, previous)
        reply = _append_reply(replica, message, False, last_match, append.sent_at)
        return [*effects, reply]
    missing = tuple(
        dropwhile(
            lambda e: e.position <= log.base_index or log.term_at(e.position) == e.term,
            append.entries,
        )
    )
    if missing:
        after = missing[0].position - 1
        log.truncate(after)
        log.extend(missing)
        replica.persisted = min(replica.persisted, after)
        effects.append(SaveEntries(after=after, entries=missing))
    matched = previous + len(append.entries)
    effects += commit_to(replica, min(append.commit, matched))
    return [*effects, _append_reply(replica, message, True, matched, append.sent_at)]


def receive_snapshot(
    replica: Replica,
    message: ReplicaMessage,
    install: InstallSnapshot,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Replace the log by a snapshot from a leader, unless it is already committed."""
    if install.term < replica.term:
        return [_append_reply(replica, message, False, 0, install.sent_at)]
    effects = become_follower(replica, install.term, message.sender, now, rng)
    replica.leader_at = max(replica.leader_at, install.sent_at)
    snapshot = install.snapshot
    if snapshot.position > replica.commit_index:
        log = replica.log
        matches = log.term_at(snapshot.position) == snapshot.term
        retained = log.entries_after(snapshot.position) if matches else []
        replica.log = ReplicaLog(
            index=snapshot.position,
            term=snapshot.term,
            members=snapshot.members,
            entries=retained,
        )
        replica.snapshot = snapshot
        replica.applied.configuration = snapshot.configuration
        replica.applied.outcomes = {o.operation_id: o for o in snapshot.outcomes}
        replica.commit_index = replica.applied_index = snapshot.position
        replica.applied_bytes = 0
        replica.persisted = min(replica.persisted, snapshot.position)
        effects.append(SaveSnapshot(snapshot=snapshot, entries=tuple(retained)))
    matched = replica.commit_index
    return [*effects, _append_reply(replica, message, True, matched, install.sent_at)]


def receive_append_reply(
    replica: Replica,
    message: ReplicaMessage,
    reply: AppendReply,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Record the progress of a replica and send the next entries that it lacks."""
    if reply.term > replica.term:
        return become_follower(replica, reply.term, 0, now, rng)
    member = replica.members.find_by_identity(message.sender)
    if replica.role is not Role.LEADER or reply.term < replica.term or member is None:
        return []
    progress = _progress(replica, member, now)
    acked_at = max(progress.acked_at, reply.sent_at)
    if not reply.success:
        next_index = (
            max(progress.match_index, min(progress.next_index - 1, reply.matched)) + 1
        )
        replica.progress[member.identity] = progress._replace(
            next_index=next_index, acked_at=acked_at
        )
        return [_send_next(replica, member, now)]
    matched = max(progress.match_index, reply.matched)
    replica.progress[member.identity] = progress._replace(
        next_index=max(progress.next_index, matched + 1),
        match_index=matched,
        acked_at=acked_at,
    )
    effects = advance_commit(replica, now, rng)
    is_behind = replica.progress[member.identity].next_index <= replica.log.last_index
    if replica.role is Role.LEADER and is_behind:
        effects.append(_send_next(replica, member, now))
    return effects


def advance_commit(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Commit the entries that are durable on a majority of the voters.

    Only an entry of the leader's own term is committed by counting replicas; the
    entries before it are committed with it.
    """
    if replica.role is not Role.LEADER:
        return []
    durable: dict[int, float] = {
        m.identity: _progress(replica, m, now).match_index
        for m in replica.members.members
    }
    durable[replica.identity] = replica.persisted
    index = int(majority_value(replica, durable))
    if index <= replica.commit_index or replica.log.term_at(index) != replica.term:
        return []
    effects = commit_to(replica, index)
    effects += broadcast(replica, now)
    if replica.log.members_index <= index and not replica.is_voter():
        effects += become_follower(replica, replica.term, 0, now, rng)
    return effects


def _progress(replica: Replica, member: ReplicaMember, now: float) -> Progress:
    progress = replica.progress.get(member.identity)
    if progress is None:
        progress = Progress(next_index=replica.log.last_index + 1, contact_at=now)
        replica.progress[member.identity] = progress
    return progress


def _send_next(replica: Replica, member: ReplicaMember, now: float) -> ReplicaEffect:
    progress = _progress(replica, member, now)
    previous = progress.next_index - 1
    previous_term = replica.log.term_at(previous)
    body: Body
    if previous_term is None:
        next_index = replica.snapshot.position + 1
        body = InstallSnapshot(
            term=replica.term, snapshot=replica.snapshot, sent_at=now
        )
    else:
        entries = _batch(replica.log.entries_after(previous))
        next_index = progress.next_index + len(entries)
        body = Append(
            term=replica.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=replica.commit_index,
            sent_at=now,
        )
    replica.progress[member.identity] = progress._replace(next_index=next_index)
    return Send(address=member.address, to=member.identity, body=body)


def _batch(entries: list[LogEntry]) -> tuple[LogEntry, ...]:
    """Return the first entries, limited to what fits into one frame."""
    documents = 0
    for count, entry in enumerate(entries[:APPEND_ENTRIES]):
        command = entry.command
        if isinstance(command, ChangeCommand):
            documents += command.change.inventory is not None
            documents += command.change.rules is not None
            documents += command.change.routing is not None
        if documents > APPEND_DOCUMENTS:
            return tuple(entries[:count])
    return tuple(entries[:APPEND_ENTRIES])


def _last_possible_match(replica: Replica, previous: int) -> int:
    """Return the highest index up to which the log may match that of the leader."""
    log = replica.log
    index = min(previous, log.last_index)
    term = log.term_at(index)
    if previous > log.last_index:
        return index
    while index > replica.commit_index and log.term_at(index) == term:
        index -= 1
    return index


def _append_reply(
    replica: Replica,
    message: ReplicaMessage,
    success: bool,
    matched: int,
    sent_at: float,
) -> ReplicaEffect:
    reply = AppendReply(
        term=replica.term, success=success, matched=matched, sent_at=sent_at
    )
    return Send(address=message.origin, to=message.sender, body=reply)
