"""The JSON documents of operators and targets, decoded into the product's types."""

from __future__ import annotations

import json
from typing import Any

from ..errors import ChervilstageError
from ..errors.configuration import RoutingInvalidError
from ..errors.platform import FieldError
from ..errors.upstreams import AnnouncementError
from ..protocol.json_fields import count_of, number_of, text_of
from ..state.configuration import RoutingDocument
from ..state.routing import (
    Route,
    RoutedService,
    Routing,
    ServiceShare,
    TrafficKind,
)
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .settings import MILLISECONDS, parse_address

KINDS = {
    "safe": TrafficKind.IDEMPOTENT,
    "unsafe": TrafficKind.NON_IDEMPOTENT,
    "upload": TrafficKind.UPLOAD,
}
PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.LEAVING}
LABEL_BITS = 64
MAXIMUM_SLOTS = 10_000
MALFORMED = (
    ChervilstageError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


def decode_routing(content: bytes) -> Routing:
    """Decode a configuration that an operator puts.

    :raises RoutingInvalidError: it cannot be read in full.
    """
    try:
        return _routing(json.loads(content))
    except MALFORMED as error:
        raise RoutingInvalidError(problems=[_shown(error)]) from error


def decode_accepted(document: RoutingDocument) -> Routing:
    """Decode a configuration that the control replicas have accepted."""
    return decode_routing(document.content)


def decode_heartbeat(label: str, body: bytes) -> UpstreamRecord:
    """Decode what a target says of itself.

    :param label: the target's id in the path of the call.
    :raises AnnouncementError: fields are missing, malformed or unknown.
    """
    try:
        return _record(label_of(label), json.loads(body))
    except MALFORMED as error:
        raise AnnouncementError(reason=_shown(error)) from error


def decode_leave(body: bytes) -> int | None:
    """Return when the run that leaves started, None if the call does not tell.

    :raises AnnouncementError: the body is malformed.
    """
    try:
        return count_of(json.loads(body).get("born", 0)) or None if body else None
    except MALFORMED as error:
        raise AnnouncementError(reason=_shown(error)) from error


def label_of(text: str) -> int:
    """Return the number that the hex digits of a target's id spell.

    :raises AnnouncementError: the id has none, or too many.
    """
    digits = text.rpartition("-")[2]
    try:
        label = int(digits, 16)
    except ValueError as error:
        raise AnnouncementError(reason=f"id {text!r} has no hex digits") from error
    if not 0 < label < 1 << LABEL_BITS:
        raise AnnouncementError(reason=f"id {text!r} is out of range")
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
            host=text_of(item["Host"]), port=int(text_of(item["PathPrefix"]).strip("/"))
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
    text_of(document["Version"])  # That of its software, which is not used.
    address = parse_address(text_of(document["Address"]))
    slots = count_of(document["Slots"])
    if not 0 < slots <= MAXIMUM_SLOTS:
        raise FieldError(value=slots, reason="no number of slots")
    return UpstreamRecord(
        identity=UpstreamId(
            address=address,
            incarnation=count_of(document["born"]),
            service=text_of(document["Service"]),
        ),
        request_address=address,
        data_centre=text_of(document["Zone"]),
        sequence=count_of(document["Sequence"]),
        phase=PHASES[document["State"]],
        slots=slots,
        load=0,
        label=label,
        cold_seconds=number_of(document["ColdRemainingMs"]) / MILLISECONDS,
    )


def _shown(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
