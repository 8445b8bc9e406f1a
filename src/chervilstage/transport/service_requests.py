"""The attempts of one service: permits, deadlines, retries and their counters."""

from __future__ import annotations

from collections.abc import Callable

import anyio

from ..coordination.admission import admit_request, note_permit, note_work
from ..coordination.retry_policy import (
    BUDGET_LIMIT,
    note_first_attempt,
    take_retry,
)
from ..errors import ChervilstageError
from ..errors.requests import OverloadedError
from ..errors.upstreams import NoUpstreamError
from ..state.capacity import AttemptResult, Permit
from ..state.configuration import ServiceRules
from ..state.counters import Counters
from ..state.outcomes import Answered, NotRun, Outcome, Unknown
from ..state.request_load import RequestLoad, RetryBudget
from ..state.types import Address
from .capacity import UpstreamCapacity
from .upstream_exchange import (
    CLOSED,
    Ended,
    Exchange,
    OutgoingRequest,
    begin_exchange,
    read_answer,
)
from .upstream_pool import UpstreamPool, discard

MAXIMUM_RECORDED_ANSWER_BYTES = 1024 * 1024
MAXIMUM_ATTEMPTS = 4


class ServiceRequests:
    """Sends the requests of one service to its upstreams.

    :param rules: returns the rules of the service in force.
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
        self.load = RequestLoad()
        self.budget = RetryBudget(limit=BUDGET_LIMIT)

    async def begin(
        self,
        request: OutgoingRequest,
        deadline: float,
        idempotent: bool,
    ) -> Exchange | NotRun | Unknown:
        """Send a request until an answer begins or no further attempt may be made.

        A request that is not idempotent goes out on a new connection, because a kept
        one that the upstream has just closed would leave its outcome unknown. One that
        got an answer of another attempt goes out again on a new connection, once
        without a charge: nothing says that the upstream is overloaded.
        """
        note_first_attempt(self.budget, self.rules().retry_budget)
        excluded: frozenset[Address] = frozenset()
        last: Unknown | None = None
        fresh = not idempotent
        for attempt in range(1, MAXIMUM_ATTEMPTS + 1):
            try:
                permit = await self.acquire(excluded, deadline)
            except (NoUpstreamError, OverloadedError) as error:
                self.counters.add("requests_shed", f"{self.name} {error.code}")
                return last or NotRun(reason=str(error))
            begun = await self.attempt(permit, request, deadline, fresh)
            if isinstance(begun, Exchange):
                return begun
            self.counters.add("attempts_failed", f"{self.name} {begun.result.value}")
            last = begun.outcome if isinstance(begun.outcome, Unknown) else last
            left = deadline - anyio.current_time()
            replayable = request.rest is None and attempt < MAXIMUM_ATTEMPTS
            if begun.is_crossed and replayable and not fresh:
                fresh = True
                self.counters.add("requests_retried", self.name)
                continue
            if not replayable or not take_retry(
                self.budget, begun.outcome, idempotent, left
            ):
                return last or begun.outcome
            self.counters.add("requests_retried", self.name)
            if isinstance(begun.outcome, NotRun):
                excluded |= {permit.upstream.identity.address}
        return last or NotRun(reason="every upstream asked refused")

    async def attempt(
        self, permit: Permit, request: OutgoingRequest, deadline: float, fresh: bool
    ) -> Exchange | Ended:
        """Make one attempt; its permit goes back unless an answer has begun."""
        result: AttemptResult | None = AttemptResult.CANCELLED
        try:
            begun = await begin_exchange(self.pool, permit, request, deadline, fresh)
            result = begun.result if isinstance(begun, Ended) else None
            return begun
        finally:
            if result is not None:
                self.release(permit, result)

    def release(
        self, permit: Permit, result: AttemptResult, is_feed: bool = False
    ) -> None:
        """Give a permit back.

        :param is_feed: the answer goes on; its duration says nothing of the work.
        """
        seconds = anyio.current_time() - permit.granted_at
        self.load.in_flight -= 1
        if result is AttemptResult.SUCCEEDED and not is_feed:
            note_work(self.load, seconds)
        self.capacity.release(permit=permit, result=result, seconds=seconds)

    async def acquire(self, excluded: frozenset[Address], deadline: float) -> Permit:
        """Wait for a permit.

        :raises OverloadedError: too many requests wait already.
        :raises NoUpstreamError: no permit came early enough.
        """
        now = anyio.current_time()
        wait = admit_request(self.load, self.name, deadline - now)
        self.load.waiting += 1
        try:
            permit = await self.capacity.acquire(
                service=self.name, excluded=excluded, deadline=now + wait
            )
        finally:
            self.load.waiting -= 1
        self.load.in_flight += 1
        note_permit(self.load, anyio.current_time())
        return permit

    async def run_whole(
        self, request: OutgoingRequest, deadline: float, idempotent: bool = False
    ) -> Outcome:
        """Send a request and return its whole answer."""
        begun = await self.begin(request, deadline, idempotent)
        if not isinstance(begun, Exchange):
            return begun
        result = AttemptResult.FAILED
        try:
            with anyio.fail_after(deadline - anyio.current_time()):
                answer = await read_answer(begun, MAXIMUM_RECORDED_ANSWER_BYTES)
            result = AttemptResult.SUCCEEDED
            await self.pool.give(begun.permit.upstream, begun.connection)
        except TimeoutError:
            result = AttemptResult.TIMED_OUT
            return Unknown(reason="the answer did not end before the deadline")
        except (*CLOSED, ChervilstageError) as error:
            return Unknown(reason=f"{type(error).__name__} {error}")
        finally:
            self.release(begun.permit, result)
            if result is not AttemptResult.SUCCEEDED:
                await discard(begun.connection)
        return Answered(answer=answer)
