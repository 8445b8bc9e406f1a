"""Has the leader of the replicas answer changes and routing table reads."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from random import Random

import anyio

from ..coordination.call_age import check_caller_waits
from ..coordination.replica_terms import check_lease
from ..errors import ChervilstageError
from ..errors.access import PeerUnreachableError
from ..errors.configuration import (
    LeaderUnknownError,
    LeadLostError,
    NoQuorumError,
    NotLeaderError,
    OperatorCallError,
    RoutingMissingError,
)
from ..protocol.configuration_records import encode_outcome, outcome_from_document
from ..protocol.control_messages import OperatorAnswer, decode_answer, encode_answer
from ..protocol.forwarded_changes import (
    ForwardedChange,
    decode_forwarded_change,
    encode_forwarded_change,
)
from ..protocol.kinds import Kind
from ..state.configuration import Change, ChangeOutcome
from .call_arrival import CallArrival
from .clock import replica_clock
from .frame_channel import FrameClient, FrameServer
from .replica_driver import CHANGE_TIMEOUT_SECONDS, ReplicaDriver

# A caller tries another replica after 1 s without an answer, so this is shorter.
LEADER_WAIT_SECONDS = 0.8
RETRY_SECONDS = 0.05
# Errors that are retried because a leader may be elected soon. The operation id makes
# the retry safe if an earlier leader has already proposed the change.
LEADERLESS_CODES = frozenset(
    {NoQuorumError.code, NotLeaderError.code, LeadLostError.code}
)
STATUS_OK = 200
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503

LocalHandler = Callable[[bytes], Awaitable[bytes]]


class ChangeCalls:
    """Answers a call locally, or forwards it once to the leader.

    A call is retried for a short time while there is no leader, so that an election
    causes no error.
    """

    def __init__(
        self, *, driver: ReplicaDriver, client: FrameClient, frames: FrameServer
    ) -> None:
        self.driver = driver
        self.client = client
        self.rng = Random()
        self.local_handlers: dict[Kind, LocalHandler] = {
            Kind.CHANGE: self.submit_local_change,
            Kind.ROUTING_READ: self.read_local_routing,
        }
        frames.register(Kind.CHANGE, self.handle_relayed_change)
        frames.register(Kind.ROUTING_READ, self.handle_relayed_read)

    async def submit(
        self, change: Change, arrival: CallArrival | None = None
    ) -> ChangeOutcome:
        """Submit a change and return its outcome.

        :param arrival: the arrival of the call for the change; if left out, the call
            counts as not having waited.
        :raises CallLateError: the caller no longer waits, and the change is
            order-sensitive.
        :raises LeaderUnknownError: no leader answered; the change can be retried.
        :raises OperatorCallError: the leader refused the call.
        """
        effective_arrival = arrival or CallArrival()

        def encode() -> bytes:
            """Return the encoded change with the time that its call has waited."""
            waited = effective_arrival.max_wait_seconds(replica_clock())
            check_caller_waits(change, waited, effective_arrival.has_disconnected())
            leader_at = self.driver.replica.leader_at
            return encode_forwarded_change(
                ForwardedChange(
                    change=change, leader_at=leader_at, waited_seconds=waited
                )
            )

        answer = await self.call(Kind.CHANGE, encode)
        return outcome_from_document(json.loads(answer))

    async def routing(self) -> bytes:
        """Return the newest accepted routing table in its published form.

        :raises LeaderUnknownError: no leader answered, or there is no table yet.
        """
        return await self.call(Kind.ROUTING_READ, bytes)

    async def call(self, kind: Kind, encode: Callable[[], bytes]) -> bytes:
        """Have the leader answer a call; retry for a short time while there is none.

        :param encode: returns the body of an attempt.
        """
        deadline = anyio.current_time() + LEADER_WAIT_SECONDS
        answer = await self.perform(kind, encode())
        while answer.code in LEADERLESS_CODES and anyio.current_time() < deadline:
            await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))
            answer = await self.perform(kind, encode())
        if answer.status == STATUS_OK:
            return answer.body
        is_retryable = answer.status == STATUS_UNAVAILABLE
        error = LeaderUnknownError if is_retryable else OperatorCallError
        message = answer.body.decode(errors="replace")
        raise error(status=answer.status, remote_code=answer.code, message=message)

    async def perform(self, kind: Kind, body: bytes) -> OperatorAnswer:
        """Answer a call locally, or forward it to the leader."""
        try:
            return _success_answer(await self.local_handlers[kind](body))
        except NotLeaderError as error:
            return await self.relay(kind, body, error)
        except ChervilstageError as error:
            return _error_answer(error)

    async def relay(
        self, kind: Kind, body: bytes, error: NotLeaderError
    ) -> OperatorAnswer:
        """Forward a call to the leader; a change without an answer is not retried here.

        The operation id of the change makes it safe for the caller to retry it.
        """
        replica = self.driver.replica
        leader = replica.members.find_by_identity(replica.leader)
        if leader is None:
            return _error_answer(error)
        try:
            answer = await self.client.call(
                leader.address, kind, body, CHANGE_TIMEOUT_SECONDS
            )
        except PeerUnreachableError as failure:
            return _error_answer(failure)
        return decode_answer(answer)

    async def handle_relayed_change(self, sender: str, body: bytes) -> bytes:
        """Answer a change that another replica forwards.

        A frame may be delivered long after it was sent. The time since the newest
        message of this leader that its sender had received counts as waited.
        """
        try:
            forwarded = decode_forwarded_change(body)
            check_caller_waits(
                forwarded.change, forwarded.total_waited_seconds(replica_clock()), False
            )
        except ChervilstageError as error:
            return encode_answer(_error_answer(error))
        return await self.answer_relayed(Kind.CHANGE, body)

    async def handle_relayed_read(self, sender: str, body: bytes) -> bytes:
        """Answer a read that another replica forwards."""
        return await self.answer_relayed(Kind.ROUTING_READ, body)

    async def answer_relayed(self, kind: Kind, body: bytes) -> bytes:
        """Answer a call without forwarding it, so that calls cannot loop."""
        try:
            return encode_answer(_success_answer(await self.local_handlers[kind](body)))
        except ChervilstageError as error:
            return encode_answer(_error_answer(error))

    async def submit_local_change(self, body: bytes) -> bytes:
        """Submit an encoded change to this replica."""
        outcome = await self.driver.submit(decode_forwarded_change(body).change)
        return encode_outcome(outcome)

    async def read_local_routing(self, body: bytes) -> bytes:
        """Return the routing table of this replica, which must be the leader.

        :raises NotLeaderError: another replica is the leader.
        :raises NoQuorumError: no replica is known to lead.
        :raises RoutingMissingError: no routing table has been accepted.
        """
        check_lease(self.driver.replica, replica_clock())
        routing = self.driver.replica.applied.configuration.routing
        if routing is None:
            raise RoutingMissingError()
        return routing.content


def _success_answer(body: bytes) -> OperatorAnswer:
    return OperatorAnswer(status=STATUS_OK, code="", body=body)


def _error_answer(error: ChervilstageError) -> OperatorAnswer:
    status = STATUS_UNAVAILABLE if error.retryable else STATUS_REFUSED
    return OperatorAnswer(status=status, code=error.code, body=str(error).encode())
