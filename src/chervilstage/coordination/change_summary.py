"""What a change did, for the audit trail."""

from __future__ import annotations

from typing import NamedTuple

from ..state.configuration import Configuration
from .key_differences import describe, differences

MAXIMUM_CHARACTERS = 400


class ChangeSummary(NamedTuple):
    """The difference in words, and the data centres that it concerns."""

    text: str
    data_centres: tuple[str, ...]


def summarize(before: Configuration, after: Configuration) -> ChangeSummary:
    """Describe the way from one configuration to another."""
    text = "; ".join(map(describe, differences(before, after))) or "nothing"
    if len(text) > MAXIMUM_CHARACTERS:
        text = text[: MAXIMUM_CHARACTERS - 3] + "..."
    return ChangeSummary(text=text, data_centres=_concerned(before, after))


def _concerned(before: Configuration, after: Configuration) -> tuple[str, ...]:
    old, new = before.inventory, after.inventory
    found = set(before.out ^ after.out)
    found.update(d.name for d in set(old.data_centres) ^ set(new.data_centres))
    for changed in set(old.services) ^ set(new.services):
        found.update(changed.data_centres)
    names = {r.service for r in set(before.rules.services) ^ set(after.rules.services)}
    for name in names:
        service = after.service(name) or before.service(name)
        found.update(service.data_centres if service else ())
    return tuple(sorted(found))
