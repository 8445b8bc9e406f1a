"""Summaries of configuration changes for the audit trail."""

from __future__ import annotations

from typing import NamedTuple

from ..state.configuration import Configuration
from .key_differences import describe, differences

MAXIMUM_CHARACTERS = 400


class ChangeSummary(NamedTuple):
    """The difference as text, and the data centres that it affects."""

    text: str
    data_centres: tuple[str, ...]


def summarize(before: Configuration, after: Configuration) -> ChangeSummary:
    """Return a summary of the difference between two configurations."""
    text = "; ".join(map(describe, differences(before, after))) or "nothing"
    if len(text) > MAXIMUM_CHARACTERS:
        text = text[: MAXIMUM_CHARACTERS - 3] + "..."
    return ChangeSummary(text=text, data_centres=_affected_data_centres(before, after))


def _affected_data_centres(
    before: Configuration, after: Configuration
) -> tuple[str, ...]:
    old, new = before.inventory, after.inventory
    affected = set(before.out ^ after.out)
    affected.update(d.name for d in set(old.data_centres) ^ set(new.data_centres))
    for changed in set(old.services) ^ set(new.services):
        affected.update(changed.data_centres)
    names = {r.service for r in set(before.rules.services) ^ set(after.rules.services)}
    for name in names:
        service = after.service(name) or before.service(name)
        affected.update(service.data_centres if service else ())
    return tuple(sorted(affected))
