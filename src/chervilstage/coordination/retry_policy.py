"""Which attempts may be followed by another one."""

from __future__ import annotations

from ..state.outcomes import NotRun, Unknown
from ..state.request_load import RetryBudget

# Below this, no upstream is likely to answer before the deadline.
MINIMUM_SECONDS = 0.005
BUDGET_LIMIT = 10.0


def note_first_attempt(budget: RetryBudget, share: float) -> None:
    """Add the share of a retry that a first attempt earns."""
    budget.retries = min(budget.limit, budget.retries + share)


def take_retry(
    budget: RetryBudget, outcome: NotRun | Unknown, idempotent: bool, left: float
) -> bool:
    """Tell whether an attempt may be followed by another, and take it of the budget.

    :param idempotent: whether the operators' rules call the request idempotent.
    :param left: seconds until the caller's deadline.
    """
    if isinstance(outcome, Unknown) and not idempotent:
        return False
    if left < MINIMUM_SECONDS or budget.retries < 1:
        return False
    budget.retries -= 1
    return True
