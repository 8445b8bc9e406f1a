"""The JSON documents of operators and targets, decoded into the product's types."""

from __future__ import annotations

import json
import re
from typing import Any

from ..errors.configuration import RoutingInvalidError
from ..errors.platform import FieldError
from ..errors.upstreams import AnnouncementError
from ..protocol.json_fields import (
    MALFORMED,
    address_of,
    count_of,
    name_of,
    number_of,
    port_of,
    reason_of,
    text_of,
)
from ..state.configuration import RoutingDocument
from ..state.routing import (
    Route,
    RoutedService,
    Routing,
    ServiceShare,
    TrafficKind,
)
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .settings import MILLISECONDS

KINDS = {
    "safe": TrafficKind.IDEMPOTENT,
    "unsafe": TrafficKind.NON_IDEMPOTENT,
    "upload": TrafficKind.UPLOAD,
}
PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.LEAVING}
LABEL_BITS = 64
LONGEST_ID = 80
MAXIMUM_SLOTS = 10_000
# The clocks of VMs differ, by seconds as a rule.
CLOCK_DIFFERENCE_MS = 3_600_000
LABEL = re.compile(r"(?:.*-)?([0-9a-f]+)", re.IGNORECASE | re.ASCII)


def decode_routing(content: bytes) -> Routing:
    """Decode a configuration that an operator puts.

    :raises RoutingInvalidError: it cannot be read in full.
    """
    try:
        return _routing(json.loads(content))
    except MALFORMED as error:
        raise RoutingInvalidError(problems=[reason_of(error)]) from error


def decode_accepted(document: RoutingDocument) -> Routing:
    """Decode a configuration that the control replicas have accepted."""
    return decode_routing(document.content)


def decode_heartbeat(label: str, body: bytes, now_ms: int) -> UpstreamRecord:
    """Decode what a target says of itself.

    A run that starts later or has sent more calls than any target can would hide the
    calls of the true one.

    :param label: the target's id in the path of the call.
    :param now_ms: the time of day in Unix milliseconds.
    :raises AnnouncementError: fields are missing, malformed, unknown or impossible.
    """
    try:
        record = _record(label_of(label), json.loads(body))
        running_ms = now_ms + CLOCK_DIFFERENCE_MS - record.identity.incarnation
        if not record.sequence <= running_ms:
            raise FieldError(value=record.sequence, reason="more calls than time")
        return record
    except MALFORMED as error:
        raise AnnouncementError(reason=reason_of(error)) from error


def decode_leave(body: bytes) -> int | None:
    """Return when the run that leaves started, None if the call does not tell.

    :raises AnnouncementError: the body is malformed.
    """
    try:
        return count_of(json.loads(body).get("born", 0)) or None if body else None
    except MALFORMED as error:
        raise AnnouncementError(reason=reason_of(error)) from error


def label_of(text: str) -> int:
    """Return the number that the hex digits of a target's id spell.

    :raises AnnouncementError: the id has none, or too many.
    """
    found = LABEL.fullmatch(text)
    label = int(found[1], 16) if found else 0
    if not 0 < label < 1 << LABEL_BITS:
        raise AnnouncementError(reason=f"id {text[:LONGEST_ID]!r} is out of range")
    return label


def _routing(document: dict[str, Any]) -> Routing:
    limits = document.get("Limits", {})
    return Routing(
        version=count_of(document["Version"]),
        routes=tuple(_route(item) for item in document["Routes"]),
        services=tuple(_service(item) for item in document["Services"]),
        flow_idle_seconds=count_of(limits.get("IdleTimeoutMs", 60_000)) / MILLISECONDS,
    )


def _route(item: dict[str, Any]) -> Route:
    """Return a route; its ``PathPrefix`` holds a port between slashes."""
    if "Split" in item:
        shares = tuple(
            ServiceShare(service=text_of(s["Service"]), weight=count_of(s["Weight"]))
            for s in item["Split"]
        )
    else:
        shares = (ServiceShare(service=text_of(item["Service"]), weight=1),)
    return Route(
        name=text_of(item["Name"]),
        address=Address(
            host=text_of(item["Host"]),
            port=port_of(text_of(item["PathPrefix"]).strip("/")),
        ),
        kind=KINDS[item["Kind"]],
        timeout_seconds=number_of(item["TimeoutMs"]) / MILLISECONDS,
        objective_seconds=number_of(item.get("AimMs", 0)) / MILLISECONDS,
        priority=count_of(item.get("Priority", 0)),
        shares=shares,
    )


def _service(item: dict[str, Any]) -> RoutedService:
    return RoutedService(
        name=text_of(item["Name"]),
        health_path=text_of(item.get("HealthPath", "")),
        max_flows=count_of(item.get("ConnectionLimit", 0)),
        cold_seconds=number_of(item.get("ColdStartS", 0)),
        cold_flows_per_second=number_of(item.get("ColdPerS", 0)),
    )


def _record(label: int, document: dict[str, Any]) -> UpstreamRecord:
    """Return a target's record; ``born`` is when it started."""
    name_of(document["Version"])  # That of its software, which is not used.
    address = address_of(document["Address"])
    slots = count_of(document["Slots"])
    if not 0 < slots <= MAXIMUM_SLOTS:
        raise FieldError(value=slots, reason="no number of slots")
    return UpstreamRecord(
        identity=UpstreamId(
            address=address,
            incarnation=count_of(document["born"]),
            service=name_of(document["Service"]),
        ),
        request_address=address,
        data_centre=name_of(document["Zone"]),
        sequence=count_of(document["Sequence"]),
        phase=PHASES[document["State"]],
        slots=slots,
        load=0,
        label=label,
        cold_seconds=number_of(document["ColdRemainingMs"]) / MILLISECONDS,
    )
