"""The routing table, which maps front-end addresses to services."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from .types import Address

Endpoint = bytes
"""An IPv4 address and a port in network byte order."""

ENDPOINT_BYTES = 6


class TrafficKind(StrEnum):
    """The kind of requests inside the flows of a route.

    Requests of a download are idempotent and have large answers. Requests of an unknown
    kind must not be repeated.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    UPLOAD = "upload"
    DOWNLOAD = "download"
    UNKNOWN = "unknown"


class ServiceShare(NamedTuple):
    """A service and its weight among the services of a route."""

    service: str
    weight: int


class Route(NamedTuple):
    """The services that receive the new flows to a front-end address.

    ``objective_seconds`` is the latency that callers expect; ``priority`` 0 is the
    highest.
    """

    name: str
    address: Address
    kind: TrafficKind
    timeout_seconds: float
    objective_seconds: float
    priority: int
    shares: tuple[ServiceShare, ...]


class RoutedService(NamedTuple):
    """A service of the routing table.

    ``max_flows`` is the capacity of one upstream. An upstream is cold for
    ``cold_seconds`` after its start and supports ``cold_flows_per_second`` meanwhile.
    """

    name: str
    health_path: str
    max_flows: int
    cold_seconds: float
    cold_flows_per_second: float


class Routing(NamedTuple):
    """One version of the routing table."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[RoutedService, ...]
    flow_idle_seconds: float


def endpoint_of(address: Address) -> Endpoint:
    """Return the bytes of an address whose host is an IPv4 address."""
    host = bytes(int(part) for part in address.host.split("."))
    return host + address.port.to_bytes(2, "big")
