"""Rejection of delayed calls whose changes depend on the order of arrival."""

from __future__ import annotations

from ..errors.configuration import CallLateError
from ..state.configuration import Change

# A caller tries another replica after one second without an answer.
CALLER_TIMEOUT_SECONDS = 1.0


def is_order_dependent(change: Change) -> bool:
    """Return whether a delayed change could undo one accepted after it was sent.

    This applies to changes that take data centres out of service or bring them back
    without a base revision. A routing table carries a version, and other changes carry
    the revision that they are based on, so that an outdated one has no effect.
    """
    if change.base_revision is not None:
        return False
    return bool(change.taken_out or change.brought_back)


def check_caller_waits(
    change: Change, waited_seconds: float, has_caller_left: bool
) -> None:
    """Check that the caller of a change still waits for its outcome.

    :param waited_seconds: the upper bound of the time that the call has waited.
    :raises CallLateError: the change depends on its order and is too late.
    """
    if not is_order_dependent(change):
        return
    if has_caller_left:
        raise CallLateError(reason="its caller has closed the connection")
    if waited_seconds >= CALLER_TIMEOUT_SECONDS:
        raise CallLateError(reason=f"it may have waited for {waited_seconds:.3f} s")
