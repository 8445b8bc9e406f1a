"""Tests of the retry budget and of admission to the queue of a service."""

from __future__ import annotations

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from chervilstage.coordination.admission import (
    MAXIMUM_CONNECTIONS,
    MAXIMUM_WAITING_REQUESTS,
    admit_connection,
    admit_request,
    record_attempt_duration,
    record_permit,
)
from chervilstage.coordination.retry_policy import (
    RETRY_BUDGET_LIMIT,
    credit_retry_budget,
    try_consume_retry,
)
from chervilstage.errors.requests import ConnectionLimitError, OverloadedError
from chervilstage.state.outcomes import NotRun, Unknown
from chervilstage.state.request_load import RetryBudget, ServiceLoad

NOT_RUN, UNKNOWN = NotRun(reason="refused"), Unknown(reason="lost")


class RetryTests(TestCase):
    """Guards against retries that prolong an overload or run a request twice."""

    @given(st.lists(st.integers(0, 4), max_size=200), st.floats(0, 1))
    def test_retries_stay_within_the_budget(
        self, failures: list[int], share: float
    ) -> None:
        budget = RetryBudget(limit=RETRY_BUDGET_LIMIT)
        retries = 0
        for wanted in failures:
            credit_retry_budget(budget, share)
            retries += sum(
                try_consume_retry(budget, NOT_RUN, True, 1) for _ in range(wanted)
            )
        allowed = RETRY_BUDGET_LIMIT + share * len(failures)
        self.assertThat(retries, LessThan(allowed + 1e-6))

    def test_only_idempotent_or_unexecuted_requests_are_retried(self) -> None:
        cases = ((NOT_RUN, False, True), (UNKNOWN, True, True), (UNKNOWN, False, False))
        for outcome, idempotent, expected in cases:
            budget = RetryBudget(limit=RETRY_BUDGET_LIMIT)
            is_retried = try_consume_retry(budget, outcome, idempotent, 1.0)
            self.assertThat(is_retried, Equals(expected))

    def test_nothing_is_retried_at_the_deadline(self) -> None:
        budget = RetryBudget(limit=RETRY_BUDGET_LIMIT)
        self.assertThat(try_consume_retry(budget, NOT_RUN, True, 0.0), Equals(False))


class AdmissionTests(TestCase):
    """Guards against queues in which every request is answered too late."""

    def test_wait_leaves_time_for_the_attempt(self) -> None:
        load = ServiceLoad()
        for _ in range(200):
            record_attempt_duration(load, 0.3)
        wait = admit_request(load, "desk", 0.5)
        self.assertThat(wait, LessThan(0.5 - 0.3))

    def test_request_beyond_a_long_queue_is_refused_at_once(self) -> None:
        load = ServiceLoad()
        load.waiting = 50
        for number in range(200):
            record_permit(load, number * 0.1)
        self.assertRaises(OverloadedError, admit_request, load, "desk", 5.0)
        self.assertThat(admit_request(load, "desk", 60.0) > 5.0, Equals(True))

    def test_queue_and_connections_are_bounded(self) -> None:
        load = ServiceLoad()
        load.waiting = MAXIMUM_WAITING_REQUESTS
        self.assertRaises(OverloadedError, admit_request, load, "desk", 1e6)
        load.connections = MAXIMUM_CONNECTIONS
        admit_connection(load, "desk")
        load.connections += 1
        self.assertRaises(ConnectionLimitError, admit_connection, load, "desk")
