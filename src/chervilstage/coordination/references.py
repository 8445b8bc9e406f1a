"""Validation of references between the parts of a configuration."""

from __future__ import annotations

from ..state.configuration import Configuration


def reference_problems(configuration: Configuration) -> list[str]:
    """Return one ``key: reason`` message for each reference to an unknown name."""
    inventory = configuration.inventory
    data_centres = {d.name for d in inventory.data_centres}
    services = {s.name for s in inventory.services}
    problems = [
        f"services.{s.name}.data_centres: unknown data centre {name}"
        for s in inventory.services
        for name in s.data_centres
        if name not in data_centres
    ]
    problems += [
        f"rules.services: unknown service {r.service}"
        for r in configuration.rules.services
        if r.service not in services
    ]
    problems += [
        f"rules.out: unknown data centre {name}"
        for name in sorted(configuration.out - data_centres)
    ]
    return problems
