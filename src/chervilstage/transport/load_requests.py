"""Callers of a load run that send requests and uploads."""

from __future__ import annotations

import hashlib
import time

import anyio
import h11
from anyio.abc import TaskGroup

from ..coordination.load_checks import (
    ExpectedAnswer,
    RequestContent,
    RequestIdentity,
    check_answer,
    classify_attempt,
)
from ..coordination.load_schedule import (
    ScheduledRequest,
    make_idempotency_key,
    next_entry,
    packet_body,
    request_schedule,
)
from ..errors.requests import MalformedRequestError
from ..errors.settings import DocumentError
from ..protocol.load_answers import decode_request_answer
from ..state.load_plan import LoadPlan, RequestLoad
from ..state.load_results import (
    AnswerFault,
    AttemptRecord,
    CallerOutcome,
    CallerRequestRecord,
    Finding,
    LoadResults,
)
from ..state.types import Address
from .event_log import log_event
from .http_client import MAXIMUM_ANSWER_BYTES
from .http_connection import HttpConnection, HttpResponse, header_list, header_map

CONNECT_TIMEOUT_SECONDS = 1.0
RETRY_DELAY_SECONDS = 0.05
DISCONNECT_DELAY_SECONDS = 0.005
OUTCOME_SERIES = {outcome: outcome.value.replace("_", " ") for outcome in CallerOutcome}


class RequestCaller:
    """One caller and its request, with all attempts.

    :param due_at: when the request was due, in seconds of the wall clock.
    """

    def __init__(
        self,
        *,
        plan: LoadPlan,
        scheduled: ScheduledRequest,
        results: LoadResults,
        due_at: float,
    ) -> None:
        self.load: RequestLoad = plan.requests[scheduled.load]
        self.plan = plan
        self.scheduled = scheduled
        self.results = results
        self.due_at = due_at
        self.name = f"{self.load.name}-{scheduled.number}"
        self.home = plan.entries[scheduled.entries[0]].data_centre
        self.key = ""
        if self.load.keyed:
            self.key = make_idempotency_key(
                int(time.time() * 1000), self.home, scheduled.token
            )
        self.body = packet_body(plan.seed, self.name, 0, self.load.body_bytes)
        self.is_answer_correct = True

    async def run(self) -> None:
        """Send the request until it is answered or the caller gives up."""
        attempts: list[AttemptRecord] = []
        entry: int | None = self.scheduled.entries[0]
        while entry is not None:
            host = self.plan.entries[entry].host
            name = f"{self.name}.{len(attempts) + 1}"
            outcome = await self.attempt(host, name, len(attempts) + 1)
            attempts.append(AttemptRecord(name=name, entry=host, outcome=outcome))
            entry = next_entry(self.load, self.scheduled, len(attempts), outcome)
            if entry is not None:
                await anyio.sleep(RETRY_DELAY_SECONDS)
        self.record_result(tuple(attempts))

    def record_result(self, attempts: tuple[AttemptRecord, ...]) -> None:
        """Record the result of the request."""
        seconds = time.time() - self.due_at
        outcome = attempts[-1].outcome
        answered = outcome is CallerOutcome.ANSWERED
        self.results.increment_series(OUTCOME_SERIES[outcome], time.time())
        if answered:
            self.results.add_latency(f"requests {self.load.name}", seconds)
        self.results.requests.append(
            CallerRequestRecord(
                load=self.load.name,
                key=self.key,
                home=self.home,
                due_at=self.due_at,
                seconds=seconds,
                in_time=answered
                and self.is_answer_correct
                and seconds * 1000 <= self.load.timeout_ms,
                attempts=attempts,
            )
        )

    async def attempt(self, host: str, name: str, number: int) -> CallerOutcome:
        """Send the request once and return the outcome."""
        address = Address(host=host, port=self.load.port)
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                stream = await anyio.connect_tcp(*address)
        except (OSError, TimeoutError):
            return CallerOutcome.UNREACHABLE
        async with stream:
            connection = HttpConnection(stream=stream, role=h11.CLIENT)
            try:
                with anyio.fail_after(self.load.patience_ms / 1000):
                    return await self.exchange(connection, address, name, number)
            except TimeoutError:
                return CallerOutcome.TIMED_OUT
            except (
                OSError,
                anyio.BrokenResourceError,
                MalformedRequestError,
            ) as error:
                self.results.increment_series("cut attempts", time.time())
                log_event("attempt_cut", attempt=name, entry=host, reason=repr(error))
                return CallerOutcome.CUT

    async def exchange(
        self, connection: HttpConnection, address: Address, name: str, number: int
    ) -> CallerOutcome:
        """Send the request over an open connection and check the answer."""
        sent_at = time.time()
        request = h11.Request(
            method=self.load.method,
            target=self.load.path,
            headers=header_list(self.headers(address, name, number)),
        )
        await connection.send(request)
        if self.scheduled.half_sent:
            await connection.send(h11.Data(data=self.body[: len(self.body) // 2]))
            return CallerOutcome.HALF_SENT
        if self.body:
            await connection.send(h11.Data(data=self.body))
        await connection.send(h11.EndOfMessage())
        if self.scheduled.leaves:
            await anyio.sleep(DISCONNECT_DELAY_SECONDS)
            return CallerOutcome.LEFT
        event = await connection.next_event()
        if not isinstance(event, h11.Response):
            raise anyio.BrokenResourceError
        answer = HttpResponse(
            status=event.status_code,
            headers=header_map(event.headers),
            body=await connection.read_body(MAXIMUM_ANSWER_BYTES),
        )
        return self.check_response(answer, sent_at)

    def headers(self, address: Address, name: str, number: int) -> dict[str, str]:
        """Return the headers of an attempt."""
        headers = {
            "host": f"{address.host}:{address.port}",
            "content-length": str(len(self.body)),
            "chervilstage-timeout-ms": str(self.load.timeout_ms),
            "chervilstage-attempt": str(number),
            "load-service": self.load.service,
            "load-request": self.name,
            "load-attempt": name,
            "load-answer-bytes": str(self.load.answer_bytes),
        }
        if self.key:
            headers["idempotency-key"] = self.key
        return headers

    def check_response(self, answer: HttpResponse, sent_at: float) -> CallerOutcome:
        """Check an answer and return the outcome of the attempt."""
        outcome = classify_attempt(
            answer.status, answer.headers.get("chervilstage-outcome", "")
        )
        if outcome is not CallerOutcome.ANSWERED:
            return outcome
        now = time.time()
        try:
            content = decode_request_answer(answer.body)
        except DocumentError as error:
            detail = f"{self.name}: {error}"
            findings = [Finding(fault=AnswerFault.DAMAGED, at=now, detail=detail)]
        else:
            findings = check_answer(self.expected_answer(), content, now)
            self.results.count_answer(content.upstream, sent_at)
            upstream = (self.load.service, content.upstream.address)
            self.results.answered_by[upstream] += 1
        self.is_answer_correct = not findings
        for finding in findings:
            self.results.record_finding(finding)
        return outcome

    def expected_answer(self) -> ExpectedAnswer:
        """Return the expected content of the answer."""
        return ExpectedAnswer(
            service=self.load.service,
            identity=RequestIdentity(
                method=self.load.method,
                target=self.load.path,
                key=self.key,
                request=self.name,
            ),
            content=RequestContent(
                body_bytes=len(self.body),
                body_hash=hashlib.sha256(self.body).hexdigest(),
                answer_bytes=self.load.answer_bytes,
            ),
        )


async def run_requests(
    group: TaskGroup, plan: LoadPlan, results: LoadResults, started: float
) -> None:
    """Start each request at its time, whatever the outcome of the others.

    :param started: the start of the run, in seconds of the event loop's clock.
    """
    started_at = time.time() - anyio.current_time() + started
    for scheduled in request_schedule(plan):
        await anyio.sleep(max(0.0, started + scheduled.at - anyio.current_time()))
        caller = RequestCaller(
            plan=plan,
            scheduled=scheduled,
            results=results,
            due_at=started_at + scheduled.at,
        )
        group.start_soon(caller.run)
