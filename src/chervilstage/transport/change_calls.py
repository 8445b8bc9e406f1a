"""Changes, and reads of the routing table, that the leading replica answers."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable
from random import Random

import anyio

from ..coordination.call_age import check_awaited
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
from ..protocol.configuration_records import encode_outcome, outcome_of
from ..protocol.control_messages import OperatorAnswer, decode_answer, encode_answer
from ..protocol.handed_changes import (
    HandedChange,
    decode_handed_change,
    encode_handed_change,
)
from ..protocol.kinds import Kind
from ..state.configuration import Change, ChangeOutcome
from .call_arrival import CallArrival
from .clock import replica_clock
from .frame_channel import FrameClient, FrameServer
from .replica_driver import CHANGE_SECONDS, ReplicaDriver

# A caller moves on to another replica after a second without an answer.
LEADER_WAIT_SECONDS = 0.8
REPEAT_SECONDS = 0.05
# A leader may be found soon. A change that its first leader has proposed is the same
# one under its operation id when another leader gets it.
LEADERLESS = frozenset({NoQuorumError.code, NotLeaderError.code, LeadLostError.code})
STATUS_OK = 200
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503

LocalCall = Callable[[bytes], Awaitable[bytes]]


class ChangeCalls:
    """Answers a call here, or has the leader answer it once.

    Calls wait a moment while there is no leader, so that an election does not show.
    """

    def __init__(
        self, *, driver: ReplicaDriver, client: FrameClient, frames: FrameServer
    ) -> None:
        self.driver = driver
        self.client = client
        self.rng = Random()
        self.local: dict[Kind, LocalCall] = {
            Kind.CHANGE: self.change,
            Kind.ROUTING_READ: self.read,
        }
        frames.serve(Kind.CHANGE, self.relayed_change)
        frames.serve(Kind.ROUTING_READ, self.relayed_read)

    async def submit(
        self, change: Change, arrival: CallArrival | None = None
    ) -> ChangeOutcome:
        """Submit a change and return its outcome.

        :param arrival: that of the call which asks for the change, if it is not new.
        :raises CallLateError: the caller no longer waits, and the order matters.
        :raises LeaderUnknownError: no leader answered; the change may be sent again.
        :raises OperatorCallError: the leader refused the call.
        """
        waiting = arrival or CallArrival()

        def encode() -> bytes:
            """Return the change as it is handed over now."""
            waited = waiting.waited(replica_clock())
            check_awaited(change, waited, waiting.has_left())
            leader_at = self.driver.replica.leader_at
            return encode_handed_change(
                HandedChange(change=change, leader_at=leader_at, waited_seconds=waited)
            )

        answer = await self.call(Kind.CHANGE, encode)
        return outcome_of(json.loads(answer))

    async def routing(self) -> bytes:
        """Return the newest accepted routing table as it was published.

        :raises LeaderUnknownError: no leader answered, or there is no table yet.
        """
        return await self.call(Kind.ROUTING_READ, bytes)

    async def call(self, kind: Kind, encode: Callable[[], bytes]) -> bytes:
        """Have the leader answer a call, waiting a moment while there is none.

        :param encode: returns the body for each attempt.
        """
        deadline = anyio.current_time() + LEADER_WAIT_SECONDS
        answer = await self.perform(kind, encode())
        while answer.code in LEADERLESS and anyio.current_time() < deadline:
            await anyio.sleep(REPEAT_SECONDS * (0.5 + self.rng.random()))
            answer = await self.perform(kind, encode())
        if answer.status == STATUS_OK:
            return answer.body
        is_retryable = answer.status == STATUS_UNAVAILABLE
        error = LeaderUnknownError if is_retryable else OperatorCallError
        message = answer.body.decode(errors="replace")
        raise error(status=answer.status, remote_code=answer.code, message=message)

    async def perform(self, kind: Kind, body: bytes) -> OperatorAnswer:
        """Answer a call here, or hand it to the leader."""
        try:
            return _answered(await self.local[kind](body))
        except NotLeaderError as error:
            return await self.relay(kind, body, error)
        except ChervilstageError as error:
            return _refused(error)

    async def relay(
        self, kind: Kind, body: bytes, error: NotLeaderError
    ) -> OperatorAnswer:
        """Hand a call to the leader; a change without an answer is not proposed anew.

        The operation id of the change makes it safe for the caller to send it again.
        """
        replica = self.driver.replica
        leader = replica.members.find(replica.leader)
        if leader is None:
            return _refused(error)
        try:
            answer = await self.client.call(leader.address, kind, body, CHANGE_SECONDS)
        except PeerUnreachableError as failure:
            return _refused(failure)
        return decode_answer(answer)

    async def relayed_change(self, sender: str, body: bytes) -> bytes:
        """Answer a change that another replica hands over.

        A frame may be delivered long after it was sent, so its age is that of the
        newest message of this leader which its sender knew.
        """
        try:
            handed = decode_handed_change(body)
            check_awaited(handed.change, handed.waited(replica_clock()), False)
        except ChervilstageError as error:
            return encode_answer(_refused(error))
        return await self.answer_relayed(Kind.CHANGE, body)

    async def relayed_read(self, sender: str, body: bytes) -> bytes:
        """Answer a read that another replica hands over."""
        return await self.answer_relayed(Kind.ROUTING_READ, body)

    async def answer_relayed(self, kind: Kind, body: bytes) -> bytes:
        """Answer a call here only, so that calls do not go round."""
        try:
            return encode_answer(_answered(await self.local[kind](body)))
        except ChervilstageError as error:
            return encode_answer(_refused(error))

    async def change(self, body: bytes) -> bytes:
        """Submit a change to this replica."""
        outcome = await self.driver.submit(decode_handed_change(body).change)
        return encode_outcome(outcome)

    async def read(self, body: bytes) -> bytes:
        """Read the routing table of this replica, which has to lead.

        :raises RoutingMissingError: none has been accepted.
        """
        check_lease(self.driver.replica, replica_clock())
        routing = self.driver.replica.applied.configuration.routing
        if routing is None:
            raise RoutingMissingError()
        return routing.content


def _answered(body: bytes) -> OperatorAnswer:
    return OperatorAnswer(status=STATUS_OK, code="", body=body)


def _refused(error: ChervilstageError) -> OperatorAnswer:
    status = STATUS_UNAVAILABLE if error.retryable else STATUS_REFUSED
    return OperatorAnswer(status=status, code=error.code, body=str(error).encode())
