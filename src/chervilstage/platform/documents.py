"""Decoders of the JSON documents that operators and targets send."""

from __future__ import annotations

import re
from typing import Any

from ..errors.configuration import RoutingInvalidError
from ..errors.platform import FieldError
from ..errors.upstreams import AnnouncementError
from ..protocol.json_fields import (
    DOCUMENT_ERRORS,
    each_item,
    error_reason,
    load_json,
    one_of,
    parse_port,
    read_field,
    require_address,
    require_count,
    require_name,
    require_number,
    require_object,
    require_text,
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
        return _decode_routing_table(require_object(load_json(content)))
    except DOCUMENT_ERRORS as error:
        raise RoutingInvalidError(problems=[error_reason(error)]) from error


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
        record = _decode_record(
            parse_label(instance_id), require_object(load_json(body))
        )
        maximum_sequence = now_ms + MAXIMUM_CLOCK_SKEW_MS - record.identity.incarnation
        if not record.sequence <= maximum_sequence:
            raise FieldError(field="Sequence", reason="more calls than milliseconds")
        return record
    except DOCUMENT_ERRORS as error:
        raise AnnouncementError(reason=error_reason(error)) from error


def decode_leave(body: bytes) -> int | None:
    """Return the start time of the run that leaves, None if the call has none.

    :raises AnnouncementError: the body is malformed.
    """
    try:
        if not body:
            return None
        return (
            read_field(
                require_object(load_json(body)), "born", require_count, default=0
            )
            or None
        )
    except DOCUMENT_ERRORS as error:
        raise AnnouncementError(reason=error_reason(error)) from error


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
    limits = read_field(document, "Limits", require_object, default={})
    idle_ms = read_field(
        limits, "IdleTimeoutMs", require_count, default=DEFAULT_IDLE_MS
    )
    return Routing(
        version=read_field(document, "Version", require_count),
        routes=read_field(document, "Routes", each_item(_decode_route)),
        services=read_field(document, "Services", each_item(_decode_service)),
        flow_idle_seconds=idle_ms / MS_PER_SECOND,
    )


def _decode_route(value: Any) -> Route:
    """Decode a route; its ``PathPrefix`` holds a port between slashes."""
    item = require_object(value)
    if "Split" in item:
        shares = read_field(item, "Split", each_item(_decode_share))
    else:
        shares = (
            ServiceShare(service=read_field(item, "Service", require_text), weight=1),
        )
    return Route(
        name=read_field(item, "Name", require_text),
        address=Address(
            host=read_field(item, "Host", require_text),
            port=read_field(item, "PathPrefix", _decode_prefix_port),
        ),
        kind=read_field(item, "Kind", _decode_kind),
        timeout_seconds=read_field(item, "TimeoutMs", require_number) / MS_PER_SECOND,
        objective_seconds=read_field(item, "AimMs", require_number, default=0)
        / MS_PER_SECOND,
        priority=read_field(item, "Priority", require_count, default=0),
        shares=shares,
    )


def _decode_share(value: Any) -> ServiceShare:
    item = require_object(value)
    return ServiceShare(
        service=read_field(item, "Service", require_text),
        weight=read_field(item, "Weight", require_count),
    )


def _decode_prefix_port(value: Any) -> int:
    return parse_port(require_text(value).strip("/"))


def _decode_kind(value: Any) -> TrafficKind:
    """Decode a traffic kind; kinds of later platform versions become ``UNKNOWN``."""
    # A new kind must not make the whole table unreadable.
    return TRAFFIC_KINDS.get(require_text(value), TrafficKind.UNKNOWN)


def _decode_service(value: Any) -> RoutedService:
    item = require_object(value)
    return RoutedService(
        name=read_field(item, "Name", require_text),
        health_path=read_field(item, "HealthPath", require_text, default=""),
        max_flows=read_field(item, "ConnectionLimit", require_count, default=0),
        cold_seconds=read_field(item, "ColdStartS", require_number, default=0),
        cold_flows_per_second=read_field(item, "ColdPerS", require_number, default=0),
    )


def _decode_record(label: int, document: dict[str, Any]) -> UpstreamRecord:
    """Decode a target's record; ``born`` is its start time in Unix milliseconds."""
    read_field(document, "Version", require_name)  # Software version; only checked.
    address = read_field(document, "Address", require_address)
    cold_ms = read_field(document, "ColdRemainingMs", require_number)
    return UpstreamRecord(
        identity=UpstreamId(
            address=address,
            incarnation=read_field(document, "born", require_count),
            service=read_field(document, "Service", require_name),
        ),
        request_address=address,
        data_centre=read_field(document, "Zone", require_name),
        sequence=read_field(document, "Sequence", require_count),
        phase=read_field(document, "State", one_of(PHASES)),
        slots=read_field(document, "Slots", _decode_slots),
        load=0,
        label=label,
        cold_seconds=cold_ms / MS_PER_SECOND,
    )


def _decode_slots(value: Any) -> int:
    slots = require_count(value)
    if not 0 < slots <= MAXIMUM_SLOTS:
        raise FieldError(reason="no number of slots")
    return slots
