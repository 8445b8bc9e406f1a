"""Deployments within what the platform's pages allow, none of which was seen before."""

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

from chervilstage.coordination.relay_directory import put_routing
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
MOST_TARGETS = 60
MOST_IDLE_ROUTES = 150
FLOWS = 12
ANSWER_BYTES = 600
REQUEST_BYTES = 400


class Deployment(NamedTuple):
    """The documents of a deployment, as the platform writes them."""

    configuration: dict[str, Any]
    heartbeats: dict[str, dict[str, Any]]
    settings: dict[str, Any]


def _maybe(draw: DrawFn, item: dict[str, Any], key: str, value: Any) -> None:
    """Set an optional field, or leave it out."""
    if draw(booleans()):
        item[key] = value


@composite
def services_of(draw: DrawFn) -> list[dict[str, Any]]:
    """Draw the services of a configuration."""
    services = []
    for number in range(draw(integers(1, 5))):
        service: dict[str, Any] = {"Name": f"service{number}"}
        _maybe(draw, service, "HealthPath", "/health")
        _maybe(draw, service, "ConnectionLimit", draw(integers(1, 10_000)))
        _maybe(draw, service, "Protocol", "h1")
        _maybe(draw, service, "ColdStartS", draw(sampled_from([0, 2, 2.5])))
        _maybe(draw, service, "ColdPerS", draw(sampled_from([0, 0.0, 4, 0.5])))
        services.append(service)
    return services


@composite
def route_of(draw: DrawFn, number: int, names: list[str]) -> dict[str, Any]:
    """Draw a route to one or more services."""
    route: dict[str, Any] = {
        "Name": f"r-{number}",
        "Host": f"198.18.{number // 250}.{number % 250 + 1}",
        "PathPrefix": f"/{draw(integers(1, 65_535))}/",
        "Kind": draw(sampled_from(KINDS)),
        "TimeoutMs": draw(one_of(integers(1, 60_000), floats(0.5, 60_000))),
    }
    _maybe(draw, route, "AimMs", draw(integers(0, 5_000)))
    _maybe(draw, route, "Priority", draw(integers(0, 9)))
    _maybe(draw, route, "Attempts", 2)
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
    services = draw(services_of())
    names = [service["Name"] for service in services]
    used = [draw(route_of(number, names)) for number in range(draw(integers(1, 4)))]
    idle_count = draw(integers(0, MOST_IDLE_ROUTES))
    idle = [
        {**used[0], "Name": f"idle-{n}", "Host": f"198.19.{n // 250}.{n % 250 + 1}"}
        for n in range(idle_count)
    ]
    configuration = {
        "Version": draw(integers(1, 1 << 40)),
        "Routes": used + idle,
        "Services": services,
    }
    limits = draw(one_of(none(), just({}), just({"IdleTimeoutMs": 15_000})))
    if limits is not None:
        configuration["Limits"] = limits
    heartbeats = {}
    targets = draw(integers(len(names), MOST_TARGETS))
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
        settings=draw(settings_of(zones)),
    )


@composite
def settings_of(draw: DrawFn, zones: dict[str, str]) -> dict[str, Any]:
    """Draw the settings of an entry."""
    limits: dict[str, Any] = {"CpuShare": 0.4, "Cores": 1}
    _maybe(draw, limits, "LinkMbps", draw(one_of(integers(1, 3_000), floats(1, 3_000))))
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
    _maybe(draw, settings, "Limits", limits)
    return settings


def encode(document: Any) -> bytes:
    """Return the JSON encoding of a document."""
    return json.dumps(document).encode()


def read(document: dict[str, Any]) -> NodeSettings:
    """Read settings as a daemon does."""
    with TemporaryDirectory() as folder:
        path = Path(folder) / "settings.json"
        path.write_bytes(encode(document))
        return read_settings(path)


def make_entry(
    routing: Routing, records: list[UpstreamRecord], own: NodeSettings
) -> RelayDriver:
    """Return the relay of an entry that has heard of everything."""
    driver = RelayDriver(records=records, name=own.name)
    driver.state.data_centre = own.data_centre
    driver.state.link.bytes_per_second = own.link_bytes_per_second
    put_routing(driver.state, routing, driver.now)
    return driver


def serve_flows(entry: RelayDriver, routing: Routing, flows: int) -> Counter[str]:
    """Open flows on each route, send a request on each and let it be answered.

    :returns: the services that took the flows.
    """
    taken: Counter[str] = Counter()
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
            taken[record.identity.service] += 1
    return taken


@given(deployment=deployments())
@settings(max_examples=60, deadline=None)
def test_a_deployment_that_the_pages_allow_is_taken_and_served(
    deployment: Deployment,
) -> None:
    """Guards against a product that only serves the deployments it was tried on."""
    routing = decode_routing(encode(deployment.configuration))
    assert routing_problems(routing) == []
    assert len(routing.routes) == len(deployment.configuration["Routes"])
    records = [
        decode_heartbeat(label, encode(heartbeat), NOW_MS)
        for label, heartbeat in deployment.heartbeats.items()
    ]
    own = read(deployment.settings)
    entry = make_entry(routing, records, own)
    entry.state.announcement_seconds = own.announcement_seconds
    used = routing._replace(
        routes=tuple(r for r in routing.routes if not r.name.startswith("idle"))
    )
    taken = serve_flows(entry, used, FLOWS)
    assert sum(taken.values()) == FLOWS * len(used.routes)
    loads = entry.state.loads.values()
    assert all(load.in_flight == 0 for load in loads)
