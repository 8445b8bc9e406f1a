"""The HTTP/1.1 front ends: relay requests to upstreams and answers to callers."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
import h11
from anyio import CancelScope
from anyio.abc import ByteStream, SocketListener, TaskGroup

from ..coordination.admission import admit_connection
from ..coordination.record_ownership import unsent_outcome
from ..errors import ChervilstageError
from ..errors.requests import (
    CallerLeftError,
    ConnectionLimitError,
    RequestNotRunError,
)
from ..protocol.request_headers import (
    ATTEMPT_HEADER,
    KEY_HEADER,
    TIMEOUT_HEADER,
    end_to_end_fields,
    positive_int_header,
)
from ..state.configuration import Service, is_idempotent_by_rules
from ..state.counters import Counters
from ..state.outcomes import Answered, KeyedRequest, NotRun, Outcome
from .accepting import accept_until_stopped
from .answer_relay import AnswerRelay
from .caller_watch import cancel_on_disconnect
from .event_log import log_event
from .http_connection import HttpConnection, HttpResponse, header_map
from .http_server import send_response
from .open_connections import OpenConnections
from .outcome_responses import failure_response, outcome_response
from .request_body import check_head, read_body_prefix, read_whole_body
from .service_requests import ServiceRequests
from .upstream_exchange import CONNECTION_ERRORS, Exchange, OutgoingRequest

MAXIMUM_TIMEOUT_MS = 3_600_000

SubmitKeyed = Callable[[KeyedRequest], Awaitable[Outcome]]


class HttpFrontEnd:
    """Relays the requests of one service.

    :param host: the address at which this entry accepts callers.
    :param submit: runs a non-idempotent request that carries a key.
    """

    def __init__(
        self,
        *,
        host: str,
        service: Service,
        requests: ServiceRequests,
        counters: Counters,
        submit: SubmitKeyed,
    ) -> None:
        self.host = host
        self.service = service
        self.requests = requests
        self.counters = counters
        self.submit = submit
        self.feed_stop_requested = anyio.Event()
        self.connections = OpenConnections()

    async def serve_connection(self, stream: ByteStream) -> None:
        """Relay the requests on the connection of one caller."""
        load = self.requests.load
        async with stream:
            connection = HttpConnection(stream=stream, role=h11.SERVER)
            load.connections += 1
            try:
                admit_connection(load, self.service.name)
                is_first = True
                while await self.serve_request(connection, is_first):
                    is_first = False
            except ConnectionLimitError as error:
                self.record_failure(error)
                with suppress(*CONNECTION_ERRORS, h11.LocalProtocolError):
                    await send_response(connection, failure_response(error))
            except (*CONNECTION_ERRORS, TimeoutError, h11.LocalProtocolError) as error:
                self.counters.add("caller_connections_cut", type(error).__name__)
                log_event(
                    "caller_connection_cut",
                    level=logging.WARNING,
                    service=self.service.name,
                    reason=repr(error),
                )
            except Exception as error:
                # An unexpected error on one connection must not end the others.
                self.counters.add("caller_connections_cut", "fault")
                log_event(
                    "connection_fault",
                    level=logging.ERROR,
                    service=self.service.name,
                    reason=repr(error),
                )
            finally:
                load.connections -= 1

    async def serve_request(self, connection: HttpConnection, is_first: bool) -> bool:
        """Relay one request and return whether the connection can be reused."""
        try:
            request = await self.connections.next_request(connection, is_first)
            if request is None:
                return False
            with self.connections.count_request():
                await self.relay(connection, request)
        except CallerLeftError as error:
            self.record_failure(error)
            return False
        except ChervilstageError as error:
            self.record_failure(error)
            if connection.codec.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
                return False
            await self.reply(connection, failure_response(error))
        return not self.connections.stopping and connection.can_continue()

    def record_failure(self, error: ChervilstageError) -> None:
        """Count and log a request that failed."""
        self.counters.add("requests_failed", error.code)
        log_event(
            "request_failed",
            level=logging.WARNING,
            service=self.service.name,
            code=error.code,
            reason=error,
        )

    async def relay(self, caller: HttpConnection, request: h11.Request) -> None:
        """Run a request and send its outcome to the caller.

        :raises ChervilstageError: the request is refused, or its answer was truncated.
        """
        check_head(request)
        headers = header_map(request.headers)
        method = request.method.decode("ascii")
        target = request.target.decode("ascii")
        rules = self.requests.rules()
        timeout_ms = positive_int_header(headers, TIMEOUT_HEADER, rules.timeout_ms)
        timeout_ms = min(timeout_ms, MAXIMUM_TIMEOUT_MS)
        idempotent = is_idempotent_by_rules(rules, method, target)
        if KEY_HEADER in headers and not idempotent:
            await self.relay_keyed(caller, request, timeout_ms)
            return
        deadline = anyio.current_time() + timeout_ms / 1000
        body, remaining_body = await read_body_prefix(
            caller, request, rules.max_body_bytes, deadline
        )
        outgoing = OutgoingRequest(
            method=method,
            target=target,
            headers=end_to_end_fields(request.headers),
            body=body,
            remaining_body=remaining_body,
            caller=caller,
        )
        result = await self.requests.run_attempts(outgoing, deadline, idempotent)
        if not isinstance(result, Exchange):
            await self.reply_outcome(caller, result)
            return
        relay = AnswerRelay(
            requests=self.requests,
            exchange=result,
            caller=caller,
            is_stopping=lambda: self.connections.stopping,
            feed_stop_requested=self.feed_stop_requested,
        )
        await relay.run()
        self.counters.add("requests_answered", self.service.name)

    async def relay_keyed(
        self, caller: HttpConnection, request: h11.Request, timeout_ms: int
    ) -> None:
        """Run a request that carries an idempotency key, at most once."""
        headers = header_map(request.headers)
        started_at = anyio.current_time()
        rules = self.requests.rules()
        attempt = positive_int_header(headers, ATTEMPT_HEADER, 0)
        try:
            body = await read_whole_body(
                caller, request, rules.max_body_bytes, started_at + timeout_ms / 1000
            )
        except RequestNotRunError as error:
            await self.reply_outcome(caller, unsent_outcome(attempt, str(error)))
            return
        elapsed_ms = int((anyio.current_time() - started_at) * 1000)
        fields = end_to_end_fields(request.headers)
        excluded_headers = ("transfer-encoding", "content-length", ATTEMPT_HEADER)
        keyed = KeyedRequest(
            key=headers[KEY_HEADER],
            service=self.service.name,
            method=request.method.decode("ascii"),
            target=request.target.decode("ascii"),
            headers=tuple((n, v) for n, v in fields if n not in excluded_headers),
            body=body,
            attempt=attempt,
            timeout_ms=max(1, timeout_ms - elapsed_ms),
        )
        outcome = await cancel_on_disconnect(caller, lambda: self.submit(keyed))
        await self.reply_outcome(caller, outcome)

    async def reply_outcome(self, caller: HttpConnection, outcome: Outcome) -> None:
        """Count an outcome and send it to the caller, with the whole answer if any."""
        kind = type(outcome).__name__.lower()
        if isinstance(outcome, Answered):
            self.counters.add("requests_answered", self.service.name)
        else:
            self.counters.add("request_outcomes", f"{self.service.name} {kind}")
            # An overload causes thousands of refusals; the counters report them.
            level = logging.DEBUG if isinstance(outcome, NotRun) else logging.WARNING
            log_event(
                "request_not_answered",
                level=level,
                service=self.service.name,
                outcome=kind,
                reason=outcome.reason,
            )
        await self.reply(caller, outcome_response(outcome))

    async def reply(self, caller: HttpConnection, response: HttpResponse) -> None:
        """Send a whole response, and close the connection after it during a stop."""
        if self.connections.stopping:
            headers = {**response.headers, "connection": "close"}
            response = response._replace(headers=headers)
        await send_response(caller, response)

    async def listen(self, scope: CancelScope) -> None:
        """Accept callers; cancelling the scope also ends their connections."""
        (listener,) = (
            await anyio.create_tcp_listener(
                local_host=self.host, local_port=self.service.tcp_port
            )
        ).listeners
        assert isinstance(listener, SocketListener)
        log_event(
            "request_front_end_listening",
            service=self.service.name,
            address=f"{self.host}:{self.service.tcp_port}",
        )
        with scope:
            async with anyio.create_task_group() as group, listener:
                await accept_until_stopped(
                    listener,
                    self.serve_connection,
                    group,
                    self.connections.accept_scope,
                )

    def start(self, group: TaskGroup) -> CancelScope:
        """Start listening and return a scope that ends it when cancelled."""
        scope = CancelScope()
        group.start_soon(self.listen, scope)
        return scope

    async def wait_drained(self, include_feeds: bool) -> None:
        """Wait until no request is in progress or may still arrive.

        A feed is waited for like any other request until it has been open for long
        enough to count as a feed.

        :param include_feeds: whether to wait for the end of feeds as well.
        """
        load = self.requests.load
        await self.connections.wait_drained(lambda: 0 if include_feeds else load.feeds)
