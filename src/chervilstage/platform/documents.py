"""Decoders of the JSON documents that operators and targets send."""

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
from .settings import MS_PER_SECOND

TRAFFIC_KINDS = {
    "safe": TrafficKind.IDEMPOTENT,
    "unsafe": TrafficKind.NON_IDEMPOTENT,
    "upload": TrafficKind.UPLOAD,
    "download": TrafficKind.DOWNLOAD,
}
PHASES = {"ready": UpstreamPhase.READY, "draining": UpstreamPhase.LEAVING}
DEFAULT_IDLE_MS = 60_000
LABEL_BITS = 64
MAXIMUM_SHOWN_ID_CHARACTERS = 80
MAXIMUM_SLOTS = 10_000
# The clocks of VMs differ, usually by seconds.
MAXIMUM_CLOCK_SKEW_MS = 3_600_000
INSTANCE_ID = re.compile(r"(?:.*-)?([0-9a-f]+)", re.IGNORECASE | re.ASCII)


def decode_routing(content: bytes) -> Routing:
    """Decode a routing table that an operator publishes.

    :raises RoutingInvalidError: a part of it cannot be read.
    """
    try:
        return _decode_routing_table(object_of(load_json(content)))
    except MALFORMED as error:
        raise RoutingInvalidError(problems=[reason_of(error)]) from error


def decode_routing_document(document: RoutingDocument) -> Routing:
    """Decode a routing table that the control replicas have accepted."""
    return decode_routing(document.content)


def decode_heartbeat(instance_id: str, body: bytes, now_ms: int) -> UpstreamRecord:
    """Decode a target's heartbeat.

    A heartbeat with a start time in the future, or with a sequence number that no
    target can have reached since its start, would supersede those of the real target.

    :param instance_id: the target's id in the path of the call.
    :param now_ms: the time of day in Unix milliseconds.
    :raises AnnouncementError: fields are missing, malformed, unknown or implausible.
    """
    try:
        record = _decode_record(parse_label(instance_id), object_of(load_json(body)))
        maximum_sequence = now_ms + MAXIMUM_CLOCK_SKEW_MS - record.identity.incarnation
        if not record.sequence <= maximum_sequence:
            raise FieldError(field="Sequence", reason="more calls than milliseconds")
        return record
    except MALFORMED as error:
        raise AnnouncementError(reason=reason_of(error)) from error


def decode_leave(body: bytes) -> int | None:
    """Return the start time of the run that leaves, None if the call has none.

    :raises AnnouncementError: the body is malformed.
    """
    try:
        if not body:
            return None
        return read(object_of(load_json(body)), "born", count_of, default=0) or None
    except MALFORMED as error:
        raise AnnouncementError(reason=reason_of(error)) from error


def parse_label(instance_id: str) -> int:
    """Return the number in the trailing hex digits of a target's id.

    :raises AnnouncementError: the id has no hex digits, or too many.
    """
    match = INSTANCE_ID.fullmatch(instance_id)
    label = int(match[1], 16) if match else 0
    if not 0 < label < 1 << LABEL_BITS:
        raise AnnouncementError(
            reason=f"id {instance_id[:MAXIMUM_SHOWN_ID_CHARACTERS]!r} is out of range"
        )
    return label


def _decode_routing_table(document: dict[str, Any]) -> Routing:
    limits = read(document, "Limits", object_of, default={})
    idle_ms = read(limits, "IdleTimeoutMs", count_of, default=DEFAULT_IDLE_MS)
    return Routing(
        version=read(document, "Version", count_of),
        routes=read(document, "Routes", each(_decode_route)),
        services=read(document, "Services", each(_decode_service)),
        flow_idle_seconds=idle_ms / MS_PER_SECOND,
    )


def _decode_route(value: Any) -> Route:
    """Decode a route; its ``PathPrefix`` holds a port between slashes."""
    item = object_of(value)
    if "Split" in item:
        shares = read(item, "Split", each(_decode_share))
    else:
        shares = (ServiceShare(service=read(item, "Service", text_of), weight=1),)
    return Route(
        name=read(item, "Name", text_of),
        address=Address(
            host=read(item, "Host", text_of),
            port=read(item, "PathPrefix", _decode_prefix_port),
        ),
        kind=read(item, "Kind", _decode_kind),
        timeout_seconds=read(item, "TimeoutMs", number_of) / MS_PER_SECOND,
        objective_seconds=read(item, "AimMs", number_of, default=0) / MS_PER_SECOND,
        priority=read(item, "Priority", count_of, default=0),
        shares=shares,
    )


def _decode_share(value: Any) -> ServiceShare:
    item = object_of(value)
    return ServiceShare(
        service=read(item, "Service", text_of), weight=read(item, "Weight", count_of)
    )


def _decode_prefix_port(value: Any) -> int:
    return port_of(text_of(value).strip("/"))


def _decode_kind(value: Any) -> TrafficKind:
    """Decode a traffic kind.

    A kind that a later version of the platform adds becomes ``UNKNOWN``, so that it
    does not make the whole table unreadable.
    """
    return TRAFFIC_KINDS.get(text_of(value), TrafficKind.UNKNOWN)


def _decode_service(value: Any) -> RoutedService:
    item = object_of(value)
    return RoutedService(
        name=read(item, "Name", text_of),
        health_path=read(item, "HealthPath", text_of, default=""),
        max_flows=read(item, "ConnectionLimit", count_of, default=0),
        cold_seconds=read(item, "ColdStartS", number_of, default=0),
        cold_flows_per_second=read(item, "ColdPerS", number_of, default=0),
    )


def _decode_record(label: int, document: dict[str, Any]) -> UpstreamRecord:
    """Decode a target's record; ``born`` is its start time in Unix milliseconds."""
    read(document, "Version", name_of)  # Software version; only checked.
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
        slots=read(document, "Slots", _decode_slots),
        load=0,
        label=label,
        cold_seconds=cold_ms / MS_PER_SECOND,
    )


def _decode_slots(value: Any) -> int:
    slots = count_of(value)
    if not 0 < slots <= MAXIMUM_SLOTS:
        raise FieldError(reason="no number of slots")
    return slots
