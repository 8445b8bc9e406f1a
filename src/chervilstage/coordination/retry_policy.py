"""Retries of failed attempts within a retry budget."""

from __future__ import annotations

from ..state.outcomes import NotRun, Unknown
from ..state.request_load import RetryBudget

# With less time left, no upstream is likely to answer before the deadline.
MINIMUM_REMAINING_SECONDS = 0.005
BUDGET_LIMIT = 10.0


def credit_retry_budget(budget: RetryBudget, share: float) -> None:
    """Add the fraction of a retry that each first attempt allows to the budget."""
    budget.retries = min(budget.limit, budget.retries + share)


def try_consume_retry(
    budget: RetryBudget, outcome: NotRun | Unknown, idempotent: bool, left: float
) -> bool:
    """Return whether an attempt may be retried, and deduct the retry from the budget.

    :param idempotent: whether the operators' rules declare the request idempotent.
    :param left: seconds until the caller's deadline.
    """
    if isinstance(outcome, Unknown) and not idempotent:
        return False
    if left < MINIMUM_REMAINING_SECONDS or budget.retries < 1:
        return False
    budget.retries -= 1
    return True
