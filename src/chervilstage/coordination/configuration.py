"""Validation and application of changes of the configuration."""

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
from ..state.configuration import (
    Change,
    ChangeOutcome,
    Configuration,
    DataCentre,
    Inventory,
    RoutingDocument,
)
from .change_summary import summarize
from .references import reference_problems

# Maximum number of conflicting changes that the error for an old revision lists.
MAXIMUM_LISTED_CONFLICTS = 3


def apply_change(applied: AppliedState, change: Change, at: float) -> ChangeOutcome:
    """Apply a change as a compare-and-set on the revision.

    A change with a known operation id gets its recorded outcome again. The result
    depends on the log alone, so that all replicas compute the same one.

    :param at: when the leader received the change, in seconds since the epoch.
    """
    known = applied.outcomes.get(change.operation_id)
    if known is not None:
        return known
    before = applied.configuration
    proposed_configuration = _changed_configuration(before, change)
    code, message = "", "accepted"
    try:
        _check_base(applied, change)
        problems = reference_problems(proposed_configuration)
        if problems:
            raise ChangeInvalidError(problems=problems)
    except ChervilstageError as error:
        code, message = error.code, str(error)
    else:
        applied.configuration = proposed_configuration
    summary = summarize(before, proposed_configuration)
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
    applied.record_outcome(outcome)
    return outcome


def check_resend(known: ChangeOutcome, operator: str) -> ChangeOutcome:
    """Return the recorded outcome of a change that is sent again.

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
    """Return the matching outcomes of the audit trail; an empty name matches all.

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
    if base is None or base == current:
        return
    conflicting = [
        outcome
        for outcome in applied.outcomes.values()
        if not outcome.code and base <= outcome.revision_before < outcome.revision_after
    ]
    listed = conflicting[-MAXIMUM_LISTED_CONFLICTS:]
    raise RevisionConflictError(
        base=base,
        current=current,
        operator=", ".join(outcome.operator for outcome in listed) or "unknown",
        at=", ".join(_iso_time(outcome.at) for outcome in listed) or "unknown",
        difference=" | ".join(outcome.difference for outcome in listed) or "unknown",
    )


def _iso_time(at: float) -> str:
    return datetime.fromtimestamp(at, UTC).isoformat(timespec="milliseconds")


def _changed_configuration(before: Configuration, change: Change) -> Configuration:
    inventory = before.inventory if change.inventory is None else change.inventory
    out = before.out if change.out is None else change.out
    proposed_configuration = before._replace(
        inventory=_with_data_centres(inventory, change.taken_out),
        rules=before.rules if change.rules is None else change.rules,
        out=(out | change.taken_out) - change.brought_back,
        routing=_newest_routing(before.routing, change.routing),
    )
    if change.base_revision is None and proposed_configuration == before:
        return before
    return proposed_configuration._replace(revision=before.revision + 1)


def _newest_routing(
    current: RoutingDocument | None, proposed: RoutingDocument | None
) -> RoutingDocument | None:
    """Return the routing table with the higher version, the current one on a tie."""
    if current is None or proposed is None:
        return current if proposed is None else proposed
    return proposed if proposed.version > current.version else current


def _with_data_centres(inventory: Inventory, names: frozenset[str]) -> Inventory:
    """Return the inventory with an entry for each of the named data centres."""
    missing = names - {d.name for d in inventory.data_centres}
    added = tuple(DataCentre(name=name) for name in sorted(missing))
    return inventory._replace(data_centres=inventory.data_centres + added)
