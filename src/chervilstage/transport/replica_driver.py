"""Carries out what a replica of the configuration log decides."""

from __future__ import annotations

import logging
import time
from collections.abc import Sequence
from contextlib import suppress
from random import Random

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..coordination.configuration import check_resend
from ..coordination.election import hand_over, tick
from ..coordination.replica import (
    next_timer,
    persisted,
    receive,
    start_replica,
    submit,
)
from ..coordination.replica_apply import take_snapshot
from ..coordination.replica_effects import (
    Persist,
    ReplicaEffect,
    Reply,
    SaveEntries,
    SaveVote,
    Send,
)
from ..coordination.replica_members import settle_members
from ..coordination.replica_terms import check_lease
from ..errors.configuration import (
    ChangeUnsettledError,
    LeadLostError,
    LogFullError,
)
from ..protocol.consensus_messages import decode_replica_message
from ..protocol.kinds import Kind
from ..state.configuration import Change, ChangeOutcome
from ..state.replica import Role
from ..state.replica_messages import Append, InstallSnapshot, ReplicaMessage
from ..state.types import Address
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameServer
from .log_store import LogStore, disk_errors
from .replica_links import ReplicaLinks

CHANGE_SECONDS = 5.0
HAND_OVER_SECONDS = 1.0
BATCH_EFFECTS = 64
FULL_RETRY_SECONDS = 0.2


class ReplicaDriver:
    """Feeds events to the replica, writes, syncs and sends.

    All that is decided in one turn of the loop is synced at once.

    :param address: where this replica takes frames.
    :param size: the number of voters that replicas keep up by themselves, None where
        operators add and remove them.
    :param started_at: when this process started, in seconds of the replica clock.
    """

    def __init__(
        self,
        *,
        address: Address,
        store: LogStore,
        links: ReplicaLinks,
        frames: FrameServer,
        size: int | None = None,
        started_at: float | None = None,
    ) -> None:
        self.address = address
        self.size = size
        self.store = store
        self.links = links
        self.rng = Random()
        started = replica_clock() if started_at is None else started_at
        self.replica = start_replica(store.stored, started, self.rng)
        self.pending: list[ReplicaEffect] = []
        self.wake = anyio.Event()
        self.revision_changed = anyio.Event()
        self.leader_heard = anyio.Event()
        self.waiting: dict[str, anyio.Event] = {}
        self.shown = (self.replica.role, self.replica.term)
        self.is_full = not store.is_saved
        self.has_unreported_saves = False
        for kind in (Kind.VOTE, Kind.APPEND, Kind.SNAPSHOT):
            frames.serve(kind, self.receive)

    def take(self, effects: Sequence[ReplicaEffect]) -> None:
        """Carry out effects at the end of this turn of the loop."""
        self.pending.extend(effects)
        self.wake.set()

    def flush(self) -> None:
        """Make durable what has to be in a bounded batch, then send and reply.

        Only ``run`` calls this, so that a disk that fails ends the process and is not
        reported as the failure of one request.

        :raises LogFullError: the disk is full; the batch stays pending.
        :raises LogWriteError: the disk has failed; nothing is acknowledged any more.
        """
        batch = self.pending[:BATCH_EFFECTS]
        saved = [effect for effect in batch if isinstance(effect, Persist)]
        if saved:
            with disk_errors(self.store.folder):
                self.save(saved)
            self.has_unreported_saves = True
        del self.pending[:BATCH_EFFECTS]
        if self.has_unreported_saves and not self.pending:
            self.report_saves()
        for effect in batch:
            if isinstance(effect, Send):
                self.send(effect)
            elif isinstance(effect, Reply):
                self.reply(effect.outcome)
        self.show()

    def save(self, effects: Sequence[Persist]) -> None:
        """Write and sync effects."""
        for effect in effects:
            if isinstance(effect, SaveVote):
                self.store.save_vote(effect.vote)
            elif isinstance(effect, SaveEntries):
                self.store.save_entries(effect.after, effect.entries)
            else:
                self.store.save_snapshot(effect.snapshot, effect.entries)
        self.store.sync()

    def report_saves(self) -> None:
        """Tell the replica that its whole log is durable."""
        self.has_unreported_saves = False
        last = self.replica.log.last_index
        self.pending += persisted(self.replica, last, replica_clock(), self.rng)

    async def wait_for_space(self, error: LogFullError) -> None:
        """Wait until the disk takes the state of this replica again.

        Meanwhile this replica does not lead, votes for nobody and sends nothing, but it
        hears the leader, so that it can hand calls over. What it holds is saved anew
        and in whole, since the disk may have taken a part of what failed.

        :raises LogWriteError: the disk has failed in another way.
        """
        log_event("log_full", level=logging.ERROR, code=error.code, reason=error)
        started = replica_clock()
        self.is_full = True
        while self.is_full:
            self.give_lead_away()
            self.drop_unsaved()
            await anyio.sleep(FULL_RETRY_SECONDS)
            with suppress(LogFullError):
                self.save_anew()
                self.is_full = False
        log_event("log_writable", seconds=round(replica_clock() - started, 3))

    def give_lead_away(self) -> None:
        """Have another voter take the lead at once, if there is one.

        The message promises nothing that would have to be durable here.
        """
        if len(self.replica.members.voters()) < 2:
            return
        for effect in hand_over(self.replica, replica_clock(), self.rng):
            if isinstance(effect, Send):
                self.send(effect)

    def drop_unsaved(self) -> None:
        """Reply to who waits and drop all other effects.

        An outcome is that of a committed entry, which a majority of disks holds. What
        is not sent counts as lost, and ``save_anew`` saves the newest state.
        """
        dropped, self.pending = self.pending, []
        for effect in dropped:
            if isinstance(effect, Reply):
                self.reply(effect.outcome)
        self.show()

    def save_anew(self) -> None:
        """Make the newest state of the replica durable.

        What is applied goes into a snapshot, since there may be no room for the whole
        log beside the files that it replaces.

        :raises LogFullError: the disk is still full.
        :raises LogWriteError: the disk has failed in another way.
        """
        replica = self.replica
        snapshot, entries = take_snapshot(replica)
        with disk_errors(self.store.folder):
            self.store.save_anew(replica.vote, snapshot, entries)
        self.drop_unsaved()
        self.report_saves()

    def send(self, effect: Send) -> None:
        """Send a message."""
        message = ReplicaMessage(
            sender=self.replica.identity,
            to=effect.to,
            origin=self.address,
            body=effect.body,
        )
        self.links.send(effect.address, message)

    def reply(self, outcome: ChangeOutcome) -> None:
        """Log an outcome and wake who waits for it."""
        log_event("change_decided", **outcome._asdict())
        waiting = self.waiting.pop(outcome.operation_id, None)
        if waiting is not None:
            waiting.set()
        self.revision_changed.set()
        self.revision_changed = anyio.Event()

    def show(self) -> None:
        """Log a change of the role, and tell who waits that there is a leader."""
        if self.replica.leader:
            self.leader_heard.set()
        shown = (self.replica.role, self.replica.term)
        if shown != self.shown:
            self.shown = shown
            role, term = shown
            log_event("replica_role", role=role.value, term=term)
            if role is not Role.LEADER:
                self.end_waits()

    def end_waits(self) -> None:
        """Wake who waits for an outcome that this replica no longer decides."""
        waiting, self.waiting = self.waiting, {}
        for event in waiting.values():
            event.set()

    async def receive(self, sender: str, body: bytes) -> bytes:
        """Take a message of another replica."""
        message = decode_replica_message(body)
        if self.is_full and not isinstance(message.body, (Append, InstallSnapshot)):
            return b""
        self.take(receive(self.replica, message, replica_clock(), self.rng))
        return b""

    async def submit(self, change: Change) -> ChangeOutcome:
        """Propose a change and wait for its outcome; a resend gets the first one.

        :raises ChangeUnsettledError: the outcome is not known in time.
        :raises LeadLostError: another replica decides it by now.
        """
        operation = change.operation_id
        now = replica_clock()
        if operation in self.waiting:
            check_lease(self.replica, now)
        else:
            submission = submit(self.replica, change, now, time.time())
            if submission.outcome is not None:
                return submission.outcome
            self.take(submission.effects)
        return check_resend(await self.wait_for(operation), change.operator)

    async def wait_for(self, operation: str) -> ChangeOutcome:
        """Wait until an operation has an outcome, or this replica leads no more."""
        event = self.waiting.setdefault(operation, anyio.Event())
        with anyio.move_on_after(CHANGE_SECONDS):
            await event.wait()
        outcome = self.replica.applied.outcomes.get(operation)
        if outcome is not None:
            return outcome
        if event.is_set():
            raise LeadLostError(operation_id=operation)
        if self.waiting.get(operation) is event:
            del self.waiting[operation]
        raise ChangeUnsettledError(operation_id=operation, seconds=CHANGE_SECONDS)

    async def run(self) -> None:
        """Do what is due until cancelled."""
        if not self.store.is_saved:
            reason = "the disk has no room for a new log"
            error = LogFullError(folder=self.store.folder, reason=reason)
            await self.wait_for_space(error)
        while True:
            now = replica_clock()
            self.pending += tick(self.replica, now, self.rng)
            self.pending += settle_members(self.replica, self.size, now, time.time())
            try:
                self.flush()
            except LogFullError as error:
                await self.wait_for_space(error)
            if self.pending:
                await anyio.lowlevel.checkpoint()
                continue
            with anyio.move_on_after(max(0.0, next_timer(self.replica) - now)):
                await self.wake.wait()
            self.wake = anyio.Event()

    async def start(self, group: TaskGroup) -> None:
        """Begin to take part."""
        await self.links.start(group)
        log_event(
            "log_loaded",
            identity=f"{self.replica.identity:016x}",
            last=self.replica.log.last_index,
            term=self.replica.term,
        )
        group.start_soon(self.run)

    async def drain(self) -> None:
        """Let changes under way finish, then hand the lead over to another replica."""
        with anyio.move_on_after(CHANGE_SECONDS):
            for event in list(self.waiting.values()):
                await event.wait()
        if self.replica.role is not Role.LEADER:
            return
        self.leader_heard = anyio.Event()
        self.take(hand_over(self.replica, replica_clock(), self.rng))
        if len(self.replica.members.voters()) > 1:
            with anyio.move_on_after(HAND_OVER_SECONDS):
                await self.leader_heard.wait()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="replica", start=self.start, drain=self.drain)
