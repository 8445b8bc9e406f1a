"""The control daemon's answers to entries and operators."""

from __future__ import annotations

import logging
from hmac import compare_digest
from ssl import SSLContext

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..errors.access import OperatorKeyError, PeerUnreachableError
from ..errors.configuration import (
    CallUnknownError,
    ChangeUnsettledError,
    NotLeaderError,
)
from ..protocol.control_messages import (
    OperatorAnswer,
    OperatorCall,
    ProcessStatus,
    decode_answer,
    decode_call,
    decode_query,
    encode_answer,
    encode_call,
    encode_status,
)
from ..protocol.documents import encode_configuration
from ..protocol.kinds import Kind
from ..protocol.operator_documents import operation_id_of
from ..state.counters import Counters
from ..state.replica import Replica, Role
from ..state.types import Address
from .application import Hooks
from .event_log import log_event
from .frame_channel import FrameClient, FrameServer
from .http_connection import HttpRequest, HttpResponse
from .http_server import error_response, start_http_server
from .operator_calls import OperatorCalls
from .replica_driver import CHANGE_SECONDS, replica_clock

MAXIMUM_WAIT_SECONDS = 30.0
JSON_HEADERS = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503


class ControlServer:
    """Answers entries by frames and operators by HTTP.

    A replica that does not lead hands an operator's call to the leader once; the
    leader answers such a call itself.

    :param operator_address: where operators connect.
    :param operator_key: the bearer key of operators.
    :param tls: the certificate and key for operators' connections, if any.
    """

    def __init__(
        self,
        *,
        operator_address: Address,
        operator_key: bytes,
        calls: OperatorCalls,
        client: FrameClient,
        frames: FrameServer,
        tls: SSLContext | None,
        counters: Counters,
    ) -> None:
        self.operator_address = operator_address
        self.operator_key = operator_key
        self.calls = calls
        self.client = client
        self.tls = tls
        self.counters = counters
        frames.serve(Kind.CONFIGURATION_FETCH, self.fetch)
        frames.serve(Kind.STATUS, self.status)
        frames.serve(Kind.OPERATOR_CALL, self.relayed)

    @property
    def replica(self) -> Replica:
        """Return the replica of this process."""
        return self.calls.driver.replica

    async def fetch(self, sender: str, body: bytes) -> bytes:
        """Answer with the committed configuration once it is newer than the known."""
        query = decode_query(body)
        self.calls.entries.note(query.group, replica_clock())
        with anyio.move_on_after(min(query.wait_seconds, MAXIMUM_WAIT_SECONDS)):
            while self.replica.applied.configuration.revision <= query.revision:
                await self.calls.driver.revision_changed.wait()
        configuration = self.replica.applied.configuration
        if configuration.revision <= query.revision:
            return b""
        return encode_configuration(configuration)

    async def status(self, sender: str, body: bytes) -> bytes:
        """Answer with the status of this replica."""
        replica = self.replica
        status = ProcessStatus(
            revision=replica.applied.configuration.revision,
            gauges={
                "term": replica.term,
                "commit": replica.commit,
                "last": replica.log.last_index,
                "leads": float(replica.role is Role.LEADER),
            },
            group=tuple(self.calls.entries.known(replica_clock())),
        )
        return encode_status(status)

    async def relayed(self, sender: str, body: bytes) -> bytes:
        """Answer an operator's call that another replica hands over."""
        try:
            answer = await self.calls.answer(decode_call(body))
        except ChervilstageError as error:
            return encode_answer(_refusal(error))
        return encode_answer(OperatorAnswer(status=STATUS_OK, code="", body=answer))

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer an operator."""
        expected = b"Bearer " + self.operator_key
        given = request.headers.get("authorization", "").encode("latin-1")
        if not compare_digest(given, expected):
            error = OperatorKeyError()
            self.counters.add("operator_calls_refused", error.code)
            log_event("operator_call_refused", level=logging.WARNING, code=error.code)
            return error_response(STATUS_UNAUTHORIZED, error)
        call = OperatorCall(
            method=request.method, target=request.target, body=request.body
        )
        try:
            body = await self.calls.answer(call)
        except NotLeaderError as error:
            return await self.relay(call, error)
        except ChervilstageError as error:
            return error_response(_status_of(error), error)
        return HttpResponse(status=STATUS_OK, headers=JSON_HEADERS, body=body)

    async def relay(self, call: OperatorCall, error: NotLeaderError) -> HttpResponse:
        """Hand a call to the leader."""
        leader = self.replica.members.find(self.replica.leader)
        if leader is None:
            return error_response(STATUS_UNAVAILABLE, error)
        try:
            answer = await self.client.call(
                leader.address,
                Kind.OPERATOR_CALL,
                encode_call(call),
                CHANGE_SECONDS + 1.0,
            )
        except PeerUnreachableError:
            return error_response(STATUS_UNAVAILABLE, _relay_error(call, error))
        return _response(decode_answer(answer))

    async def start(self, group: TaskGroup) -> None:
        """Begin to listen for operators."""
        await start_http_server(group, self.operator_address, self.answer, self.tls)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="control_server", start=self.start)


def _status_of(error: ChervilstageError) -> int:
    if isinstance(error, CallUnknownError):
        return STATUS_NOT_FOUND
    return STATUS_UNAVAILABLE if error.retryable else STATUS_REFUSED


def _refusal(error: ChervilstageError) -> OperatorAnswer:
    text = f"{error.code} {error}\n".encode()
    return OperatorAnswer(status=_status_of(error), code=error.code, body=text)


def _relay_error(call: OperatorCall, error: NotLeaderError) -> ChervilstageError:
    """Return the error of a call to the leader that got no answer.

    A change may have been accepted; a read can simply be repeated.
    """
    if call.method == "GET":
        return error
    operation = operation_id_of(call.body)
    return ChangeUnsettledError(operation_id=operation, seconds=CHANGE_SECONDS)


def _response(answer: OperatorAnswer) -> HttpResponse:
    if not answer.code:
        return HttpResponse(
            status=answer.status, headers=JSON_HEADERS, body=answer.body
        )
    headers = {
        "content-type": "text/plain; charset=utf-8",
        "chervilstage-code": answer.code,
    }
    return HttpResponse(status=answer.status, headers=headers, body=answer.body)
