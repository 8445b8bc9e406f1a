"""The configuration that operators change."""

from __future__ import annotations

from typing import NamedTuple


class DataCentre(NamedTuple):
    """A data centre of the inventory."""

    name: str
    region: str = ""


class Service(NamedTuple):
    """A service of the inventory.

    ``flow_idle_seconds`` is how long a flow may be idle before its pin expires.
    """

    name: str
    data_centres: tuple[str, ...]
    udp_port: int
    tcp_port: int
    slots: int = 4
    flow_idle_seconds: float = 300.0
    max_flows: int = 400_000


class Inventory(NamedTuple):
    """The data centres, and the services in them."""

    data_centres: tuple[DataCentre, ...] = ()
    services: tuple[Service, ...] = ()


class RequestMatch(NamedTuple):
    """A pattern of requests: a method and a prefix of the path."""

    method: str
    path_prefix: str


class ServiceRules(NamedTuple):
    """The rules of one service.

    ``retry_budget`` is the share of first attempts that may be retried;
    ``timeout_ms`` bounds a request that carries no deadline.
    """

    service: str
    idempotent: tuple[RequestMatch, ...] = ()
    retry_budget: float = 0.1
    timeout_ms: int = 5_000
    max_body_bytes: int = 8 * 1024 * 1024


class Rules(NamedTuple):
    """The rules that operators set for services."""

    services: tuple[ServiceRules, ...] = ()


class RoutingDocument(NamedTuple):
    """A routing table as an operator's system published it.

    The content is stored as it was sent, so that it can be read back unchanged; the
    front end that received it decodes it. The highest version is in force.
    """

    version: int
    content: bytes


class Configuration(NamedTuple):
    """One revision of the configuration.

    ``out`` names the data centres that are out of service.
    """

    revision: int = 0
    inventory: Inventory = Inventory()
    rules: Rules = Rules()
    out: frozenset[str] = frozenset()
    routing: RoutingDocument | None = None

    def service(self, name: str) -> Service | None:
        """Return the service with a name, if there is one."""
        for service in self.inventory.services:
            if service.name == name:
                return service
        return None

    def service_rules(self, name: str) -> ServiceRules:
        """Return the rules of a service, with defaults where none are set."""
        for rules in self.rules.services:
            if rules.service == name:
                return rules
        return ServiceRules(service=name)


class Change(NamedTuple):
    """A change that an operator requests.

    A field that is ``None`` is not changed. ``base_revision`` is the revision that the
    change is based on. If it is ``None``, the change is applied to the revision in
    force, which is safe for changes that may be concurrent: a routing table, of which
    the highest version wins, and ``taken_out`` and ``brought_back``, which name single
    data centres. A data centre that is taken out of service is added to the inventory
    if it is missing there.
    """

    operation_id: str
    operator: str
    base_revision: int | None
    inventory: Inventory | None = None
    rules: Rules | None = None
    out: frozenset[str] | None = None
    routing: RoutingDocument | None = None
    taken_out: frozenset[str] = frozenset()
    brought_back: frozenset[str] = frozenset()


class ChangeOutcome(NamedTuple):
    """The outcome of a change: an entry of the audit trail.

    ``code`` is empty if the change was accepted. ``at`` is when the leader received
    the change, in seconds since the epoch. ``difference`` describes what the change
    did, or would have done; ``data_centres`` names the data centres affected.
    """

    operation_id: str
    operator: str
    revision_before: int
    revision_after: int
    code: str
    message: str
    at: float = 0.0
    difference: str = ""
    data_centres: tuple[str, ...] = ()


def is_idempotent_by_rules(rules: ServiceRules, method: str, path: str) -> bool:
    """Return whether the operators' rules declare a request idempotent."""
    return any(
        match.method == method and path.startswith(match.path_prefix)
        for match in rules.idempotent
    )
