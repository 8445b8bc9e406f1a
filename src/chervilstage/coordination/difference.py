"""The difference between two revisions in words."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..state.configuration import Configuration, Service

MAXIMUM_CHARACTERS = 400


class Difference(NamedTuple):
    """What differs, and the data centres that it concerns."""

    text: str
    data_centres: tuple[str, ...]


def difference(before: Configuration, after: Configuration) -> Difference:
    """Describe the way from one configuration to another."""
    services = _services(before), _services(after)
    parts = _out_parts(before, after)
    parts += _named_parts("data centre", *_data_centres(before, after))
    parts += _named_parts("service", *services)
    parts += _named_parts("rules of", _rules(before), _rules(after))
    text = "; ".join(parts) or "nothing"
    if len(text) > MAXIMUM_CHARACTERS:
        text = text[: MAXIMUM_CHARACTERS - 3] + "..."
    return Difference(text=text, data_centres=_concerned(before, after))


def _out_parts(before: Configuration, after: Configuration) -> list[str]:
    parts = [f"{name} out of service" for name in sorted(after.out - before.out)]
    return parts + [f"{name} back" for name in sorted(before.out - after.out)]


def _named_parts(
    what: str, before: Mapping[str, NamedTuple], after: Mapping[str, NamedTuple]
) -> list[str]:
    parts = [f"{what} {name} added" for name in sorted(after.keys() - before.keys())]
    parts += [f"{what} {name} removed" for name in sorted(before.keys() - after.keys())]
    for name in sorted(before.keys() & after.keys()):
        if before[name] != after[name]:
            parts.append(f"{what} {name}: {_fields(before[name], after[name])}")
    return parts


def _fields(before: NamedTuple, after: NamedTuple) -> str:
    pairs = zip(before._asdict().items(), after, strict=True)
    return ", ".join(
        f"{key} {_value(old)} -> {_value(new)}"
        for (key, old), new in pairs
        if old != new
    )


def _value(value: object) -> str:
    if isinstance(value, tuple):
        return "[" + " ".join(_value(item) for item in value) + "]"
    return str(value)


def _services(configuration: Configuration) -> dict[str, Service]:
    return {s.name: s for s in configuration.inventory.services}


def _rules(configuration: Configuration) -> dict[str, NamedTuple]:
    return {r.service: r for r in configuration.rules.services}


def _data_centres(
    before: Configuration, after: Configuration
) -> tuple[dict[str, NamedTuple], dict[str, NamedTuple]]:
    return (
        {d.name: d for d in before.inventory.data_centres},
        {d.name: d for d in after.inventory.data_centres},
    )


def _concerned(before: Configuration, after: Configuration) -> tuple[str, ...]:
    found = set(before.out ^ after.out)
    old, new = _data_centres(before, after)
    found |= {
        name for name in old.keys() | new.keys() if old.get(name) != new.get(name)
    }
    changed = set(_services(before).values()) ^ set(_services(after).values())
    found.update(name for service in changed for name in service.data_centres)
    names = {r.service for r in set(before.rules.services) ^ set(after.rules.services)}
    for name in names:
        service = after.service(name) or before.service(name)
        found.update(service.data_centres if service else ())
    return tuple(sorted(found))
