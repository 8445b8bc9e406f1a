"""Retries of failed attempts within a retry budget."""

from __future__ import annotations

from ..state.outcomes import NotRun, Unknown
from ..state.request_load import RetryBudget

# With less time left, no upstream is likely to answer before the deadline.
MINIMUM_REMAINING_SECONDS = 0.005
# Maximum number of retries that a service can save up.
RETRY_BUDGET_LIMIT = 10.0


def credit_retry_budget(budget: RetryBudget, share: float) -> None:
    """Add the fraction of a retry that a first attempt earns to the budget."""
    budget.retries = min(budget.limit, budget.retries + share)


def try_consume_retry(
    budget: RetryBudget,
    outcome: NotRun | Unknown,
    idempotent: bool,
    remaining_seconds: float,
) -> bool:
    """Return whether an attempt may be retried, and deduct the retry from the budget.

    :param idempotent: whether the operators' rules declare the request idempotent.
    :param remaining_seconds: time until the caller's deadline.
    """
    if isinstance(outcome, Unknown) and not idempotent:
        return False
    if remaining_seconds < MINIMUM_REMAINING_SECONDS or budget.retries < 1:
        return False
    budget.retries -= 1
    return True
