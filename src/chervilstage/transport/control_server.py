"""The control daemon: accepts changes and tells the entries of them."""

from __future__ import annotations

from hmac import compare_digest

import anyio
from anyio.abc import TaskGroup

from ..coordination.configuration import ConfigurationState, apply_change
from ..errors import ChervilstageError
from ..errors.access import OperatorKeyError
from ..protocol.changes import decode_change, encode_outcome
from ..protocol.documents import encode_configuration
from ..protocol.kinds import Kind
from ..state.types import Address
from .application import Hooks
from .change_log import ChangeLog
from .configuration_client import POLL_SECONDS
from .event_log import log_event
from .frame_channel import FrameServer
from .http_connection import HttpRequest, HttpResponse
from .http_server import error_response, start_http_server


class ControlServer:
    """Holds the configuration and answers operators and entries.

    :param operator_address: where operators connect.
    :param operator_key: the bearer key of operators.
    """

    def __init__(
        self,
        *,
        operator_address: Address,
        operator_key: bytes,
        log: ChangeLog,
        frames: FrameServer,
    ) -> None:
        self.operator_address = operator_address
        self.operator_key = operator_key
        self.log = log
        self.state = ConfigurationState()
        self.changed = anyio.Event()
        frames.serve(Kind.CONFIGURATION_FETCH, self.fetch)

    async def fetch(self, sender: str, body: bytes) -> bytes:
        """Answer with the configuration once it is newer than the known one."""
        known = int.from_bytes(body, "big")
        with anyio.move_on_after(POLL_SECONDS):
            while self.state.configuration.revision <= known:
                await self.changed.wait()
        if self.state.configuration.revision <= known:
            return b""
        return encode_configuration(self.state.configuration)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer an operator."""
        expected = b"Bearer " + self.operator_key
        given = request.headers.get("authorization", "").encode()
        if not compare_digest(given, expected):
            return error_response(401, OperatorKeyError())
        try:
            return self.answer_authorized(request)
        except ChervilstageError as error:
            return error_response(422, error)

    def answer_authorized(self, request: HttpRequest) -> HttpResponse:
        """Answer an operator whose key is right."""
        headers = {"content-type": "application/json"}
        if (request.method, request.target) == ("GET", "/v1/configuration"):
            body = encode_configuration(self.state.configuration)
            return HttpResponse(status=200, headers=headers, body=body)
        if (request.method, request.target) == ("POST", "/v1/changes"):
            return HttpResponse(
                status=200, headers=headers, body=self.change(request.body)
            )
        return HttpResponse(status=404, headers={}, body=b"")

    def change(self, body: bytes) -> bytes:
        """Log and apply a change and return its encoded outcome."""
        change = decode_change(body)
        state, outcome = apply_change(self.state, change)
        if state is not self.state:
            self.log.append(change)
            self.state = state
            self.changed.set()
            self.changed = anyio.Event()
        log_event("change_decided", **outcome._asdict())
        return encode_outcome(outcome)

    async def start(self, group: TaskGroup) -> None:
        """Replay the log and begin to listen."""
        for change in self.log.read():
            self.state, _ = apply_change(self.state, change)
        await start_http_server(group, self.operator_address, self.answer)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="control_server", start=self.start)
