"""Forwards operators' calls that only the leader may answer to the leader."""

from __future__ import annotations

from ..errors import ChervilstageError
from ..errors.access import PeerUnreachableError
from ..errors.configuration import (
    CallUnknownError,
    ChangeUnsettledError,
    NotLeaderError,
)
from ..protocol.control_messages import (
    OperatorAnswer,
    OperatorCall,
    decode_answer,
    decode_call,
    encode_answer,
    encode_call,
)
from ..protocol.kinds import Kind
from ..protocol.operator_documents import operation_id_from_body
from .frame_channel import FrameClient, FrameServer
from .operator_calls import OperatorCalls
from .replica_driver import CHANGE_TIMEOUT_SECONDS

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503


class LeaderCalls:
    """Answers a call locally, or forwards it to the leader.

    A follower forwards a call once; a forwarded call is not forwarded again, so that
    calls cannot loop.
    """

    def __init__(
        self, *, calls: OperatorCalls, client: FrameClient, frames: FrameServer
    ) -> None:
        self.calls = calls
        self.client = client
        frames.register(Kind.OPERATOR_CALL, self.handle_relayed_call)

    async def handle_relayed_call(self, sender: str, body: bytes) -> bytes:
        """Answer an operator's call that another replica forwards."""
        try:
            answer = await self.calls.answer(decode_call(body))
        except ChervilstageError as error:
            return encode_answer(_error_answer(error))
        return encode_answer(OperatorAnswer(status=STATUS_OK, code="", body=answer))

    async def perform(self, call: OperatorCall) -> OperatorAnswer:
        """Answer a call locally, or forward it to the leader."""
        try:
            body = await self.calls.answer(call)
        except NotLeaderError as error:
            return await self.relay(call, error)
        except ChervilstageError as error:
            return _error_answer(error)
        return OperatorAnswer(status=STATUS_OK, code="", body=body)

    async def relay(self, call: OperatorCall, error: NotLeaderError) -> OperatorAnswer:
        """Forward a call to the leader and return its answer."""
        replica = self.calls.driver.replica
        leader = replica.members.find_by_identity(replica.leader)
        if leader is None:
            return _error_answer(error)
        try:
            answer = await self.client.call(
                leader.address,
                Kind.OPERATOR_CALL,
                encode_call(call),
                # The leader itself waits CHANGE_TIMEOUT_SECONDS for an outcome.
                CHANGE_TIMEOUT_SECONDS + 1.0,
            )
        except PeerUnreachableError:
            return _error_answer(_relay_error(call, error))
        return decode_answer(answer)


def _status_of(error: ChervilstageError) -> int:
    if isinstance(error, CallUnknownError):
        return STATUS_NOT_FOUND
    return STATUS_UNAVAILABLE if error.retryable else STATUS_REFUSED


def _error_answer(error: ChervilstageError) -> OperatorAnswer:
    text = f"{error.code} {error}\n".encode()
    return OperatorAnswer(status=_status_of(error), code=error.code, body=text)


def _relay_error(call: OperatorCall, error: NotLeaderError) -> ChervilstageError:
    """Return the error for a call that the leader has not answered.

    A change may have been accepted; a read can simply be retried.
    """
    if call.method == "GET":
        return error
    operation_id = operation_id_from_body(call.body)
    return ChangeUnsettledError(
        operation_id=operation_id, seconds=CHANGE_TIMEOUT_SECONDS
    )
