"""Random deployments that the platform's documentation allows."""

from __future__ import annotations

import json
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any, NamedTuple

from hypothesis import given, settings
from hypothesis.strategies import (
    DrawFn,
    booleans,
    composite,
    floats,
    integers,
    just,
    lists,
    none,
    one_of,
    sampled_from,
)

from chervilstage.coordination.relay_directory import apply_routing
from chervilstage.coordination.routing import routing_problems
from chervilstage.platform.documents import decode_heartbeat, decode_routing
from chervilstage.platform.settings import NodeSettings, read_settings
from chervilstage.state.packet_decisions import Forward
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from testing.support.token_relays import RelayDriver

BORN_MS = 1_782_625_681_850
NOW_MS = BORN_MS + 60_000
KINDS = ("safe", "unsafe", "upload", "download")
MAXIMUM_TARGETS = 60
MAXIMUM_IDLE_ROUTES = 150
FLOWS_PER_ROUTE = 12
ANSWER_BYTES = 600
REQUEST_BYTES = 400


class Deployment(NamedTuple):
    """The documents of a deployment, as the platform writes them."""

    configuration: dict[str, Any]
    heartbeats: dict[str, dict[str, Any]]
    settings: dict[str, Any]


def _set_or_omit(draw: DrawFn, item: dict[str, Any], key: str, value: Any) -> None:
    """Set an optional field or omit it, at random."""
    if draw(booleans()):
        item[key] = value


@composite
def service_lists(draw: DrawFn) -> list[dict[str, Any]]:
    """Draw the services of a configuration."""
    services = []
    for number in range(draw(integers(1, 5))):
        service: dict[str, Any] = {"Name": f"service{number}"}
        _set_or_omit(draw, service, "HealthPath", "/health")
        _set_or_omit(draw, service, "ConnectionLimit", draw(integers(1, 10_000)))
        _set_or_omit(draw, service, "Protocol", "h1")
        _set_or_omit(draw, service, "ColdStartS", draw(sampled_from([0, 2, 2.5])))
        _set_or_omit(draw, service, "ColdPerS", draw(sampled_from([0, 0.0, 4, 0.5])))
        services.append(service)
    return services


@composite
def route_documents(draw: DrawFn, number: int, names: list[str]) -> dict[str, Any]:
    """Draw a route to one or more services."""
    route: dict[str, Any] = {
        "Name": f"r-{number}",
        "Host": f"198.18.{number // 250}.{number % 250 + 1}",
        "PathPrefix": f"/{draw(integers(1, 65_535))}/",
        "Kind": draw(sampled_from(KINDS)),
        "TimeoutMs": draw(one_of(integers(1, 60_000), floats(0.5, 60_000))),
    }
    _set_or_omit(draw, route, "AimMs", draw(integers(0, 5_000)))
    _set_or_omit(draw, route, "Priority", draw(integers(0, 9)))
    _set_or_omit(draw, route, "Attempts", 2)
    shares = draw(lists(sampled_from(names), min_size=1, max_size=3, unique=True))
    if len(shares) == 1 and draw(booleans()):
        route["Service"] = shares[0]
        return route
    weights = [draw(integers(0, 100)) for _ in shares]
    weights[0] = max(1, weights[0])
    route["Split"] = [
        {"Service": name, "Weight": weight}
        for name, weight in zip(shares, weights, strict=True)
    ]
    return route


@composite
def deployments(draw: DrawFn) -> Deployment:
    """Draw a deployment."""
    zones = {f"zone{n}": f"region{n % 3}" for n in range(draw(integers(1, 8)))}
    services = draw(service_lists())
    names = [service["Name"] for service in services]
    active_routes = [
        draw(route_documents(number, names)) for number in range(draw(integers(1, 4)))
    ]
    idle_count = draw(integers(0, MAXIMUM_IDLE_ROUTES))
    idle_routes = [
        {
            **active_routes[0],
            "Name": f"idle-{n}",
            "Host": f"198.19.{n // 250}.{n % 250 + 1}",
        }
        for n in range(idle_count)
    ]
    configuration = {
        "Version": draw(integers(1, 1 << 40)),
        "Routes": active_routes + idle_routes,
        "Services": services,
    }
    limits = draw(one_of(none(), just({}), just({"IdleTimeoutMs": 15_000})))
    if limits is not None:
        configuration["Limits"] = limits
    heartbeats = {}
    targets = draw(integers(len(names), MAXIMUM_TARGETS))
    for number in range(targets):
        heartbeats[f"i-{number + 1:x}"] = {
            "Service": names[number % len(names)],
            "Address": f"10.{number % 8}.1.{number + 1}:{draw(integers(1, 65_535))}",
            "Zone": draw(sampled_from(sorted(zones))),
            "Version": draw(sampled_from(["v1", "v2.0"])),
            "Slots": draw(integers(1, 64)),
            "State": "ready",
            "ColdRemainingMs": 0,
            "Sequence": draw(integers(0, 50)),
            "born": BORN_MS,
        }
    return Deployment(
        configuration=configuration,
        heartbeats=heartbeats,
        settings=draw(settings_documents(zones)),
    )


@composite
def settings_documents(draw: DrawFn, zones: dict[str, str]) -> dict[str, Any]:
    """Draw the settings of an entry."""
    limits: dict[str, Any] = {"CpuShare": 0.4, "Cores": 1}
    _set_or_omit(
        draw, limits, "LinkMbps", draw(one_of(integers(1, 3_000), floats(1, 3_000)))
    )
    settings = {
        "NodeName": "front-1",
        "Zone": draw(sampled_from(sorted(zones))),
        "Zones": zones,
        "IpAddress": "10.1.0.10",
        "InternalPorts": [7720, 7735],
        "Seeds": ["10.1.0.12:8166", "10.2.0.41:8166"][: draw(integers(0, 2))],
        "Bootstrap": draw(booleans()),
        "Tolerance": {"Machines": draw(integers(0, 3)), "Zones": 1, "Regions": 0},
        "Bounds": {"GraceS": draw(sampled_from([3, 6, 7.5]))},
        "HeartbeatIntervalMs": draw(integers(200, 5_000)),
        "DataDirectory": None,
        "Listen": {"DatagramAddress": "10.1.0.10:8172", "Ready": "10.1.0.10:8167"},
    }
    _set_or_omit(draw, settings, "Limits", limits)
    return settings


def encode(document: Any) -> bytes:
    """Return the JSON encoding of a document."""
    return json.dumps(document).encode()


def read_entry_settings(document: dict[str, Any]) -> NodeSettings:
    """Read settings as a daemon does."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(encode(document))
        return read_settings(path)


def make_entry(
    routing: Routing, records: list[UpstreamRecord], entry_settings: NodeSettings
) -> RelayDriver:
    """Return the relay of an entry that knows the routing table and all records."""
    driver = RelayDriver(records=records, name=entry_settings.name)
    driver.state.data_centre = entry_settings.data_centre
    driver.state.link.bytes_per_second = entry_settings.link_bytes_per_second
    apply_routing(driver.state, routing, driver.now)
    return driver


def serve_flows(entry: RelayDriver, routing: Routing, flows: int) -> Counter[str]:
    """Open flows on each route and complete one request on each flow.

    :returns: the number of flows that each service got.
    """
    flows_by_service: Counter[str] = Counter()
    port = 30_000
    for route in routing.routes:
        for _ in range(flows):
            port += 1
            opened = entry.send(port, opening=True, front=route.address)
            assert isinstance(opened, Forward), (route, opened)
            assert opened.token is not None
            entry.now += 0.01
            first = entry.send(
                port,
                front=route.address,
                token=opened.token,
                size=REQUEST_BYTES,
                acknowledged=1,
            )
            assert isinstance(first, Forward), (route, first)
            assert first.address == opened.address
            entry.now += 0.05
            last = entry.send(
                port,
                front=route.address,
                token=first.token or opened.token,
                sequence=1 + REQUEST_BYTES,
                acknowledged=1 + ANSWER_BYTES,
                ending=True,
            )
            assert isinstance(last, Forward), (route, last)
            record = entry.state.registry.records[opened.address]
            weights = {share.service: share.weight for share in route.shares}
            assert weights.get(record.identity.service, 0) > 0
            flows_by_service[record.identity.service] += 1
    return flows_by_service


@given(deployment=deployments())
@settings(max_examples=60, deadline=None)
def test_any_documented_deployment_is_accepted_and_served(
    deployment: Deployment,
) -> None:
    """Guards against refusing an allowed deployment that no other test uses."""
    routing = decode_routing(encode(deployment.configuration))
    assert routing_problems(routing) == []
    assert len(routing.routes) == len(deployment.configuration["Routes"])
    records = [
        decode_heartbeat(instance_id, encode(heartbeat), NOW_MS)
        for instance_id, heartbeat in deployment.heartbeats.items()
    ]
    entry_settings = read_entry_settings(deployment.settings)
    entry = make_entry(routing, records, entry_settings)
    entry.state.announcement_seconds = entry_settings.announcement_seconds
    active_routing = routing._replace(
        routes=tuple(r for r in routing.routes if not r.name.startswith("idle"))
    )
    flows_by_service = serve_flows(entry, active_routing, FLOWS_PER_ROUTE)
    assert sum(flows_by_service.values()) == FLOWS_PER_ROUTE * len(
        active_routing.routes
    )
    loads = entry.state.loads.values()
    assert all(load.in_flight == 0 for load in loads)
