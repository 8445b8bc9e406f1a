"""Runs a replica of the configuration log and performs its effects."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterator, Sequence
from contextlib import contextmanager, suppress
from random import Random

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..coordination.configuration import check_resend
from ..coordination.election import tick, transfer_leadership
from ..coordination.replica import (
    next_timer,
    receive,
    record_persisted,
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
from ..coordination.replica_terms import check_lease
from ..coordination.replica_voters import reconcile_members
from ..errors import ChervilstageError
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
from .log_store import LogStore, convert_disk_errors
from .replica_links import ReplicaLinks
from .replica_report import ReplicaReport

CHANGE_TIMEOUT_SECONDS = 5.0
LEADERSHIP_TRANSFER_SECONDS = 1.0
MAX_BATCH_EFFECTS = 64
FULL_DISK_RETRY_SECONDS = 0.2


class ReplicaDriver:
    """Passes events to the replica and performs its effects: writes, syncs and sends.

    Writes in one iteration of the event loop share syncs, in batches of bounded size.

    :param address: the address where this replica receives frames.
    :param size: the number of voters that the replicas maintain automatically, None
        where operators add and remove them.
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
        self.leader_known = anyio.Event()
        self.outcome_events: dict[str, anyio.Event] = {}
        self.report = ReplicaReport(replica=self.replica)
        self.is_disk_full = not store.has_initial_files
        self.has_unreported_saves = False
        self.failure: Exception | None = None
        for kind in (Kind.VOTE, Kind.APPEND, Kind.SNAPSHOT):
            frames.register(kind, self.receive)

    def enqueue(self, effects: Sequence[ReplicaEffect]) -> None:
        """Queue effects, to be performed at the end of this event loop iteration."""
        self.pending.extend(effects)
        self.wake.set()

    @contextmanager
    def stop_on_failure(self) -> Iterator[None]:
        """End the process if a decision fails without a typed error.

        The replica's state may then have changed without the effects that persist it,
        so that a later message would promise what no disk has.
        """
        try:
            yield
        except ChervilstageError:
            raise
        except Exception as error:
            self.failure = error
            self.wake.set()
            raise

    def raise_failure(self) -> None:
        """Raise the failure of a decision, so that the process ends."""
        if self.failure is not None:
            raise self.failure

    def flush(self) -> None:
        """Sync the writes of a bounded batch of effects, then send messages and reply.

        Only ``run`` calls this, so that a failed disk ends the process and is not
        reported as the failure of one request.

        :raises LogFullError: the disk is full; the batch stays pending.
        :raises LogWriteError: the disk has failed; nothing more is acknowledged.
        """
        batch = self.pending[:MAX_BATCH_EFFECTS]
        persist_effects = [effect for effect in batch if isinstance(effect, Persist)]
        if persist_effects:
            with convert_disk_errors(self.store.folder):
                self.save(persist_effects)
            self.has_unreported_saves = True
        del self.pending[:MAX_BATCH_EFFECTS]
        if self.has_unreported_saves and not self.pending:
            self.report_saves()
        for effect in batch:
            if isinstance(effect, Send):
                self.send(effect)
            elif isinstance(effect, Reply):
                self.reply(effect.outcome)
        self.report_state()

    def save(self, effects: Sequence[Persist]) -> None:
        """Write the data of effects and sync it."""
        for effect in effects:
            if isinstance(effect, SaveVote):
                self.store.save_vote(effect.vote)
            elif isinstance(effect, SaveEntries):
                self.store.save_entries(effect.after, effect.entries)
            else:
                self.store.save_snapshot(effect.snapshot, effect.entries)
        self.store.sync()

    def report_saves(self) -> None:
        """Notify the replica that its whole log is durable."""
        self.has_unreported_saves = False
        last = self.replica.log.last_index
        self.pending += record_persisted(self.replica, last, replica_clock(), self.rng)

    async def wait_for_space(self, error: LogFullError) -> None:
        """Wait until the disk can store the state of this replica again.

        Meanwhile this replica does not lead, does not vote and sends nothing, but still
        receives messages of the leader, so that it can forward calls. The full state is
        saved afterwards, since the failed save may have been written in part.

        :raises LogWriteError: the disk has failed in another way.
        """
        log_event("log_full", level=logging.ERROR, code=error.code, reason=error)
        started = replica_clock()
        self.is_disk_full = True
        while self.is_disk_full:
            self.offer_leadership()
            self.drop_unsaved_effects()
            await anyio.sleep(FULL_DISK_RETRY_SECONDS)
            self.raise_failure()
            with suppress(LogFullError):
                self.save_full_state()
                self.is_disk_full = False
        log_event("log_writable", seconds=round(replica_clock() - started, 3))

    def offer_leadership(self) -> None:
        """Ask another voter, if there is one, to take over as leader immediately.

        The message promises nothing that would have to be durable on this replica.
        """
        if self.replica.is_only_voter():
            return
        for effect in transfer_leadership(self.replica, replica_clock(), self.rng):
            if isinstance(effect, Send):
                self.send(effect)

    def drop_unsaved_effects(self) -> None:
        """Perform the pending replies and drop all other effects.

        An outcome belongs to a committed entry, which is on a majority of disks. Unsent
        messages count as lost, and ``save_full_state`` saves the newest state.
        """
        dropped, self.pending = self.pending, []
        for effect in dropped:
            if isinstance(effect, Reply):
                self.reply(effect.outcome)
        self.report_state()

    def save_full_state(self) -> None:
        """Make the newest state of the replica durable.

        Applied entries go into a snapshot, since there may be no space for the whole
        log next to the files that it replaces.

        :raises LogFullError: the disk is still full.
        :raises LogWriteError: the disk has failed in another way.
        """
        replica = self.replica
        snapshot, entries = take_snapshot(replica)
        with convert_disk_errors(self.store.folder):
            self.store.save_full_state(replica.vote, snapshot, entries)
        self.drop_unsaved_effects()
        self.report_saves()

    def send(self, effect: Send) -> None:
        """Send a message to another replica."""
        message = ReplicaMessage(
            sender=self.replica.identity,
            to=effect.to,
            origin=self.address,
            body=effect.body,
        )
        self.links.send(effect.address, message)

    def reply(self, outcome: ChangeOutcome) -> None:
        """Log an outcome and wake the calls that wait for it."""
        log_event("change_decided", **outcome._asdict())
        outcome_event = self.outcome_events.pop(outcome.operation_id, None)
        if outcome_event is not None:
            outcome_event.set()
        self.revision_changed.set()
        self.revision_changed = anyio.Event()

    def report_state(self) -> None:
        """Log what has changed and wake the calls that wait for it."""
        if self.replica.leader:
            self.leader_known.set()
        if self.report.log_role() and self.replica.role is not Role.LEADER:
            self.wake_waiting_calls()
        self.report.log_members()
        self.report.log_missing_leader(replica_clock())

    def wake_waiting_calls(self) -> None:
        """Wake the calls that wait for outcomes that this replica does not decide."""
        events, self.outcome_events = self.outcome_events, {}
        for event in events.values():
            event.set()

    async def receive(self, sender: str, body: bytes) -> bytes:
        """Handle a message of another replica.

        While the disk is full, only the leader's entries and snapshots are handled.
        """
        message = decode_replica_message(body)
        if self.is_disk_full and not isinstance(
            message.body, (Append, InstallSnapshot)
        ):
            return b""
        self.enqueue(receive(self.replica, message, replica_clock(), self.rng))
        return b""

    async def submit(self, change: Change) -> ChangeOutcome:
        """Propose a change and return its outcome; a resend returns the first outcome.

        :raises ChangeUnsettledError: the outcome was not known in time.
        :raises LeadLostError: this replica lost the lead before it had an outcome.
        """
        operation = change.operation_id
        now = replica_clock()
        if operation in self.outcome_events:
            check_lease(self.replica, now)
        else:
            with self.stop_on_failure():
                submission = submit(self.replica, change, now, time.time())
            if submission.outcome is not None:
                return submission.outcome
            self.enqueue(submission.effects)
        return check_resend(await self.wait_for_outcome(operation), change.operator)

    async def wait_for_outcome(self, operation: str) -> ChangeOutcome:
        """Return the outcome of an operation once it is known.

        :raises ChangeUnsettledError: the outcome was not known in time.
        :raises LeadLostError: this replica lost the lead in the meantime.
        """
        event = self.outcome_events.setdefault(operation, anyio.Event())
        with anyio.move_on_after(CHANGE_TIMEOUT_SECONDS):
            await event.wait()
        outcome = self.replica.applied.outcomes.get(operation)
        if outcome is not None:
            return outcome
        if event.is_set():
            raise LeadLostError(operation_id=operation)
        if self.outcome_events.get(operation) is event:
            del self.outcome_events[operation]
        raise ChangeUnsettledError(
            operation_id=operation, seconds=CHANGE_TIMEOUT_SECONDS
        )

    async def run(self) -> None:
        """Run timers and perform pending effects until cancelled."""
        if not self.store.has_initial_files:
            reason = "no space left for the files of a new log"
            error = LogFullError(folder=self.store.folder, reason=reason)
            await self.wait_for_space(error)
        while True:
            self.raise_failure()
            now = replica_clock()
            self.pending += tick(self.replica, now, self.rng)
            self.pending += reconcile_members(self.replica, self.size, now, time.time())
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
        """Start to send messages and to run the replica."""
        await self.links.start(group)
        log_event(
            "log_loaded",
            identity=f"{self.replica.identity:016x}",
            last=self.replica.log.last_index,
            term=self.replica.term,
        )
        group.start_soon(self.run)

    async def drain(self) -> None:
        """Wait for pending changes, then transfer the leadership to another replica."""
        with anyio.move_on_after(CHANGE_TIMEOUT_SECONDS):
            for event in list(self.outcome_events.values()):
                await event.wait()
        if self.replica.role is not Role.LEADER:
            return
        self.leader_known = anyio.Event()
        self.enqueue(transfer_leadership(self.replica, replica_clock(), self.rng))
        if not self.replica.is_only_voter():
            with anyio.move_on_after(LEADERSHIP_TRANSFER_SECONDS):
                await self.leader_known.wait()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="replica", start=self.start, drain=self.drain)
