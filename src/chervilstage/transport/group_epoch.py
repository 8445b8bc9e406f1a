"""Runs the epoch agreement of the group and replicates request records."""

from __future__ import annotations

import time
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.epoch_agreement import (
    EpochEffect,
    SendEpoch,
    next_members,
    propose_epoch,
    receive_epoch_message,
    synchronize_epochs,
)
from ..coordination.record_ownership import (
    RecordPush,
    record_acknowledgement,
    unacknowledged_records,
)
from ..errors import ChervilstageError
from ..protocol.epoch_messages import decode_epoch_message, encode_epoch_message
from ..protocol.kinds import Kind
from ..protocol.request_messages import decode_acknowledgement, encode_push
from ..state.epoch import EpochMember, EpochSettled, EpochState
from ..state.members import Member, MemberTable
from ..state.request_records import RecordTable, RequestRecord
from ..state.types import Address
from .event_log import log_event
from .frame_channel import FrameClient
from .peer_link import PeerLink

TICK_SECONDS = 0.25
# The probability that a due proposal is made at a tick. Proposing at random keeps two
# entries from proposing at the same time again and again.
PROPOSAL_PROBABILITY = 0.5
MAXIMUM_PUSH_BYTES = 1024 * 1024
PUSH_TIMEOUT_SECONDS = 2.0
SETTLED_INTERVAL_TICKS = 4
SETTLED_REPEAT_INTERVAL_TICKS = 40


class GroupEpoch:
    """Agrees on epochs with the peers and copies request records to the members."""

    def __init__(
        self,
        *,
        state: EpochState,
        table: RecordTable,
        members: MemberTable,
        link: PeerLink,
        frames: FrameClient,
        rng: Random,
    ) -> None:
        self.state = state
        self.table = table
        self.members = members
        self.link = link
        self.frames = frames
        self.rng = rng
        self.completed_pushes: set[tuple[int, EpochMember]] = set()
        self.active_pushes: set[EpochMember] = set()
        self.ticks = 0
        self.group: TaskGroup | None = None
        self.epoch_changed = anyio.Event()
        link.register(Kind.EPOCH, self.receive)

    def receive(self, sender: str, body: bytes) -> None:
        """Handle an epoch message of a peer."""
        message = decode_epoch_message(body)
        now = anyio.current_time()
        self.apply(receive_epoch_message(self.state, sender, message, now))

    def apply(self, effects: list[EpochEffect]) -> None:
        """Carry out effects: send messages, and copy records after an epoch change."""
        for effect in effects:
            if isinstance(effect, SendEpoch):
                if effect.to in self.link.peers:
                    body = encode_epoch_message(effect.message)
                    self.link.send(effect.to, Kind.EPOCH, body)
            else:
                self.log_epoch_in_force()
                self.epoch_changed.set()
                self.epoch_changed = anyio.Event()
                self.push_all()
        report = self.members.report
        if report.epoch != self.state.highest_agreed_number():
            self.members.report = report._replace(
                epoch=self.state.highest_agreed_number()
            )

    def log_epoch_in_force(self) -> None:
        """Log the current epoch."""
        epoch = self.state.current
        log_event(
            "epoch_in_force",
            epoch=epoch.number,
            members=",".join(m.name for m in epoch.members),
            fenced=",".join(epoch.fenced),
        )

    def live_members(self) -> list[EpochMember]:
        """Return the live entries with their incarnations, this one included."""
        table = self.members
        live = [epoch_member_of(table.members[name]) for name in table.live_names]
        return [self.state.own, *live]

    def lease_granting_members(self) -> list[EpochMember]:
        """Return the members that grant this entry a lease in the current epoch."""
        now, number = anyio.current_time(), self.state.current.number
        return [
            epoch_member_of(member)
            for member in self.members.members.values()
            if now - member.echoed_at < self.members.lease_seconds
            and member.report.epoch == number
        ]

    def tick(self) -> None:
        """Propose epoch changes that are due, and repeat messages that were lost."""
        self.ticks += 1
        self.table.expire(_now_ms())
        live = self.live_members()
        staying = [m for m in live if self.members.is_staying(m.name)]
        proposed = next_members(self.state, live, staying)
        if proposed and self.rng.random() < PROPOSAL_PROBABILITY:
            now = anyio.current_time()
            self.apply(propose_epoch(self.state, proposed, _now_ms(), now))
        reported_epochs = {
            name: self.members.members[name].report.epoch
            for name in self.members.live_names
        }
        self.apply(synchronize_epochs(self.state, reported_epochs))
        self.push_all()
        # Once all members are settled, the notice is repeated less often, only for a
        # member that missed it.
        interval_ticks = (
            SETTLED_REPEAT_INTERVAL_TICKS
            if self.state.is_group_settled()
            else SETTLED_INTERVAL_TICKS
        )
        if self.ticks % interval_ticks == 0:
            self.send_settled()

    def send_settled(self) -> None:
        """Notify the members that this entry's records are complete."""
        if not self.state.is_settled():
            return
        message = encode_epoch_message(EpochSettled(number=self.state.settled))
        for member in self.state.current.members:
            if member.name in self.link.peers:
                self.link.send(member.name, Kind.EPOCH, message)

    def push_all(self) -> None:
        """Copy records to each member that has not acknowledged all of them."""
        number = self.state.current.number
        for member in self.state.current.members:
            if (
                member == self.state.own
                or member in self.active_pushes
                or self.group is None
            ):
                continue
            if (number, member) not in self.completed_pushes:
                self.active_pushes.add(member)
                self.group.start_soon(self.push, member)

    async def push(self, member: EpochMember) -> None:
        """Copy this entry's records to one member and record that it has them all."""
        epoch = self.state.current
        try:
            records = unacknowledged_records(self.state, self.table, member)
            batches = split_into_batches(records)
            for position, batch in enumerate(batches):
                last = position == len(batches) - 1
                push = RecordPush(epoch=epoch.number, records=batch, last=last)
                if not await self.send_push(member, push):
                    return
            self.completed_pushes = {
                (n, m) for n, m in self.completed_pushes if n == epoch.number
            }
            self.completed_pushes.add((epoch.number, member))
            if records:
                log_event("records_copied", to=member.name, records=len(records))
        except ChervilstageError:
            # The next tick retries as long as the member is in the epoch.
            return
        finally:
            self.active_pushes.discard(member)

    async def send_push(self, member: EpochMember, push: RecordPush) -> bool:
        """Send records and return whether the member has stored them."""
        address = self.address_of(member)
        if address is None:
            return False
        answer = await self.frames.call(
            address, Kind.RECORD_PUSH, encode_push(push), PUSH_TIMEOUT_SECONDS
        )
        if not decode_acknowledgement(answer):
            return False
        for record in push.records:
            record_acknowledgement(self.table, record, member)
        return True

    def address_of(self, member: EpochMember) -> Address | None:
        """Return the peer address of a member."""
        peer = self.link.peers.get(member.name)
        return peer.address if peer else None

    async def run(self) -> None:
        """Tick until cancelled."""
        while True:
            self.tick()
            await anyio.sleep(TICK_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Start the periodic tick."""
        self.group = group
        group.start_soon(self.run)

    async def wait_handed_over(self) -> None:
        """Wait until the epoch excludes this entry and its members have its records.

        The wait ends without this if no other entry is live.
        """
        while self.link.peers and len(self.members.live()) > 1:
            epoch = self.state.current
            acknowledged = {m for n, m in self.completed_pushes if n == epoch.number}
            if not self.state.is_member() and acknowledged >= set(epoch.members):
                return
            await anyio.sleep(TICK_SECONDS / 5)


def epoch_member_of(member: Member) -> EpochMember:
    """Return the epoch member of the incarnation that sent the last heartbeat."""
    return EpochMember(
        name=member.peer.name,
        incarnation=member.report.incarnation,
        data_centre=member.peer.data_centre,
    )


def split_into_batches(records: list[RequestRecord]) -> list[tuple[RequestRecord, ...]]:
    """Return records in batches that fit into frames; at least one batch.

    The size of a record is estimated as that of its answer's body plus 256 bytes. The
    record that exceeds ``MAXIMUM_PUSH_BYTES`` is the last one of its batch.
    """
    batches: list[tuple[RequestRecord, ...]] = []
    batch: list[RequestRecord] = []
    size = 0
    for record in records:
        size += len(record.answer.body) + 256 if record.answer else 256
        batch.append(record)
        if size > MAXIMUM_PUSH_BYTES:
            batches.append(tuple(batch))
            batch, size = [], 0
    batches.append(tuple(batch))
    return batches


def _now_ms() -> int:
    return time.time_ns() // 1_000_000
