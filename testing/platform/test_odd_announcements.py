"""Announcements and configurations of other writers beside those of targets."""

from __future__ import annotations

import json
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import anyio
import pytest

from chervilstage.coordination.upstream_feed import all_items, note_query
from chervilstage.platform.control_calls import ControlCalls
from chervilstage.protocol.feed_messages import (
    decode_feed_answer,
    encode_feed_answer,
)
from chervilstage.state.configuration import Configuration, RoutingDocument
from chervilstage.state.counters import Counters
from chervilstage.state.replica import Replica, Snapshot, Stored, Vote
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
GOOD = {**HEARTBEAT, "Address": "10.128.0.1:8080"}
LARGEST_COUNT = (1 << 63) - 1
NESTED = 100_000
# Values that JSON texts can hold and targets never send, by field.
ODD: dict[str, list[Any]] = {
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
ODD_ENTRIES = [
    pytest.param({**HEARTBEAT, field: value}, id=f"{field}-{number}")
    for field, values in ODD.items()
    for number, value in enumerate(values)
]
ODD_BODIES = {
    "nested list": b"[" * NESTED,
    "nested field": encode(HEARTBEAT)[:-1]
    + b', "x": '
    + b"[" * NESTED
    + b"]" * NESTED
    + b"}",
    "long number": encode(HEARTBEAT).replace(b'"Slots": 4', b'"Slots": ' + b"9" * 5000),
    "not a number": encode(HEARTBEAT).replace(b'"Slots": 4', b'"Slots": NaN'),
    "not text": b"\xff\xfe\xfd",
    "cut short": encode(HEARTBEAT)[:-9],
}


def make_calls(folder: Path) -> ControlCalls:
    """Return the calls to a replica that one entry follows."""
    snapshot = Snapshot(position=1, term=1, members=ReplicaSet(members=()))
    replica = Replica(
        stored=Stored(identity=1, vote=Vote(term=1), snapshot=snapshot, entries=()),
        now=replica_clock(),
        election_at=0.0,
        kept_outcomes=1,
    )
    replica.applied.configuration = Configuration(
        revision=1, routing=RoutingDocument(version=1, content=b"")
    )
    server = FeedServer(
        feed=UpstreamFeed(run=RUN),
        driver=cast(Any, SimpleNamespace(replica=replica)),
        frames=cast(Any, SimpleNamespace(serve=lambda kind, handler: None)),
        services_of=lambda document: frozenset({"desk", "\ud800", "d" * 2_000_000}),
        store=UpstreamStore(folder=folder),
    )
    note_query(server.feed, make_query(0), replica_clock())
    return ControlCalls(
        changes=cast(ChangeCalls, None),
        feed=server,
        data_centres=DATA_CENTRES,
        counters=Counters(),
    )


def announce(calls: ControlCalls, *bodies: bytes) -> list[int]:
    """Send heartbeats of targets and return the status of each answer."""
    found = []

    async def main() -> None:
        for number, body in enumerate(bodies, start=1):
            target = f"/instances/i-{number:x}/heartbeat"
            request = HttpRequest(method="POST", target=target, headers={}, body=body)
            answer = await calls.answer(request)
            assert len(answer.body) <= 4096
            found.append(answer.status)

    anyio.run(main)
    return found


def told_addresses(calls: ControlCalls) -> list[str]:
    """Return the targets that entries hear of, once the file of them is written."""
    server = calls.feed
    assert server.store.save(all_items(server.feed, replica_clock()))
    answer = encode_feed_answer(server.make_answer(make_query(0)))
    assert len(answer) < 4096
    told = [item.record for item in decode_feed_answer(answer).items]
    saved = [item.record for item in server.store.load()]
    assert told == saved
    return sorted(record.identity.address.host for record in told)


@pytest.mark.parametrize("entry", ODD_ENTRIES)
def test_an_odd_announcement_is_refused_and_the_others_hold(
    tmp_path: Path, entry: dict[str, Any]
) -> None:
    """Guards against one entry of another writer that ends every replica in turn."""
    calls = make_calls(tmp_path)
    assert announce(calls, encode(GOOD), encode(entry), encode(GOOD)) == [200, 400, 200]
    assert told_addresses(calls) == ["10.128.0.1"]


@pytest.mark.parametrize("body", ODD_BODIES.values(), ids=ODD_BODIES.keys())
def test_an_unreadable_announcement_is_refused_and_the_others_hold(
    tmp_path: Path, body: bytes
) -> None:
    """Guards against bytes of another writer that end every replica in turn."""
    calls = make_calls(tmp_path)
    assert announce(calls, encode(GOOD), body) == [200, 400]
    assert told_addresses(calls) == ["10.128.0.1"]


def test_a_long_odd_value_is_not_written_to_the_log_in_full(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against megabytes of log lines from one odd entry."""
    caplog.set_level("INFO")
    calls = make_calls(tmp_path)
    entries = [
        {**HEARTBEAT, "Slots": "4" * 2_000_000},
        {**HEARTBEAT, "Zone": [0] * 9999},
    ]
    entries += [{**HEARTBEAT, "State": "s" * 2_000_000}]
    announce(calls, *(encode(entry) for entry in entries))
    assert len(caplog.records) == len(entries)
    assert max(len(str(record.msg)) for record in caplog.records) < 2_000


ODD_ROUTES: list[dict[str, Any]] = [
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


@pytest.mark.parametrize("changes", ODD_ROUTES, ids=lambda c: str(c)[:30])
def test_a_configuration_with_an_odd_route_is_invalid(changes: dict[str, Any]) -> None:
    """Guards against a table that entries cannot put in force."""
    route = {**CONFIGURATION["Routes"][0], **changes}
    assert problems_of({**CONFIGURATION, "Routes": [route]})


@pytest.mark.parametrize("name", ["\ud800", "s" * 2_000_000, ""])
def test_a_configuration_with_an_odd_service_is_invalid(name: str) -> None:
    """Guards against a service that no target can announce."""
    service = {**CONFIGURATION["Services"][0], "Name": name}
    route = {**CONFIGURATION["Routes"][0], "Service": name}
    document = {**CONFIGURATION, "Routes": [route], "Services": [service]}
    assert problems_of(json.loads(json.dumps(document)))
