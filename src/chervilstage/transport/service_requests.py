"""The attempts of one service: permits, deadlines, retries and their counters."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..coordination.admission import (
    admit_request,
    record_attempt_duration,
    record_permit,
)
from ..coordination.retry_policy import (
    RETRY_BUDGET_LIMIT,
    credit_retry_budget,
    try_consume_retry,
)
from ..errors import ChervilstageError
from ..errors.requests import OverloadedError
from ..errors.upstreams import NoUpstreamError
from ..state.capacity import AttemptResult, Permit
from ..state.configuration import ServiceRules
from ..state.counters import Counters
from ..state.outcomes import Answered, NotRun, Outcome, Unknown
from ..state.request_load import RetryBudget, ServiceLoad
from ..state.types import Address
from .capacity import UpstreamCapacity
from .upstream_exchange import (
    CONNECTION_ERRORS,
    Exchange,
    OutgoingRequest,
    UnansweredAttempt,
    begin_exchange,
    read_answer,
)
from .upstream_pool import UpstreamPool, discard

MAXIMUM_RECORDED_ANSWER_BYTES = 1024 * 1024
MAXIMUM_ATTEMPTS = 4


class ServiceRequests:
    """Sends the requests of one service to its upstreams.

    :param rules: returns the current rules of the service.
    """

    def __init__(
        self,
        *,
        name: str,
        rules: Callable[[], ServiceRules],
        capacity: UpstreamCapacity,
        pool: UpstreamPool,
        counters: Counters,
    ) -> None:
        self.name = name
        self.rules = rules
        self.capacity = capacity
        self.pool = pool
        self.counters = counters
        self.load = ServiceLoad()
        self.budget = RetryBudget(limit=RETRY_BUDGET_LIMIT)

    async def run_attempts(
        self,
        request: OutgoingRequest,
        deadline: float,
        idempotent: bool,
    ) -> Exchange | NotRun | Unknown:
        """Send a request until an answer begins or no further attempt may be made.

        A request that is not idempotent is sent on a new connection, because a pooled
        one that the upstream has just closed would leave its outcome unknown. A request
        that received the answer to another attempt is sent again on a new connection,
        once without using the retry budget: this does not indicate an overload.
        """
        credit_retry_budget(self.budget, self.rules().retry_budget)
        excluded: frozenset[Address] = frozenset()
        last_unknown: Unknown | None = None
        must_connect = not idempotent
        for attempt in range(1, MAXIMUM_ATTEMPTS + 1):
            try:
                permit = await self.acquire_permit(excluded, deadline)
            except (NoUpstreamError, OverloadedError) as error:
                self.counters.add("requests_shed", f"{self.name} {error.code}")
                return last_unknown or NotRun(reason=str(error))
            exchange_or_failure = await self.make_attempt(
                permit, request, deadline, must_connect
            )
            if isinstance(exchange_or_failure, Exchange):
                return exchange_or_failure
            self.counters.add(
                "attempts_failed", f"{self.name} {exchange_or_failure.result.value}"
            )
            last_unknown = (
                exchange_or_failure.outcome
                if isinstance(exchange_or_failure.outcome, Unknown)
                else last_unknown
            )
            remaining_seconds = deadline - anyio.current_time()
            can_replay = request.remaining_body is None and attempt < MAXIMUM_ATTEMPTS
            if (
                exchange_or_failure.is_mismatched_answer
                and can_replay
                and not must_connect
            ):
                must_connect = True
                self.counters.add("requests_retried", self.name)
                continue
            if not can_replay or not try_consume_retry(
                self.budget, exchange_or_failure.outcome, idempotent, remaining_seconds
            ):
                return last_unknown or exchange_or_failure.outcome
            self.counters.add("requests_retried", self.name)
            if isinstance(exchange_or_failure.outcome, NotRun):
                excluded |= {permit.upstream.identity.address}
        return last_unknown or NotRun(reason="every upstream asked refused")

    async def make_attempt(
        self,
        permit: Permit,
        request: OutgoingRequest,
        deadline: float,
        must_connect: bool,
    ) -> Exchange | UnansweredAttempt:
        """Make one attempt; release its permit unless an answer has begun."""
        result: AttemptResult | None = AttemptResult.CANCELLED
        try:
            exchange_or_failure = await begin_exchange(
                self.pool, permit, request, deadline, must_connect
            )
            result = (
                exchange_or_failure.result
                if isinstance(exchange_or_failure, UnansweredAttempt)
                else None
            )
            return exchange_or_failure
        finally:
            if result is not None:
                self.release_permit(permit, result)

    def release_permit(
        self, permit: Permit, result: AttemptResult, is_feed: bool = False
    ) -> None:
        """Release a permit.

        :param is_feed: the answer continues, so its duration does not measure the work.
        """
        seconds = anyio.current_time() - permit.granted_at
        self.load.in_flight -= 1
        if result is AttemptResult.SUCCEEDED and not is_feed:
            record_attempt_duration(self.load, seconds)
        self.capacity.release(permit=permit, result=result, seconds=seconds)

    async def acquire_permit(
        self, excluded: frozenset[Address], deadline: float
    ) -> Permit:
        """Wait for a permit.

        :raises OverloadedError: too many requests are waiting already.
        :raises NoUpstreamError: no permit was granted in time.
        """
        now = anyio.current_time()
        wait_seconds = admit_request(self.load, self.name, deadline - now)
        self.load.waiting += 1
        try:
            permit = await self.capacity.acquire(
                service=self.name, excluded=excluded, deadline=now + wait_seconds
            )
        finally:
            self.load.waiting -= 1
        self.load.in_flight += 1
        record_permit(self.load, anyio.current_time())
        return permit

    async def run_to_completion(
        self, request: OutgoingRequest, deadline: float, idempotent: bool = False
    ) -> Outcome:
        """Send a request and return its outcome, with the whole answer if any."""
        exchange = await self.run_attempts(request, deadline, idempotent)
        if not isinstance(exchange, Exchange):
            return exchange
        result = AttemptResult.FAILED
        try:
            with anyio.fail_after(deadline - anyio.current_time()):
                answer = await read_answer(exchange, MAXIMUM_RECORDED_ANSWER_BYTES)
            result = AttemptResult.SUCCEEDED
            await self.pool.return_connection(
                exchange.permit.upstream, exchange.connection
            )
        except TimeoutError:
            result = AttemptResult.TIMED_OUT
            return Unknown(reason="the answer did not end before the deadline")
        except (*CONNECTION_ERRORS, ChervilstageError) as error:
            return Unknown(reason=f"{type(error).__name__} {error}")
        finally:
            self.release_permit(exchange.permit, result)
            if result is not AttemptResult.SUCCEEDED:
                await discard(exchange.connection)
        return Answered(answer=answer)
