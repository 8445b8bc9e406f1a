"""The control port of a stand-in upstream: fault commands and counters."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from anyio.abc import TaskGroup

from ..coordination.standin import reset_to_cold
from ..errors import ChervilstageError
from ..protocol.standin_control import changed_faults, decode_faults
from ..state.counters import Counters
from ..state.standin import StandinState
from ..state.types import Address
from .event_log import log_event
from .handler_failures import make_failure_reporter
from .http_connection import HttpRequest, HttpResponse
from .http_server import error_response, start_http_server

JSON_HEADERS = {"content-type": "application/json"}


class StandinControl(NamedTuple):
    """The state and the operations that the control port uses.

    :param silence_open: stops answering on the connections that are open now.
    :param leave: announces that the stand-in is leaving.
    :param report: returns the counters as JSON.
    """

    state: StandinState
    silence_open: Callable[[], None]
    leave: Callable[[], Awaitable[None]]
    report: Callable[[], bytes]


async def start_control(
    group: TaskGroup, address: Address, control: StandinControl
) -> None:
    """Listen for commands.

    ``GET /v1/report`` returns the counters, ``POST /v1/faults`` sets faults and
    ``POST /v1/leave`` announces that the stand-in is leaving.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer one command, or return its error."""
        try:
            return await _answer(control, request)
        except ChervilstageError as error:
            return error_response(422, error)

    report_failure = make_failure_reporter("standin_control", Counters())
    await start_http_server(group, address, answer, report_failure)


async def _answer(control: StandinControl, request: HttpRequest) -> HttpResponse:
    route = (request.method, request.target)
    if route == ("GET", "/v1/report"):
        return HttpResponse(status=200, headers=JSON_HEADERS, body=control.report())
    if route == ("POST", "/v1/faults"):
        _set_faults(control, request.body)
    elif route == ("POST", "/v1/leave"):
        await control.leave()
    else:
        return HttpResponse(status=404, headers={}, body=b"")
    return HttpResponse(status=204, headers={}, body=b"")


def _set_faults(control: StandinControl, body: bytes) -> None:
    document = decode_faults(body)
    state = control.state
    state.faults = changed_faults(state.faults, document)
    if document.get("cold"):
        reset_to_cold(state)
    if document.get("silence_open"):
        control.silence_open()
    log_event("standin_faults", **document)
