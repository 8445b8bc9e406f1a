"""Configurations of operators and heartbeats of targets."""

from __future__ import annotations

import copy
import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis.strategies import (
    dictionaries,
    floats,
    integers,
    lists,
    none,
    one_of,
    recursive,
    text,
)

from chervilstage.coordination.routing import routing_problems
from chervilstage.errors import ChervilstageError
from chervilstage.errors.configuration import RoutingInvalidError
from chervilstage.errors.upstreams import AnnouncementError
from chervilstage.platform.documents import (
    decode_heartbeat,
    decode_leave,
    decode_routing,
    parse_label,
)
from chervilstage.state.routing import ServiceShare, TrafficKind
from chervilstage.state.types import Address, UpstreamPhase

SERVICE = {
    "Name": "desk",
    "HealthPath": "/health",
    "ConnectionLimit": 2000,
    "ColdStartS": 2.0,
    "ColdPerS": 0.0,
}
ROUTE = {
    "Name": "r-1",
    "Host": "198.18.0.1",
    "PathPrefix": "/8443/",
    "Kind": "unsafe",
    "TimeoutMs": 3000,
    "AimMs": 300,
    "Priority": 1,
    "Service": "desk",
}
CONFIGURATION: dict[str, Any] = {
    "Version": 7,
    "Routes": [ROUTE],
    "Services": [SERVICE],
    "Limits": {"IdleTimeoutMs": 15000},
}
HEARTBEAT: dict[str, Any] = {
    "Service": "desk",
    "Address": "10.128.0.9:8080",
    "Zone": "gl-erie",
    "Version": "v1",
    "Slots": 4,
    "State": "ready",
    "ColdRemainingMs": 1500,
    "Sequence": 4,
    "born": 1782625681850,
}
NOW_MS = HEARTBEAT["born"] + 60_000
ANY_JSON = recursive(
    one_of(none(), integers(), floats(), text()),
    lambda inner: one_of(lists(inner, max_size=3), dictionaries(text(), inner)),
    max_leaves=6,
)


def encode(document: Any) -> bytes:
    """Return the JSON encoding of a document."""
    return json.dumps(document).encode()


def problems_of(document: dict[str, Any]) -> list[str]:
    """Return what makes a configuration invalid."""
    try:
        return routing_problems(decode_routing(encode(document)))
    except RoutingInvalidError as error:
        return [str(error)]


def test_configuration_is_decoded_into_a_routing_table() -> None:
    """Guards against fields that are decoded with the wrong meaning."""
    routing = decode_routing(encode(CONFIGURATION))
    route = routing.routes[0]
    assert routing.version == 7
    assert routing.flow_idle_seconds == 15.0
    assert route.address == Address(host="198.18.0.1", port=8443)
    assert route.kind is TrafficKind.NON_IDEMPOTENT
    assert route.timeout_seconds == 3.0
    assert route.shares == (ServiceShare(service="desk", weight=1),)
    assert routing.services[0].cold_seconds == 2.0
    assert routing_problems(routing) == []


INVALID: dict[str, dict[str, Any]] = {
    "unknown service": {"Routes": [{**ROUTE, "Service": "gone"}]},
    "same address": {"Routes": [ROUTE, {**ROUTE, "Name": "r-2"}]},
    "no timeout": {"Routes": [{**ROUTE, "TimeoutMs": 0}]},
    "no weight": {"Routes": [{**ROUTE, "Split": [{"Service": "desk", "Weight": 0}]}]},
    "empty split": {"Routes": [{**ROUTE, "Split": []}]},
    "kind of another type": {"Routes": [{**ROUTE, "Kind": 1}]},
    "kind missing": {"Routes": [{k: v for k, v in ROUTE.items() if k != "Kind"}]},
    "no port": {"Routes": [{**ROUTE, "PathPrefix": "/x/"}]},
    "no address": {"Routes": [{**ROUTE, "Host": "198.18.0"}]},
    "version of another type": {"Version": "7"},
    "version true": {"Version": True},
    "routes missing": {"Routes": None},
    "service twice": {"Services": [SERVICE, SERVICE]},
}


@pytest.mark.parametrize("changes", INVALID.values(), ids=INVALID.keys())
def test_invalid_configuration_is_refused_with_a_reason(
    changes: dict[str, Any],
) -> None:
    """Guards against accepting an inconsistent configuration."""
    assert problems_of({**copy.deepcopy(CONFIGURATION), **changes})


@pytest.mark.parametrize(
    ("word", "kind"),
    [
        ("safe", TrafficKind.IDEMPOTENT),
        ("unsafe", TrafficKind.NON_IDEMPOTENT),
        ("upload", TrafficKind.UPLOAD),
        ("download", TrafficKind.DOWNLOAD),
        ("stream", TrafficKind.UNKNOWN),
    ],
)
def test_unknown_traffic_kind_does_not_make_the_table_unreadable(
    word: str, kind: TrafficKind
) -> None:
    """Guards against refusing all routes because one has a kind of a later version."""
    table = {**CONFIGURATION, "Routes": [{**ROUTE, "Kind": word}]}
    routing = decode_routing(encode(table))
    assert routing_problems(routing) == []
    assert routing.routes[0].kind is kind


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (encode({**CONFIGURATION, "Routes": [{**ROUTE, "Kind": 1}]}), "Routes.0.Kind"),
        (encode({**CONFIGURATION, "Services": [{}]}), "Services.0.Name: missing"),
        (encode({**CONFIGURATION, "Limits": 7}), "Limits: no object: 7"),
        (encode([]), "no object"),
        (b"{", "document: no JSON at line 1, column 2"),
        (b'{"Version": "\xff"}', "document: no UTF-8 at byte 13"),
        (b"[" * 100_000, "document: nested too deeply"),
        (b"7" * 5_000, "document: a number is too long"),
    ],
)
def test_refused_configuration_names_the_field_without_a_python_error(
    body: bytes, reason: str
) -> None:
    """Guards against the text of a Python exception in an operator's answer."""
    with pytest.raises(RoutingInvalidError) as raised:
        decode_routing(body)
    assert reason in str(raised.value)
    assert "Error" not in str(raised.value)


@given(length=integers(0, len(encode(CONFIGURATION)) - 1))
def test_truncated_configuration_is_refused(length: int) -> None:
    """Guards against a configuration that is only partly decoded."""
    with pytest.raises(RoutingInvalidError):
        decode_routing(encode(CONFIGURATION)[:length])


def test_heartbeat_is_decoded_into_a_record() -> None:
    """Guards against a wrong label, which sends packets to another target."""
    record = decode_heartbeat("i-7f3a91c2", encode(HEARTBEAT), NOW_MS)
    assert record.identity.address == Address(host="10.128.0.9", port=8080)
    assert record.identity.incarnation == 1782625681850
    assert record.label == 0x7F3A91C2
    assert record.phase is UpstreamPhase.READY
    assert record.cold_seconds == 1.5
    assert (record.sequence, record.slots) == (4, 4)


@pytest.mark.parametrize("field", [f for f in HEARTBEAT if f != "Version"])
def test_heartbeat_with_a_missing_field_is_refused(field: str) -> None:
    """Guards against heartbeats from a sender that is not a target."""
    document = {key: value for key, value in HEARTBEAT.items() if key != field}
    with pytest.raises(AnnouncementError):
        decode_heartbeat("i-7f3a91c2", encode(document), NOW_MS)


@pytest.mark.parametrize("version", [None, 1, True])
def test_heartbeat_without_a_valid_version_is_refused(version: object) -> None:
    """Guards against a heartbeat of no target that closes the flows of its address."""
    document = {**HEARTBEAT, "Version": version}
    if version is None:
        del document["Version"]
    with pytest.raises(AnnouncementError):
        decode_heartbeat("i-7f3a91c2", encode(document), NOW_MS)


@pytest.mark.parametrize(
    "changes",
    [
        {"State": "resting"},
        {"Slots": 0},
        {"Slots": "4"},
        {"Sequence": -1},
        {"Sequence": 1.5},
        {"Address": "10.128.0.9"},
        {"Address": "10.128.0.9:99999"},
        {"Address": "host:80"},
        {"ColdRemainingMs": None},
        {"born": "1782625681850"},
        {"born": 1.5},
    ],
    ids=str,
)
def test_heartbeat_with_an_invalid_value_is_refused(changes: dict[str, Any]) -> None:
    """Guards against heartbeats from a sender that is not a target."""
    with pytest.raises(AnnouncementError):
        decode_heartbeat("i-7f3a91c2", encode({**HEARTBEAT, **changes}), NOW_MS)


@pytest.mark.parametrize(
    ("body", "started_ms"), [(b"", None), (b"{}", None), (b'{"born": 1000}', 1000)]
)
def test_leave_returns_the_start_of_the_run_in_its_body(
    body: bytes, started_ms: int | None
) -> None:
    """Guards against refusing a call without a body."""
    assert decode_leave(body) == started_ms


@pytest.mark.parametrize("body", [b"{", b"[]", b'{"born": "1000"}', b'{"born": -1}'])
def test_malformed_leave_is_refused(body: bytes) -> None:
    """Guards against a call that ends a run although no target sent it."""
    with pytest.raises(AnnouncementError):
        decode_leave(body)


@pytest.mark.parametrize(
    "instance_id", ["i-", "i-xyz", "i-0", "i-1ffffffffffffffff", ""]
)
def test_ids_without_a_number_are_refused(instance_id: str) -> None:
    """Guards against a label that would reach any target."""
    with pytest.raises(AnnouncementError):
        parse_label(instance_id)


@given(document=ANY_JSON, field=text(max_size=3))
def test_any_json_is_decoded_or_refused(document: Any, field: str) -> None:
    """Guards against a body that crashes the process."""
    for body in (encode(document), encode({**HEARTBEAT, field: document})):
        for decode in (decode_routing, lambda b: decode_heartbeat("i-1", b, NOW_MS)):
            try:
                decode(body)
            except ChervilstageError:
                continue
