"""The decision whether a change of the configuration is accepted."""

from __future__ import annotations

from typing import NamedTuple

from ..errors import ChervilstageError
from ..errors.configuration import ChangeInvalidError, RevisionConflictError
from ..state.configuration import Change, ChangeOutcome, Configuration
from .references import reference_problems


class ConfigurationState(NamedTuple):
    """The configuration in force and the outcomes of past changes, oldest first."""

    configuration: Configuration = Configuration()
    outcomes: tuple[ChangeOutcome, ...] = ()


def apply_change(
    state: ConfigurationState, change: Change
) -> tuple[ConfigurationState, ChangeOutcome]:
    """Apply a change as a compare-and-set on the revision.

    A change whose operation id is known gets its first outcome again.
    """
    for outcome in reversed(state.outcomes):
        if outcome.operation_id == change.operation_id:
            return state, outcome
    before = state.configuration
    try:
        _check_base(state, change)
        after = _changed(before, change)
        problems = reference_problems(after)
        if problems:
            raise ChangeInvalidError(problems=problems)
    except ChervilstageError as error:
        after = before
        outcome = _outcome(change, before, after, error.code, str(error))
    else:
        outcome = _outcome(change, before, after, "", "accepted")
    return (
        ConfigurationState(configuration=after, outcomes=(*state.outcomes, outcome)),
        outcome,
    )


def _outcome(
    change: Change, before: Configuration, after: Configuration, code: str, message: str
) -> ChangeOutcome:
    return ChangeOutcome(
        operation_id=change.operation_id,
        operator=change.operator,
        revision_before=before.revision,
        revision_after=after.revision,
        code=code,
        message=message,
    )


def _check_base(state: ConfigurationState, change: Change) -> None:
    current = state.configuration.revision
    if change.base_revision == current:
        return
    operator = next((o.operator for o in reversed(state.outcomes) if not o.code), "")
    raise RevisionConflictError(
        base=change.base_revision, current=current, operator=operator
    )


def _changed(before: Configuration, change: Change) -> Configuration:
    return Configuration(
        revision=before.revision + 1,
        inventory=change.inventory or before.inventory,
        rules=change.rules or before.rules,
        out=before.out if change.out is None else change.out,
    )
