"""Runs non-idempotent requests at most once, on the entry that owns their key."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Collection
from hashlib import blake2b

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup

from ..coordination.record_ownership import (
    CopyFirst,
    Finish,
    Join,
    RecordCopy,
    RecordPush,
    Relay,
    RequestDecision,
    Wait,
    begin_request,
    can_send,
    check_key,
    find_holders,
    finish_record,
    receive_copy,
    receive_push,
    record_acknowledgement,
    reopen_record,
    unsent_outcome,
)
from ..errors import ChervilstageError
from ..errors.requests import KeyExpiredError, KeyMalformedError, KeyReusedError
from ..protocol.kinds import Kind
from ..protocol.request_headers import parse_key
from ..protocol.request_messages import (
    NotOwner,
    RelayedRequest,
    decode_acknowledgement,
    decode_push,
    decode_relay_answer,
    decode_relayed_request,
    encode_acknowledgement,
    encode_push,
    encode_relay_answer,
    encode_relayed_request,
)
from ..state.counters import Counters
from ..state.epoch import EpochMember
from ..state.outcomes import Answered, KeyedRequest, NotRun, Outcome, Refused, Unknown
from ..state.request_records import RequestKey, RequestRecord
from ..state.types import Address
from .event_log import log_event
from .frame_channel import FrameServer
from .group_epoch import GroupEpoch

COPY_TIMEOUT_SECONDS = 0.5
ANSWER_COPY_TIMEOUT_SECONDS = 1.0
RELAY_RETRY_SECONDS = 0.05

RunRequest = Callable[[KeyedRequest, float], Awaitable[Outcome]]


class RunningRequest:
    """A request that this entry is running; retries with its key wait for it.

    :param attempt: the newest attempt that waits for the outcome.
    """

    def __init__(self, *, attempt: int) -> None:
        self.attempt = attempt
        self.done = anyio.Event()
        self.outcome: Outcome = Unknown(reason="not answered in time")


class KeyedRequests:
    """Runs requests whose key this entry owns and relays the others to their owners.

    :param run: sends a request to an upstream and returns its whole answer.
    :param key_data_centres: returns the data centres of the inventory.
    """

    def __init__(
        self,
        *,
        epoch: GroupEpoch,
        server: FrameServer,
        counters: Counters,
        run: RunRequest,
        key_data_centres: Callable[[], Collection[str]],
    ) -> None:
        self.epoch = epoch
        self.state = epoch.state
        self.table = epoch.table
        self.counters = counters
        self.run = run
        self.key_data_centres = key_data_centres
        self.running: dict[str, RunningRequest] = {}
        self.group: TaskGroup | None = None
        server.register(Kind.RECORD_COPY, self.handle_record_copy)
        server.register(Kind.RECORD_PUSH, self.handle_record_push)
        server.register(Kind.REQUEST_RELAY, self.handle_relayed_request)

    async def start(self, group: TaskGroup) -> None:
        """Keep the task group in which requests run to completion."""
        self.group = group

    async def submit(self, request: KeyedRequest) -> Outcome:
        """Run a request of a caller, or relay it to the entry that owns its key.

        :raises KeyMalformedError: the key is malformed.
        """
        key = parse_key(request.key)
        deadline = anyio.current_time() + request.timeout_ms / 1000
        may_have_run = False
        while True:
            outcome = await self.submit_locally(request, key, deadline)
            if isinstance(outcome, Relay):
                relayed = await self.relay(request, outcome.owner, deadline)
                if isinstance(relayed, NotRun) and may_have_run:
                    return Unknown(reason=relayed.reason)
                if not isinstance(relayed, NotOwner | None):
                    return relayed
                may_have_run = may_have_run or relayed is None
            elif not isinstance(outcome, NotRun) or not may_have_run:
                return outcome
            if deadline - anyio.current_time() < 2 * RELAY_RETRY_SECONDS:
                # Attempt 0 makes the outcome unknown instead of not run.
                attempt = 0 if may_have_run else request.attempt
                return unsent_outcome(attempt, "the owner of the key does not answer")
            await anyio.sleep(RELAY_RETRY_SECONDS)

    async def submit_locally(
        self, request: KeyedRequest, key: RequestKey, deadline: float
    ) -> Outcome | Relay:
        """Run a request here, or return its ``Relay`` if another entry owns the key."""
        try:
            check_key(
                key, self.key_data_centres(), wall_clock_ms(), self.table.retention_ms
            )
            decision = self.decide(request, key)
            while isinstance(decision, Wait):
                if deadline - anyio.current_time() < 2 * RELAY_RETRY_SECONDS:
                    return decision.outcome
                await anyio.sleep(RELAY_RETRY_SECONDS)
                decision = self.decide(request, key)
        except (KeyExpiredError, KeyMalformedError) as error:
            if request.attempt == 1:
                return NotRun(reason=f"{error.code} {error}")
            return Refused(status=400, code=error.code, reason=str(error))
        except KeyReusedError as error:
            return Refused(status=422, code=error.code, reason=str(error))
        except ChervilstageError as error:
            return unsent_outcome(request.attempt, f"{error.code} {error}")
        if isinstance(decision, Finish):
            return decision.outcome
        if isinstance(decision, Relay):
            return decision
        if isinstance(decision, Join):
            running = self.running[key.text]
            running.attempt = max(running.attempt, request.attempt)
            return await wait_for_outcome(running, deadline)
        running = self.running[key.text] = RunningRequest(attempt=request.attempt)
        assert self.group is not None
        # The request continues if its caller disconnects: a retry needs its answer, and
        # the outcome of a cancelled request would remain unknown.
        self.group.start_soon(self.run_owned, request, decision, running, deadline)
        return await wait_for_outcome(running, deadline)

    def decide(self, request: KeyedRequest, key: RequestKey) -> RequestDecision:
        """Return the decision for a request that arrived at this entry."""
        return begin_request(
            self.state,
            self.table,
            key,
            request_digest(request),
            request.attempt,
            self.running.keys(),
            wall_clock_ms(),
            anyio.current_time(),
        )

    async def run_owned(
        self,
        request: KeyedRequest,
        decision: CopyFirst,
        running: RunningRequest,
        deadline: float,
    ) -> None:
        """Copy the record to a second entry, run the request, and copy its answer."""
        record = decision.record
        outcome: Outcome = NotRun(reason="the record could not be copied")
        try:
            copied = await self.copy_record(
                record, decision.second, COPY_TIMEOUT_SECONDS
            )
            in_time = anyio.current_time() < deadline
            granting_members = self.epoch.lease_granting_members()
            if in_time and can_send(self.state, record, copied, granting_members):
                outcome = Unknown(reason="the request was cut short")
                outcome = await self.run(request, deadline)
            if isinstance(outcome, Answered):
                record = finish_record(self.table, record, outcome.answer)
            elif isinstance(outcome, NotRun):
                record = reopen_record(self.table, record, running.attempt)
            if not isinstance(outcome, Unknown):
                await self.copy_to_holders(record)
        except ChervilstageError as error:
            log_event("keyed_request_failed", code=error.code, reason=error)
        finally:
            self.counters.add("keyed_requests", type(outcome).__name__.lower())
            running.outcome = outcome
            del self.running[record.key.text]
            running.done.set()

    async def copy_to_holders(self, record: RequestRecord) -> None:
        """Copy the final state of a record to the holders of the current epoch."""
        record_holders = find_holders(self.state.current, record.key)
        for member in record_holders or ():
            if member is None or member == self.state.own:
                continue
            if not await self.copy_record(record, member, ANSWER_COPY_TIMEOUT_SECONDS):
                self.counters.add("answers_not_copied", record.phase.value)

    async def copy_record(
        self, record: RequestRecord, member: EpochMember | None, timeout_seconds: float
    ) -> bool:
        """Copy a record to an entry and return whether the entry has accepted it.

        :param member: None if no other entry can hold a copy; that suffices only if
            this entry is the only one configured.
        """
        if member is None:
            return len(self.state.configured) == 1
        address = self.epoch.address_of(member)
        if address is None:
            return False
        push = RecordPush(
            epoch=self.state.current.number, records=(record,), last=False
        )
        try:
            answer = await self.epoch.frames.call(
                address, Kind.RECORD_COPY, encode_push(push), timeout_seconds
            )
        except ChervilstageError:
            return False
        accepted = decode_acknowledgement(answer)
        if accepted:
            record_acknowledgement(self.table, record, member)
        return accepted

    async def relay(
        self, request: KeyedRequest, owner: EpochMember, deadline: float
    ) -> Outcome | NotOwner | None:
        """Relay a request to the owner of its key and return the answer.

        Without an answer, return None: the request may have run.
        """
        address = self.epoch.address_of(owner)
        remaining_seconds = deadline - anyio.current_time()
        if address is None or remaining_seconds <= 0:
            return NotOwner(epoch=self.state.current.number)
        remaining_ms = max(1, int(remaining_seconds * 1000))
        relayed = RelayedRequest(
            request=request._replace(timeout_ms=remaining_ms),
            expires_ms=wall_clock_ms() + remaining_ms,
        )
        key = parse_key(request.key)
        answer: Outcome | NotOwner | None = None
        async with anyio.create_task_group() as group:
            group.start_soon(
                self.cancel_on_owner_change, key, owner, group.cancel_scope
            )
            answer = await self.call_owner(address, relayed, remaining_seconds)
            group.cancel_scope.cancel()
        if answer is None:
            self.counters.add("relays_failed", owner.name)
        return answer

    async def call_owner(
        self, address: Address, relayed: RelayedRequest, remaining_seconds: float
    ) -> Outcome | NotOwner | None:
        """Send a request to the owner of its key; return None if it does not answer."""
        body = encode_relayed_request(relayed)
        try:
            answer = await self.epoch.frames.call(
                address, Kind.REQUEST_RELAY, body, remaining_seconds
            )
            return decode_relay_answer(answer)
        except ChervilstageError:
            return None

    async def cancel_on_owner_change(
        self, key: RequestKey, owner: EpochMember, scope: CancelScope
    ) -> None:
        """Cancel a relay when a later epoch assigns its key to another entry."""
        while True:
            await self.epoch.epoch_changed.wait()
            record_holders = find_holders(self.state.current, key)
            if record_holders is None or record_holders.owner != owner:
                scope.cancel()
                return

    async def handle_relayed_request(self, sender: str, body: bytes) -> bytes:
        """Run a request that another entry has relayed."""
        request, expires_ms = decode_relayed_request(body)
        remaining_ms = min(request.timeout_ms, expires_ms - wall_clock_ms())
        if remaining_ms <= 0:
            return encode_relay_answer(Unknown(reason="relayed too late"))
        request = request._replace(timeout_ms=remaining_ms)
        deadline = anyio.current_time() + remaining_ms / 1000
        outcome = await self.submit_locally(request, parse_key(request.key), deadline)
        if isinstance(outcome, Relay):
            return encode_relay_answer(NotOwner(epoch=self.state.current.number))
        return encode_relay_answer(outcome)

    async def handle_record_copy(self, sender: str, body: bytes) -> bytes:
        """Receive the copy of a record from its owner."""
        push = decode_push(body)
        copies = [RecordCopy(epoch=push.epoch, record=r) for r in push.records]
        accepted = [receive_copy(self.state, self.table, copy) for copy in copies]
        return encode_acknowledgement(all(accepted))

    async def handle_record_push(self, sender: str, body: bytes) -> bytes:
        """Receive the records of another entry after a change of epoch."""
        was_settled = self.state.is_settled()
        accepted = receive_push(self.state, self.table, sender, decode_push(body))
        if self.state.is_settled() and not was_settled:
            self.epoch.send_settled()
        return encode_acknowledgement(accepted)


async def wait_for_outcome(running: RunningRequest, deadline: float) -> Outcome:
    """Return the outcome of a running request, or ``Unknown`` at the deadline."""
    with anyio.CancelScope(deadline=deadline):
        await running.done.wait()
        return running.outcome
    return Unknown(reason="not answered before the deadline")


def request_digest(request: KeyedRequest) -> bytes:
    """Return a digest that identifies a request, without its headers."""
    digest = blake2b(digest_size=16)
    for part in (request.service, request.method, request.target):
        digest.update(part.encode() + b"\n")
    digest.update(request.body)
    return digest.digest()


def wall_clock_ms() -> int:
    """Return the wall clock in milliseconds since 1970."""
    return time.time_ns() // 1_000_000
