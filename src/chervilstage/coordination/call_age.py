"""Whether a call is still carried out by the time that a process gets to it."""

from __future__ import annotations

from ..errors.configuration import CallLateError
from ..state.configuration import Change

# A caller moves on to another replica after a second without an answer.
ANSWER_SECONDS = 1.0


def depends_on_order(change: Change) -> bool:
    """Tell whether a late change could undo one that was accepted after it was sent.

    Routing tables have versions, and other changes the revision they were made from.
    """
    if change.base_revision is not None:
        return False
    return bool(change.taken_out or change.brought_back)


def check_awaited(change: Change, waited: float, has_caller_left: bool) -> None:
    """Check that the caller of a change still waits for its outcome.

    :param waited: how long the call may have waited so far, in seconds.
    :raises CallLateError: the change depends on its order and comes too late.
    """
    if not depends_on_order(change):
        return
    if has_caller_left:
        raise CallLateError(reason="its caller has closed the connection")
    if waited >= ANSWER_SECONDS:
        raise CallLateError(reason=f"it may have waited for {waited:.3f} s")
