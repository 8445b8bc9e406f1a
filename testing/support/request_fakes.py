"""Fake entries, callers, a network and an upstream on a simulated clock."""

from __future__ import annotations

from collections import Counter, defaultdict
from random import Random
from typing import Any, NamedTuple

from chervilstage.coordination import (
    epoch_agreement as agreement,
    record_ownership as ownership,
)
from chervilstage.state.epoch import EpochMember, EpochSettled, EpochState
from chervilstage.state.outcomes import Answered, NotRun, Outcome, Unknown
from chervilstage.state.request_records import (
    Answer,
    RecordTable,
    RequestKey,
    RequestRecord,
)

LEASE_SECONDS = 1.0
DEADLINE_SECONDS = 2.0
# The wall-clock time at the start of the simulated clock.
START_TIME_MS = 1_700_000_000_000


class CallerAttempt(NamedTuple):
    """One attempt of a caller; ``relayed`` if the called entry sent it to the owner."""

    key: RequestKey
    attempt: int
    entry: str
    expires_at: float
    relayed: bool = False


class QueuedMessage(NamedTuple):
    """A message in transit between two runs of entries."""

    due: float
    sender: EpochMember
    to: EpochMember
    message: Any


class CopyAnswer(NamedTuple):
    """The answer of the second holder of a record to a copy."""

    record: RequestRecord
    is_accepted: bool


class FakeEntry:
    """The state of one run of an entry, with the data that its transport keeps."""

    def __init__(self, *, own: EpochMember, names: list[str]) -> None:
        self.state = EpochState(own=own, configured=names)
        self.table = RecordTable(limit=1000, retention_ms=600_000)
        self.frozen = False
        self.pending_copies: dict[str, RequestRecord] = {}
        self.waiting_attempts: dict[str, list[CallerAttempt]] = defaultdict(list)
        self.heartbeat_times: dict[EpochMember, float] = {}
        self.epoch_reports: dict[EpochMember, tuple[float, int]] = {}
        self.acknowledged_pushes: set[tuple[int, str]] = set()


class RequestGroup:
    """The entries, their network, the callers and the upstream."""

    def __init__(self, *, layout: dict[str, str], seed: int) -> None:
        self.now = 0.0
        self.rng = Random(seed)
        self.layout = layout
        self.incarnations: Counter[str] = Counter()
        self.entries: dict[str, FakeEntry] = {}
        self.cut_links: set[frozenset[str]] = set()
        self.queued_messages: list[QueuedMessage] = []
        self.run_counts: Counter[str] = Counter()
        self.sent_requests: list[tuple[FakeEntry, RequestRecord]] = []
        self.current_attempts: dict[str, CallerAttempt] = {}
        self.outcomes: dict[str, list[tuple[int, Outcome]]] = defaultdict(list)
        for name in layout:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a run of an entry with empty state."""
        self.incarnations[name] += 1
        own = EpochMember(
            name=name,
            incarnation=self.incarnations[name],
            data_centre=self.layout[name],
        )
        self.entries[name] = FakeEntry(own=own, names=list(self.layout))

    def now_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return START_TIME_MS + int(self.now * 1000)

    def send(self, entry: FakeEntry, to: EpochMember, message: Any) -> None:
        """Send a message over the network, which may lose or delay it."""
        if self.rng.random() < 0.98:
            due = self.now + self.rng.choice([0.001] * 24 + [0.3])
            self.queued_messages.append(
                QueuedMessage(due=due, sender=entry.state.own, to=to, message=message)
            )

    def entry_of(self, member: EpochMember) -> FakeEntry | None:
        """Return the entry of a member, if that run still exists."""
        entry = self.entries.get(member.name)
        return entry if entry and entry.state.own == member else None

    def apply(self, entry: FakeEntry, effects: list[Any]) -> None:
        """Send the messages of an epoch decision."""
        for effect in effects:
            if isinstance(effect, agreement.SendEpoch):
                target = self.entries.get(effect.to)
                if target:
                    self.send(entry, target.state.own, effect.message)

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps of a heartbeat interval."""
        end = self.now + seconds
        while self.now < end:
            self.now += 0.25
            self.deliver()
            self.exchange_heartbeats()
            for entry in list(self.entries.values()):
                if not entry.frozen:
                    self.tick(entry)
            self.deliver()

    def exchange_heartbeats(self) -> None:
        """Exchange heartbeats between all entries that can reach each other."""
        running = [e for e in self.entries.values() if not e.frozen]
        for a in running:
            for b in running:
                if a is not b and not self.is_cut(a.state.own, b.state.own):
                    a.heartbeat_times[b.state.own] = self.now
                    a.epoch_reports[b.state.own] = (
                        self.now,
                        b.state.highest_agreed_number(),
                    )

    def is_cut(self, a: EpochMember, b: EpochMember) -> bool:
        """Return whether messages between two entries are dropped."""
        return frozenset((a.name, b.name)) in self.cut_links

    def tick(self, entry: FakeEntry) -> None:
        """Propose and follow epochs, push records and report the settled epoch."""
        state = entry.state
        live = [
            m
            for m, at in entry.heartbeat_times.items()
            if self.now - at < LEASE_SECONDS
        ]
        live.append(state.own)
        wanted = agreement.next_members(state, live, live)
        if wanted and self.rng.random() < 0.5:
            self.apply(
                entry, agreement.propose_epoch(state, wanted, self.now_ms(), self.now)
            )
        reported = {
            m.name: entry.epoch_reports[m][1] for m in live if m in entry.epoch_reports
        }
        self.apply(entry, agreement.synchronize_epochs(state, reported))
        number = state.current.number
        for member in state.current.members:
            if (
                member != state.own
                and (number, member.name) not in entry.acknowledged_pushes
            ):
                records = tuple(
                    ownership.unacknowledged_records(state, entry.table, member)
                )
                push = ownership.RecordPush(epoch=number, records=records, last=True)
                self.send(entry, member, push)
        if state.is_settled():
            for member in state.current.members:
                self.send(entry, member, EpochSettled(number=state.settled))

    def deliver(self) -> None:
        """Deliver due messages in random order; those to frozen entries stay queued."""
        for _ in range(40):
            due = [
                p
                for p in self.queued_messages
                if p.due <= self.now + 0.01 and not self.is_receiver_frozen(p)
            ]
            if not due:
                return
            self.rng.shuffle(due)
            for queued in due:
                self.queued_messages.remove(queued)
                entry = self.entry_of(queued.to)
                if entry and not self.is_cut(queued.sender, queued.to):
                    self.receive(entry, queued.sender, queued.message)

    def is_receiver_frozen(self, queued: QueuedMessage) -> bool:
        """Return whether the receiver of a message is frozen."""
        entry = self.entry_of(queued.to)
        return bool(entry and entry.frozen)

    def receive(self, entry: FakeEntry, sender: EpochMember, message: Any) -> None:
        """Deliver a message to an entry."""
        state, table = entry.state, entry.table
        if isinstance(message, CallerAttempt):
            self.process_attempt(entry, message)
        elif isinstance(message, ownership.RecordCopy):
            is_accepted = ownership.receive_copy(state, table, message)
            answer = CopyAnswer(record=message.record, is_accepted=is_accepted)
            self.send(entry, sender, answer)
        elif isinstance(message, CopyAnswer):
            self.receive_copy_answer(entry, sender, message)
        elif isinstance(message, ownership.RecordPush):
            if ownership.receive_push(state, table, sender.name, message):
                self.send(entry, sender, ("pushed", message))
        elif isinstance(message, tuple) and message[0] == "pushed":
            entry.acknowledged_pushes.add((message[1].epoch, sender.name))
            for record in message[1].records:
                ownership.record_acknowledgement(table, record, sender)
        elif isinstance(message, tuple) and message[0] == "outcome":
            self.reply(message[1], message[2])
        else:
            effects = agreement.receive_epoch_message(
                state, sender.name, message, self.now
            )
            self.apply(entry, effects)

    def send_attempt(self, key: RequestKey, attempt: int, entry: str) -> None:
        """Send an attempt of a caller to an entry."""
        expires = self.now + DEADLINE_SECONDS
        caller_attempt = CallerAttempt(
            key=key, attempt=attempt, entry=entry, expires_at=expires
        )
        self.current_attempts[key.text] = caller_attempt
        if entry in self.entries and not self.entries[entry].frozen:
            self.process_attempt(self.entries[entry], caller_attempt)

    def process_attempt(self, entry: FakeEntry, caller_attempt: CallerAttempt) -> None:
        """Process an attempt at an entry."""
        if self.now >= caller_attempt.expires_at:
            return
        decision = ownership.begin_request(
            entry.state,
            entry.table,
            caller_attempt.key,
            b"",
            caller_attempt.attempt,
            entry.waiting_attempts.keys(),
            self.now_ms(),
            self.now,
        )
        if isinstance(decision, ownership.Finish | ownership.Wait):
            self.answer(entry, caller_attempt, decision.outcome)
        elif isinstance(decision, ownership.Relay):
            if caller_attempt.relayed:
                outcome = ownership.unsent_outcome(
                    caller_attempt.attempt, "not the owner"
                )
                self.answer(entry, caller_attempt, outcome)
            else:
                self.send(entry, decision.owner, caller_attempt._replace(relayed=True))
        elif isinstance(decision, ownership.Join):
            entry.waiting_attempts[caller_attempt.key.text].append(caller_attempt)
        else:
            entry.waiting_attempts[caller_attempt.key.text].append(caller_attempt)
            entry.pending_copies[caller_attempt.key.text] = decision.record
            copy = ownership.RecordCopy(
                epoch=entry.state.current.number, record=decision.record
            )
            assert decision.second
            self.send(entry, decision.second, copy)

    def receive_copy_answer(
        self, entry: FakeEntry, sender: EpochMember, answer: CopyAnswer
    ) -> None:
        """Handle the answer to a copy, and send the request upstream if accepted."""
        if answer.is_accepted:
            ownership.record_acknowledgement(entry.table, answer.record, sender)
        if entry.pending_copies.get(answer.record.key.text) == answer.record:
            self.finish_copy(entry, answer.record, answer.is_accepted)

    def finish_copy(
        self, entry: FakeEntry, record: RequestRecord, is_accepted: bool
    ) -> None:
        """Send a copied request upstream, or report it as not run."""
        del entry.pending_copies[record.key.text]
        current_members = [
            member
            for member, (at, epoch) in entry.epoch_reports.items()
            if self.now - at < LEASE_SECONDS and epoch == entry.state.current.number
        ]
        expired = all(
            self.now >= a.expires_at for a in entry.waiting_attempts[record.key.text]
        )
        if not expired and ownership.can_send(
            entry.state, record, is_accepted, current_members
        ):
            self.sent_requests.append((entry, record))
            return
        ownership.reopen_record(entry.table, record)
        self.finish(entry, record, NotRun(reason="not copied"))

    def reject_pending_copies(self, entry: FakeEntry) -> None:
        """Treat unanswered copies as rejected."""
        for record in list(entry.pending_copies.values()):
            self.finish_copy(entry, record, False)

    def handle_oldest_request(self, reaction: str) -> None:
        """Let the upstream handle the oldest request.

        :param reaction: "refuse" or "lose answer"; any other word
            makes it run and answer the request.
        """
        if not self.sent_requests:
            return
        entry, record = self.sent_requests.pop(0)
        key_text = record.key.text
        running = self.entries.get(entry.state.own.name) is entry
        if reaction == "refuse":
            if running:
                ownership.reopen_record(entry.table, record)
                self.finish(entry, record, NotRun(reason="refused"))
            return
        self.run_counts[key_text] += 1
        if not running:
            return
        if reaction == "lose answer":
            self.finish(entry, record, Unknown(reason="lost"))
            return
        body = f"{key_text} run {self.run_counts[key_text]}".encode()
        answer = Answer(status=200, headers=(), body=body)
        finished_record = ownership.finish_record(entry.table, record, answer)
        self.finish(entry, finished_record, Answered(answer=answer))

    def finish(self, entry: FakeEntry, record: RequestRecord, outcome: Outcome) -> None:
        """Copy the final state of a record and answer the waiting attempts."""
        record_holders = ownership.find_holders(entry.state.current, record.key)
        for member in record_holders or ():
            if member and member != entry.state.own:
                copy = ownership.RecordCopy(
                    epoch=entry.state.current.number, record=record
                )
                self.send(entry, member, copy)
        for caller_attempt in entry.waiting_attempts.pop(record.key.text, []):
            self.answer(entry, caller_attempt, outcome)

    def answer(
        self, entry: FakeEntry, caller_attempt: CallerAttempt, outcome: Outcome
    ) -> None:
        """Send an outcome to the caller through the entry that it called."""
        if caller_attempt.entry == entry.state.own.name:
            self.reply(caller_attempt, outcome)
        elif caller_attempt.entry in self.entries:
            to = self.entries[caller_attempt.entry].state.own
            self.send(
                entry, to, ("outcome", caller_attempt._replace(relayed=False), outcome)
            )

    def reply(self, caller_attempt: CallerAttempt, outcome: Outcome) -> None:
        """Record the outcome of the caller's current attempt, unless it has expired."""
        if (
            self.current_attempts.get(caller_attempt.key.text) == caller_attempt
            and self.now < caller_attempt.expires_at
        ):
            del self.current_attempts[caller_attempt.key.text]
            self.outcomes[caller_attempt.key.text].append(
                (caller_attempt.attempt, outcome)
            )
