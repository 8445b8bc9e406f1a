"""Replication of the log from the leader to the other replicas."""

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
from .replica_terms import HEARTBEAT_SECONDS, follow, majority_value

APPEND_ENTRIES = 64
APPEND_DOCUMENTS = 3


def append_command(replica: Replica, command: Command) -> ReplicaEffect:
    """Append an entry to the log of the leader."""
    after = replica.log.last_index
    entry = LogEntry(position=after + 1, term=replica.term, command=command)
    replica.log.extend([entry])
    return SaveEntries(after=after, entries=(entry,))


def broadcast(replica: Replica, now: float) -> list[ReplicaEffect]:
    """Send each other replica what it lacks, or a heartbeat."""
    replica.heartbeat_at = now + HEARTBEAT_SECONDS
    others = [m for m in replica.members.members if m.identity != replica.identity]
    return [_send_next(replica, member, now) for member in others]


def receive_append(
    replica: Replica, message: ReplicaMessage, append: Append, now: float, rng: Random
) -> list[ReplicaEffect]:
    """Take entries of the leader."""
    if append.term < replica.term:
        return [_answer(replica, message, False, 0, append.sent_at)]
    effects = follow(replica, append.term, message.sender, now, rng)
    replica.leader_at = max(replica.leader_at, append.sent_at)
    log = replica.log
    previous = append.previous_index
    if previous >= log.base_index and log.term_at(previous) != append.previous_term:
        agreeing = _last_agreeing(replica, previous)
        answer = _answer(replica, message, False, agreeing, append.sent_at)
        return [*effects, answer]
    new = tuple(
        dropwhile(
            lambda e: e.position <= log.base_index or log.term_at(e.position) == e.term,
            append.entries,
        )
    )
    if new:
        after = new[0].position - 1
        log.truncate(after)
        log.extend(new)
        replica.persisted = min(replica.persisted, after)
        effects.append(SaveEntries(after=after, entries=new))
    matched = previous + len(append.entries)
    effects += commit_to(replica, min(append.commit, matched))
    return [*effects, _answer(replica, message, True, matched, append.sent_at)]


def receive_snapshot(
    replica: Replica,
    message: ReplicaMessage,
    install: InstallSnapshot,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Take a snapshot of the leader."""
    if install.term < replica.term:
        return [_answer(replica, message, False, 0, install.sent_at)]
    effects = follow(replica, install.term, message.sender, now, rng)
    replica.leader_at = max(replica.leader_at, install.sent_at)
    snapshot = install.snapshot
    if snapshot.position > replica.commit:
        log = replica.log
        agrees = log.term_at(snapshot.position) == snapshot.term
        kept = log.after(snapshot.position) if agrees else []
        replica.log = ReplicaLog(
            index=snapshot.position,
            term=snapshot.term,
            members=snapshot.members,
            entries=kept,
        )
        replica.snapshot = snapshot
        replica.applied.configuration = snapshot.configuration
        replica.applied.outcomes = {o.operation_id: o for o in snapshot.outcomes}
        replica.commit = replica.applied_index = snapshot.position
        replica.applied_bytes = 0
        replica.persisted = min(replica.persisted, snapshot.position)
        effects.append(SaveSnapshot(snapshot=snapshot, entries=tuple(kept)))
    matched = replica.commit
    return [*effects, _answer(replica, message, True, matched, install.sent_at)]


def receive_append_reply(
    replica: Replica,
    message: ReplicaMessage,
    reply: AppendReply,
    now: float,
    rng: Random,
) -> list[ReplicaEffect]:
    """Take the answer of a replica."""
    if reply.term > replica.term:
        return follow(replica, reply.term, 0, now, rng)
    member = replica.members.find(message.sender)
    if replica.role is not Role.LEADER or reply.term < replica.term or member is None:
        return []
    known = _progress(replica, member, now)
    acked_at = max(known.acked_at, reply.sent_at)
    if not reply.success:
        following = max(known.matched, min(known.following - 1, reply.matched)) + 1
        replica.progress[member.identity] = known._replace(
            following=following, acked_at=acked_at
        )
        return [_send_next(replica, member, now)]
    matched = max(known.matched, reply.matched)
    replica.progress[member.identity] = known._replace(
        following=max(known.following, matched + 1),
        matched=matched,
        acked_at=acked_at,
    )
    effects = advance_commit(replica, now, rng)
    lacks_more = replica.progress[member.identity].following <= replica.log.last_index
    if replica.role is Role.LEADER and lacks_more:
        effects.append(_send_next(replica, member, now))
    return effects


def advance_commit(replica: Replica, now: float, rng: Random) -> list[ReplicaEffect]:
    """Commit what a majority holds durably.

    Only an entry of the leader's own term is committed by counting; the entries
    before it are committed with it.
    """
    if replica.role is not Role.LEADER:
        return []
    durable: dict[int, float] = {
        m.identity: _progress(replica, m, now).matched for m in replica.members.members
    }
    durable[replica.identity] = replica.persisted
    index = int(majority_value(replica, durable))
    if index <= replica.commit or replica.log.term_at(index) != replica.term:
        return []
    effects = commit_to(replica, index)
    effects += broadcast(replica, now)
    if replica.log.members_index <= index and not replica.is_voter():
        effects += follow(replica, replica.term, 0, now, rng)
    return effects


def _progress(replica: Replica, member: ReplicaMember, now: float) -> Progress:
    known = replica.progress.get(member.identity)
    if known is None:
        known = Progress(following=replica.log.last_index + 1, sent_from=now)
        replica.progress[member.identity] = known
    return known


def _send_next(replica: Replica, member: ReplicaMember, now: float) -> ReplicaEffect:
    known = _progress(replica, member, now)
    previous = known.following - 1
    previous_term = replica.log.term_at(previous)
    body: Body
    if previous_term is None:
        following = replica.snapshot.position + 1
        body = InstallSnapshot(
            term=replica.term, snapshot=replica.snapshot, sent_at=now
        )
    else:
        entries = _batch(replica.log.after(previous))
        following = known.following + len(entries)
        body = Append(
            term=replica.term,
            previous_index=previous,
            previous_term=previous_term,
            entries=entries,
            commit=replica.commit,
            sent_at=now,
        )
    replica.progress[member.identity] = known._replace(following=following)
    return Send(address=member.address, to=member.identity, body=body)


def _batch(entries: list[LogEntry]) -> tuple[LogEntry, ...]:
    """Return the first entries, so few that they fit into one frame."""
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


def _last_agreeing(replica: Replica, previous: int) -> int:
    log = replica.log
    index = min(previous, log.last_index)
    term = log.term_at(index)
    if previous > log.last_index:
        return index
    while index > replica.commit and log.term_at(index) == term:
        index -= 1
    return index


def _answer(
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
