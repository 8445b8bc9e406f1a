"""Invalid announcements and configurations from senders that are not targets."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import all_items, record_feed_query
from chervilstage.platform.control_calls import ControlCalls
from chervilstage.protocol.feed_messages import (
    decode_feed_answer,
    encode_feed_answer,
)
from chervilstage.state.configuration import Configuration, RoutingDocument
from chervilstage.state.counters import Counters
from chervilstage.state.replica import Replica, Snapshot, StoredReplica, Vote
from chervilstage.state.replica_set import ReplicaSet
from chervilstage.state.upstream_feed import UpstreamFeed
from chervilstage.transport.change_calls import ChangeCalls
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.feed_server import FeedServer
from chervilstage.transport.http_connection import HttpRequest
from chervilstage.transport.upstream_store import UpstreamStore
from testing.support.feed_queries import RUN, make_query

from .test_documents import CONFIGURATION, HEARTBEAT, encode, problems_of

DATA_CENTRES = frozenset({"gl-erie", "gl-huron"})
VALID_HEARTBEAT = {**HEARTBEAT, "Address": "10.128.0.1:8080"}
LARGEST_COUNT = (1 << 63) - 1
NESTING_DEPTH = 100_000
# Values that JSON allows and targets never send, by field.
INVALID_VALUES: dict[str, list[Any]] = {
    "Service": ["\ud800", "d" * 2_000_000, ""],
    "Zone": ["\ud800", "gl-nowhere", "z" * 2_000_000, "", "gl-erie\n"],
    "Version": ["\udfff", "v" * 2_000_000],
    "Address": [
        "0.0.0.0:8080",
        "255.255.255.255:8080",
        "224.0.0.1:8080",
        "10.128.9:8080",
        "0x0a.128.0.9:8080",
        "10.128.0.9:8_080",
        "10.128.0.9: 8080",
        "10.128.0.9:٨٠",
        "10.128.0.9:0",
        "10.128.0.9:65536",
        "10.128.0.9:-1",
    ],
    "Sequence": [LARGEST_COUNT, 1 << 64, 10**4000, 1e999],
    "born": [LARGEST_COUNT, 4_000_000_000_000, 1e999, -1],
    "Slots": [LARGEST_COUNT, 10**4000, 0.5],
    "ColdRemainingMs": [1e999, 10**400, -0.5],
}
INVALID_HEARTBEATS = [
    pytest.param({**HEARTBEAT, field: value}, id=f"{field}-{number}")
    for field, values in INVALID_VALUES.items()
    for number, value in enumerate(values)
]
UNREADABLE_BODIES = {
    "nested list": b"[" * NESTING_DEPTH,
    "nested field": encode(HEARTBEAT)[:-1]
    + b', "x": '
    + b"[" * NESTING_DEPTH
    + b"]" * NESTING_DEPTH
    + b"}",
    "long number": encode(HEARTBEAT).replace(b'"Slots": 4', b'"Slots": ' + b"9" * 5000),
    "not a number": encode(HEARTBEAT).replace(b'"Slots": 4', b'"Slots": NaN'),
    "not text": b"\xff\xfe\xfd",
    "cut short": encode(HEARTBEAT)[:-9],
}


def make_calls(folder: Path) -> ControlCalls:
    """Return the calls to a replica whose feed one entry follows."""
    snapshot = Snapshot(position=1, term=1, members=ReplicaSet(members=()))
    replica = Replica(
        stored=StoredReplica(
            identity=1, vote=Vote(term=1), snapshot=snapshot, entries=()
        ),
        now=replica_clock(),
        election_at=0.0,
        max_outcomes=1,
    )
    replica.applied.configuration = Configuration(
        revision=1, routing=RoutingDocument(version=1, content=b"")
    )
    server = FeedServer(
        feed=UpstreamFeed(run=RUN),
        driver=cast(Any, SimpleNamespace(replica=replica)),
        frames=cast(Any, SimpleNamespace(register=lambda kind, handler: None)),
        services_of=lambda document: frozenset({"desk", "\ud800", "d" * 2_000_000}),
        store=UpstreamStore(folder=folder),
    )
    record_feed_query(server.feed, make_query(0), replica_clock())
    return ControlCalls(
        changes=cast(ChangeCalls, None),
        feed=server,
        data_centres=DATA_CENTRES,
        counters=Counters(),
    )


def announce(calls: ControlCalls, *bodies: bytes) -> list[int]:
    """Send heartbeats of targets and return the status of each answer."""
    statuses = []

    async def main() -> None:
        for number, body in enumerate(bodies, start=1):
            target = f"/instances/i-{number:x}/heartbeat"
            request = HttpRequest(method="POST", target=target, headers={}, body=body)
            answer = await calls.handle_request(request)
            assert len(answer.body) <= 4096
            statuses.append(answer.status)

    anyio.run(main)
    return statuses


def announced_hosts(calls: ControlCalls) -> list[str]:
    """Return the hosts announced to entries; they must match the saved records."""
    server = calls.feed
    assert server.store.save(all_items(server.feed, replica_clock()))
    answer = encode_feed_answer(server.make_answer(make_query(0)))
    assert len(answer) < 4096
    announced = [item.record for item in decode_feed_answer(answer).items]
    saved = [item.record for item in server.store.load()]
    assert announced == saved
    return sorted(record.identity.address.host for record in announced)


@pytest.mark.parametrize("heartbeat", INVALID_HEARTBEATS)
def test_invalid_announcement_is_refused_and_the_others_are_kept(
    tmp_path: Path, heartbeat: dict[str, Any]
) -> None:
    """Guards against one invalid announcement that crashes every replica in turn."""
    calls = make_calls(tmp_path)
    assert announce(
        calls, encode(VALID_HEARTBEAT), encode(heartbeat), encode(VALID_HEARTBEAT)
    ) == [200, 400, 200]
    assert announced_hosts(calls) == ["10.128.0.1"]


@pytest.mark.parametrize(
    "body", UNREADABLE_BODIES.values(), ids=UNREADABLE_BODIES.keys()
)
def test_unreadable_announcement_is_refused_and_the_others_are_kept(
    tmp_path: Path, body: bytes
) -> None:
    """Guards against an unreadable body that crashes every replica in turn."""
    calls = make_calls(tmp_path)
    assert announce(calls, encode(VALID_HEARTBEAT), body) == [200, 400]
    assert announced_hosts(calls) == ["10.128.0.1"]


def test_long_invalid_value_is_not_logged_in_full(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against megabytes of log output from one invalid announcement."""
    caplog.set_level("INFO")
    calls = make_calls(tmp_path)
    heartbeats = [
        {**HEARTBEAT, "Slots": "4" * 2_000_000},
        {**HEARTBEAT, "Zone": [0] * 9999},
    ]
    heartbeats += [{**HEARTBEAT, "State": "s" * 2_000_000}]
    announce(calls, *(encode(heartbeat) for heartbeat in heartbeats))
    assert len(caplog.records) == len(heartbeats)
    assert max(len(str(record.msg)) for record in caplog.records) < 2_000


INVALID_ROUTE_FIELDS: list[dict[str, Any]] = [
    {"PathPrefix": "/99999/"},
    {"PathPrefix": "/-5/"},
    {"PathPrefix": "/8_443/"},
    {"PathPrefix": "/٨٤٤٣/"},
    {"PathPrefix": "/0/"},
    {"Host": "198.18.0.300"},
    {"Host": "198.18.1"},
    {"Name": "\ud800"},
    {"Name": "n" * 2_000_000},
    {"TimeoutMs": 1e999},
    {"Priority": 1 << 70},
]


@pytest.mark.parametrize("changes", INVALID_ROUTE_FIELDS, ids=lambda c: str(c)[:30])
def test_configuration_with_an_invalid_route_is_refused(
    changes: dict[str, Any],
) -> None:
    """Guards against a routing table that entries cannot apply."""
    route = {**CONFIGURATION["Routes"][0], **changes}
    assert problems_of({**CONFIGURATION, "Routes": [route]})


@pytest.mark.parametrize("name", ["\ud800", "s" * 2_000_000, ""])
def test_configuration_with_an_invalid_service_name_is_refused(name: str) -> None:
    """Guards against a service that no target can announce."""
    service = {**CONFIGURATION["Services"][0], "Name": name}
    route = {**CONFIGURATION["Routes"][0], "Service": name}
    document = {**CONFIGURATION, "Routes": [route], "Services": [service]}
    assert problems_of(json.loads(json.dumps(document)))
