"""The JSON documents of operators and targets, decoded into the product's types."""

from __future__ import annotations

import re
from typing import Any

from ..errors.configuration import RoutingInvalidError
from ..errors.platform import FieldError
from ..errors.upstreams import AnnouncementError
from ..protocol.json_fields import (
    MALFORMED,
    address_of,
    choice_of,
    count_of,
    each,
    load_json,
    name_of,
    number_of,
    object_of,
    port_of,
    read,
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
    "download": TrafficKind.DOWNLOAD,
}
PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.LEAVING}
DEFAULT_IDLE_MS = 60_000
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
        return _routing(object_of(load_json(content)))
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
        record = _record(label_of(label), object_of(load_json(body)))
        running_ms = now_ms + CLOCK_DIFFERENCE_MS - record.identity.incarnation
        if not record.sequence <= running_ms:
            raise FieldError(field="Sequence", reason="more calls than milliseconds")
        return record
    except MALFORMED as error:
        raise AnnouncementError(reason=reason_of(error)) from error


def decode_leave(body: bytes) -> int | None:
    """Return when the run that leaves started, None if the call does not tell.

    :raises AnnouncementError: the body is malformed.
    """
    try:
        if not body:
            return None
        return read(object_of(load_json(body)), "born", count_of, default=0) or None
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
    limits = read(document, "Limits", object_of, default={})
    idle_ms = read(limits, "IdleTimeoutMs", count_of, default=DEFAULT_IDLE_MS)
    return Routing(
        version=read(document, "Version", count_of),
        routes=read(document, "Routes", each(_route)),
        services=read(document, "Services", each(_service)),
        flow_idle_seconds=idle_ms / MILLISECONDS,
    )


def _route(value: Any) -> Route:
    """Return a route; its ``PathPrefix`` holds a port between slashes."""
    item = object_of(value)
    if "Split" in item:
        shares = read(item, "Split", each(_share))
    else:
        shares = (ServiceShare(service=read(item, "Service", text_of), weight=1),)
    return Route(
        name=read(item, "Name", text_of),
        address=Address(
            host=read(item, "Host", text_of),
            port=read(item, "PathPrefix", _prefix_port),
        ),
        kind=read(item, "Kind", _kind),
        timeout_seconds=read(item, "TimeoutMs", number_of) / MILLISECONDS,
        objective_seconds=read(item, "AimMs", number_of, default=0) / MILLISECONDS,
        priority=read(item, "Priority", count_of, default=0),
        shares=shares,
    )


def _share(value: Any) -> ServiceShare:
    item = object_of(value)
    return ServiceShare(
        service=read(item, "Service", text_of), weight=read(item, "Weight", count_of)
    )


def _prefix_port(value: Any) -> int:
    return port_of(text_of(value).strip("/"))


def _kind(value: Any) -> TrafficKind:
    """Return a kind of requests.

    A word of later pages does not make the whole table unreadable.
    """
    return KINDS.get(text_of(value), TrafficKind.UNKNOWN)


def _service(value: Any) -> RoutedService:
    item = object_of(value)
    return RoutedService(
        name=read(item, "Name", text_of),
        health_path=read(item, "HealthPath", text_of, default=""),
        max_flows=read(item, "ConnectionLimit", count_of, default=0),
        cold_seconds=read(item, "ColdStartS", number_of, default=0),
        cold_flows_per_second=read(item, "ColdPerS", number_of, default=0),
    )


def _record(label: int, document: dict[str, Any]) -> UpstreamRecord:
    """Return a target's record; ``born`` is when it started."""
    read(document, "Version", name_of)  # That of its software, which is not used.
    address = read(document, "Address", address_of)
    cold_ms = read(document, "ColdRemainingMs", number_of)
    return UpstreamRecord(
        identity=UpstreamId(
            address=address,
            incarnation=read(document, "born", count_of),
            service=read(document, "Service", name_of),
        ),
        request_address=address,
        data_centre=read(document, "Zone", name_of),
        sequence=read(document, "Sequence", count_of),
        phase=read(document, "State", choice_of(PHASES)),
        slots=read(document, "Slots", _slots),
        load=0,
        label=label,
        cold_seconds=cold_ms / MILLISECONDS,
    )


def _slots(value: Any) -> int:
    slots = count_of(value)
    if not 0 < slots <= MAXIMUM_SLOTS:
        raise FieldError(reason="no number of slots")
    return slots
