"""Validation of routing tables."""

from __future__ import annotations

from collections import Counter
from ipaddress import AddressValueError, IPv4Address

from ..state.names import is_valid_name
from ..state.routing import Route, Routing

HIGHEST_PORT = 65_535
# Maximum number of characters shown of an invalid name.
MAXIMUM_SHOWN_CHARACTERS = 80


def routing_problems(routing: Routing) -> list[str]:
    """Return one ``key: reason`` message for each error in a routing table."""
    services = {service.name for service in routing.services}
    problems = [
        problem
        for route in routing.routes
        for problem in _route_problems(route, services)
    ]
    address_counts = Counter(route.address for route in routing.routes)
    problems += [
        f"routes: {count} routes for {address.host}:{address.port}"
        for address, count in address_counts.items()
        if count > 1
    ]
    problems += [
        f"services: {_printable(service.name)} is no name"
        for service in routing.services
        if not is_valid_name(service.name)
    ]
    name_counts = Counter(service.name for service in routing.services)
    problems += [
        f"services.{name}: appears {count} times"
        for name, count in name_counts.items()
        if count > 1
    ]
    return problems


def _route_problems(route: Route, services: set[str]) -> list[str]:
    if not is_valid_name(route.name):
        return [f"routes: {_printable(route.name)} is no name"]
    key = f"routes.{route.name}"
    problems = [
        f"{key}: unknown service {_printable(share.service)}"
        for share in route.shares
        if share.service not in services
    ]
    if not any(share.weight > 0 for share in route.shares):
        problems.append(f"{key}: no service has a weight")
    if any(share.weight < 0 for share in route.shares):
        problems.append(f"{key}: a weight is negative")
    if route.timeout_seconds <= 0:
        problems.append(f"{key}: the timeout is not positive")
    if not 0 < route.address.port <= HIGHEST_PORT:
        problems.append(f"{key}: no such port {route.address.port}")
    try:
        IPv4Address(route.address.host)
    except AddressValueError:
        problems.append(f"{key}: {_printable(route.address.host)} is no IPv4 address")
    return problems


def _printable(name: str) -> str:
    return name if is_valid_name(name) else ascii(name[:MAXIMUM_SHOWN_CHARACTERS])
