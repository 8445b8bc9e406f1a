"""Comparison of two configurations by key."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from ..state.configuration import Configuration


class Difference(NamedTuple):
    """A key whose value differs; an empty string stands for an absent key."""

    key: str
    before: str
    after: str


def differences(before: Configuration, after: Configuration) -> list[Difference]:
    """Return the differing keys of two configurations in sorted order."""
    old, new = _flat_values(before), _flat_values(after)
    return [
        Difference(key=key, before=old.get(key, ""), after=new.get(key, ""))
        for key in sorted(old.keys() | new.keys())
        if old.get(key) != new.get(key)
    ]


def describe(difference: Difference) -> str:
    """Return a difference as one line of text."""
    before = difference.before or "(absent)"
    after = difference.after or "(absent)"
    return f"{difference.key}: {before} -> {after}"


def _flat_values(configuration: Configuration) -> Mapping[str, str]:
    """Return every value of a configuration by its key."""
    flat: dict[str, str] = {}
    for data_centre in configuration.inventory.data_centres:
        _flatten(flat, f"data_centres.{data_centre.name}", data_centre._asdict())
    for service in configuration.inventory.services:
        _flatten(flat, f"services.{service.name}", service._asdict())
    for rules in configuration.rules.services:
        _flatten(flat, f"rules.{rules.service}", rules._asdict())
    for name in configuration.out:
        flat[f"out.{name}"] = "out of service"
    if configuration.routing is not None:
        flat["routing.version"] = str(configuration.routing.version)
    return flat


def _flatten(flat: dict[str, str], prefix: str, values: Mapping[str, object]) -> None:
    for field, value in values.items():
        flat[f"{prefix}.{field}"] = _text(value)


def _text(value: object) -> str:
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        return " ".join(_text(item) for item in value)
    if isinstance(value, tuple):
        return ", ".join(_text(item) for item in value) or "none"
    return str(value)
