"""HTTP calls to a control daemon from operators and from targets, the upstreams."""

from __future__ import annotations

import json
import logging
import secrets
import time
from collections.abc import Awaitable, Callable
from hashlib import blake2b

from ..coordination.routing import routing_problems
from ..errors import ChervilstageError
from ..errors.configuration import (
    CallUnknownError,
    OperatorCallError,
    RoutingInvalidError,
)
from ..errors.upstreams import UnknownDataCentreError
from ..state.configuration import Change, RoutingDocument
from ..state.counters import Counters
from ..state.histograms import Histogram
from ..state.routing import TrafficKind
from ..transport.change_calls import ChangeCalls
from ..transport.clock import replica_clock
from ..transport.event_log import log_event
from ..transport.feed_server import FeedServer
from ..transport.http_connection import HttpRequest, HttpResponse
from ..transport.log_budget import LogBudget
from .documents import decode_heartbeat, decode_leave, decode_routing, parse_label
from .settings import MS_PER_SECOND

OPERATOR = "platform"
DIGEST_BYTES = 8
# Limits the size of the answer to a table with thousands of invalid routes.
MAXIMUM_PROBLEMS_SHOWN = 20
STATUS_OK = 200
STATUS_INVALID = 400
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
JSON_HEADERS = {"content-type": "application/json"}
EMPTY_OBJECT = b"{}"

Handler = Callable[[str, HttpRequest], Awaitable[bytes]]


class ControlCalls:
    """Decodes the platform's calls and passes them to the transport layer.

    :param data_centres: the names of the platform's data centres.
    """

    def __init__(
        self,
        *,
        changes: ChangeCalls,
        feed: FeedServer,
        data_centres: frozenset[str],
        counters: Counters,
    ) -> None:
        self.changes = changes
        self.feed = feed
        self.data_centres = data_centres
        self.counters = counters
        self.durations = Histogram()
        self.log_budget = LogBudget(counters=counters)

    def find_handler(self, method: str, request_target: str) -> tuple[Handler, str]:
        """Return the handler of a call and the name in its path.

        :raises CallUnknownError: there is no such call.
        """
        match [method, *request_target.partition("?")[0].split("/")[1:]]:
            case ["POST", "configuration", "put"]:
                return self.put_configuration, ""
            case ["GET", "configuration", "get"]:
                return self.get_configuration, ""
            case ["POST", "evacuation", zone, "start"]:
                return self.start_evacuation, zone
            case ["POST", "evacuation", zone, "end"]:
                return self.end_evacuation, zone
            case ["POST", "instances", instance_id, "heartbeat"]:
                return self.receive_heartbeat, instance_id
            case ["POST", "instances", instance_id, "leave"]:
                return self.receive_leave, instance_id
        raise CallUnknownError(method=method, path=request_target)

    async def handle_request(self, request: HttpRequest) -> HttpResponse:
        """Handle a call and return its response."""
        try:
            handler, name = self.find_handler(request.method, request.target)
            body = await handler(name, request)
        except ChervilstageError as error:
            self.counters.add("platform_calls_refused", error.code)
            self.log_budget.log(
                "platform_call_refused",
                replica_clock(),
                level=logging.WARNING,
                call=f"{request.method} {request.target}",
                code=error.code,
                reason=error,
            )
            return HttpResponse(
                status=_status_of(error),
                headers=JSON_HEADERS,
                body=json.dumps({"Error": f"{error.code} {error}"}).encode(),
            )
        return HttpResponse(status=STATUS_OK, headers=JSON_HEADERS, body=body)

    async def put_configuration(self, name: str, request: HttpRequest) -> bytes:
        """Publish a routing table.

        :raises RoutingInvalidError: the table is malformed or inconsistent.
        """
        body = request.body
        routing = decode_routing(body)
        problems = routing_problems(routing)
        if problems:
            raise RoutingInvalidError(problems=problems[:MAXIMUM_PROBLEMS_SHOWN])
        if unknown := sum(r.kind is TrafficKind.UNKNOWN for r in routing.routes):
            log_event("route_kinds_unknown", version=routing.version, routes=unknown)
        digest = blake2b(body, digest_size=DIGEST_BYTES).hexdigest()
        change = _make_change(f"routing-{routing.version}-{digest}")
        document = RoutingDocument(version=routing.version, content=body)
        return await self.submit(change._replace(routing=document), request)

    async def get_configuration(self, name: str, request: HttpRequest) -> bytes:
        """Return the newest published routing table, byte for byte."""
        return await self.changes.routing()

    async def start_evacuation(self, zone: str, request: HttpRequest) -> bytes:
        """Take a data centre out of service."""
        taken_out = frozenset({self.require_data_centre(zone)})
        change = _make_change()._replace(taken_out=taken_out)
        return await self.submit(change, request)

    async def end_evacuation(self, zone: str, request: HttpRequest) -> bytes:
        """Bring a data centre back into service."""
        brought_back = frozenset({self.require_data_centre(zone)})
        change = _make_change()._replace(brought_back=brought_back)
        return await self.submit(change, request)

    def require_data_centre(self, zone: str) -> str:
        """Return the name of a data centre.

        :raises UnknownDataCentreError: the platform has no such data centre.
        """
        if zone not in self.data_centres:
            raise UnknownDataCentreError(data_centre=zone)
        return zone

    async def submit(self, change: Change, request: HttpRequest) -> bytes:
        """Submit a change, log its outcome and return an empty answer.

        :raises CallLateError: the caller has stopped waiting for the answer.
        :raises OperatorCallError: the change was refused, or its outcome is unknown.
        """
        started_at = replica_clock()
        outcome = await self.changes.submit(change, request.arrival)
        self.durations.observe(replica_clock() - started_at)
        log_event("change_settled", **outcome._asdict())
        if outcome.code:
            raise OperatorCallError(
                status=STATUS_INVALID,
                remote_code=outcome.code,
                message=outcome.message,
            )
        return EMPTY_OBJECT

    async def receive_heartbeat(self, instance_id: str, request: HttpRequest) -> bytes:
        """Record a target's announcement."""
        record = decode_heartbeat(
            instance_id, request.body, int(time.time() * MS_PER_SECOND)
        )
        self.require_data_centre(record.data_centre)
        await self.feed.announce(record)
        return EMPTY_OBJECT

    async def receive_leave(self, instance_id: str, request: HttpRequest) -> bytes:
        """Record that a target has left."""
        await self.feed.record_departure(
            parse_label(instance_id), decode_leave(request.body)
        )
        return EMPTY_OBJECT


def _make_change(operation_id: str = "") -> Change:
    """Return an empty change with the given operation id, or a new random one."""
    operation_id = operation_id or f"evacuation-{secrets.token_hex(DIGEST_BYTES)}"
    return Change(operation_id=operation_id, operator=OPERATOR, base_revision=None)


def _status_of(error: ChervilstageError) -> int:
    if error.retryable:
        return STATUS_UNAVAILABLE
    return STATUS_NOT_FOUND if isinstance(error, CallUnknownError) else STATUS_INVALID
