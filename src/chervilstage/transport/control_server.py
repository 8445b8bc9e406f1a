"""Server of the control daemon for entries and operators."""

from __future__ import annotations

import logging
from hmac import compare_digest
from ssl import SSLContext

import anyio

from ..errors.access import OperatorKeyError
from ..protocol.configuration_records import encode_configuration
from ..protocol.control_messages import (
    OperatorAnswer,
    OperatorCall,
    ProcessStatus,
    decode_query,
    encode_status,
)
from ..protocol.kinds import Kind
from ..state.counters import Counters
from ..state.replica import Replica, Role
from ..state.types import Address
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameServer
from .http_connection import HttpRequest, HttpResponse
from .http_endpoint import http_endpoint_hooks
from .http_server import error_response
from .leader_calls import LeaderCalls
from .operator_calls import OperatorCalls

MAXIMUM_WAIT_SECONDS = 30.0
JSON_HEADERS = {"content-type": "application/json"}
STATUS_OK = 200
STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_REFUSED = 422
STATUS_UNAVAILABLE = 503


class ControlServer:
    """Answers entries over frames and operators over HTTP.

    :param operator_address: the listening address for operators.
    :param operator_key: the bearer key of operators.
    :param tls: the TLS context for operators' connections, if any.
    """

    def __init__(
        self,
        *,
        operator_address: Address,
        operator_key: bytes,
        calls: OperatorCalls,
        leader_calls: LeaderCalls,
        frames: FrameServer,
        tls: SSLContext | None,
        counters: Counters,
    ) -> None:
        self.operator_address = operator_address
        self.operator_key = operator_key
        self.calls = calls
        self.leader_calls = leader_calls
        self.tls = tls
        self.counters = counters
        frames.register(Kind.CONFIGURATION_FETCH, self.fetch)
        frames.register(Kind.STATUS, self.status)

    @property
    def replica(self) -> Replica:
        """Return the replica of this process."""
        return self.calls.driver.replica

    async def fetch(self, sender: str, body: bytes) -> bytes:
        """Answer once the committed configuration is newer than the caller's.

        The body is empty if that takes longer than the caller waits.
        """
        query = decode_query(body)
        self.calls.entries.record_entries(query.group, replica_clock())
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
                "commit": replica.commit_index,
                "last": replica.log.last_index,
                "leads": float(replica.role is Role.LEADER),
            },
            group=tuple(self.calls.entries.current_entries(replica_clock())),
        )
        return encode_status(status)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Check the key of an operator's HTTP request, then answer it."""
        expected = b"Bearer " + self.operator_key
        provided = request.headers.get("authorization", "").encode("latin-1")
        if not compare_digest(provided, expected):
            error = OperatorKeyError()
            self.counters.add("operator_calls_refused", error.code)
            log_event("operator_call_refused", level=logging.WARNING, code=error.code)
            return error_response(STATUS_UNAUTHORIZED, error)
        call = OperatorCall(
            method=request.method, target=request.target, body=request.body
        )
        return _http_response(await self.leader_calls.perform(call))

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return http_endpoint_hooks(
            "control_server",
            self.operator_address,
            self.answer,
            self.counters,
            self.tls,
        )


def _http_response(answer: OperatorAnswer) -> HttpResponse:
    if not answer.code:
        return HttpResponse(
            status=answer.status, headers=JSON_HEADERS, body=answer.body
        )
    headers = {
        "content-type": "text/plain; charset=utf-8",
        "chervilstage-code": answer.code,
    }
    return HttpResponse(status=answer.status, headers=headers, body=answer.body)
