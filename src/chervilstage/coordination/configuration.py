"""The decision whether a change of the configuration is accepted."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import UTC, datetime

from ..errors import ChervilstageError
from ..errors.configuration import (
    ChangeInvalidError,
    OperationReusedError,
    RevisionConflictError,
)
from ..state.applied import AppliedState
from ..state.configuration import Change, ChangeOutcome, Configuration
from .change_summary import summarize
from .references import reference_problems

SHOWN_WINNERS = 3


def apply_change(applied: AppliedState, change: Change, at: float) -> ChangeOutcome:
    """Apply a change as a compare-and-set on the revision.

    A change whose operation id is known gets its first outcome again. The result
    depends on the log alone, so that all replicas reach the same one.

    :param at: when the leader took the change, in seconds since the epoch.
    """
    known = applied.outcomes.get(change.operation_id)
    if known is not None:
        return known
    before = applied.configuration
    wanted = _changed(before, change)
    code, message = "", "accepted"
    try:
        _check_base(applied, change)
        problems = reference_problems(wanted)
        if problems:
            raise ChangeInvalidError(problems=problems)
    except ChervilstageError as error:
        code, message = error.code, str(error)
    else:
        applied.configuration = wanted
    summary = summarize(before, wanted)
    outcome = ChangeOutcome(
        operation_id=change.operation_id,
        operator=change.operator,
        revision_before=before.revision,
        revision_after=applied.configuration.revision,
        code=code,
        message=message,
        at=at,
        difference=summary.text,
        data_centres=summary.data_centres,
    )
    applied.remember(outcome)
    return outcome


def check_resend(known: ChangeOutcome, operator: str) -> ChangeOutcome:
    """Return the first outcome of a change that is sent again.

    :raises OperationReusedError: the operation id belongs to another operator.
    """
    if known.operator != operator:
        raise OperationReusedError(
            operation_id=known.operation_id, operator=known.operator
        )
    return known


def select_outcomes(
    outcomes: Iterable[ChangeOutcome],
    *,
    since: float,
    until: float,
    operator: str,
    data_centre: str,
) -> list[ChangeOutcome]:
    """Return the entries of the audit trail that match; empty names match all.

    :param since: seconds since the epoch, as ``until``.
    """
    return [
        outcome
        for outcome in outcomes
        if since <= outcome.at <= until
        and operator in ("", outcome.operator)
        and (not data_centre or data_centre in outcome.data_centres)
    ]


def _check_base(applied: AppliedState, change: Change) -> None:
    current = applied.configuration.revision
    base = change.base_revision
    if base == current:
        return
    winners = [
        outcome
        for outcome in applied.outcomes.values()
        if not outcome.code and base <= outcome.revision_before < outcome.revision_after
    ]
    shown = winners[-SHOWN_WINNERS:]
    raise RevisionConflictError(
        base=base,
        current=current,
        operator=", ".join(outcome.operator for outcome in shown) or "unknown",
        at=", ".join(_time(outcome.at) for outcome in shown) or "unknown",
        difference=" | ".join(outcome.difference for outcome in shown) or "unknown",
    )


def _time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def _changed(before: Configuration, change: Change) -> Configuration:
    return Configuration(
        revision=before.revision + 1,
        inventory=before.inventory if change.inventory is None else change.inventory,
        rules=before.rules if change.rules is None else change.rules,
        out=before.out if change.out is None else change.out,
    )
