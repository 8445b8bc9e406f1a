"""The decision where a caller's packet goes."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..state.configuration import Configuration
from ..state.flow_table import FlowTable
from ..state.registry import UpstreamRegistry
from ..state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .rendezvous import rendezvous_order


class Forward(NamedTuple):
    """Send the packet to this upstream."""

    upstream: UpstreamId


class Drop(NamedTuple):
    """Drop the packet; ``reason`` labels the counter."""

    reason: str


def in_service(
    records: Sequence[UpstreamRecord], configuration: Configuration
) -> list[UpstreamRecord]:
    """Return the records whose data centre operators have not taken out."""
    return [r for r in records if r.data_centre not in configuration.out]


def route_packet(
    *,
    service: str,
    caller: Address,
    table: FlowTable,
    registry: UpstreamRegistry,
    configuration: Configuration,
    now: float,
) -> Forward | Drop:
    """Choose the upstream of one packet and pin the flow to it."""
    pinned = table.get(caller)
    if pinned is not None and _is_current(pinned, registry, configuration):
        table.put(caller, pinned, now)
        return Forward(upstream=pinned)
    candidates = in_service(registry.of_service(service), configuration)
    ready = {
        _name(r.identity): r.identity
        for r in candidates
        if r.phase is UpstreamPhase.READY
    }
    if not ready:
        return Drop(reason="no_upstream")
    best = rendezvous_order(f"{caller.host}:{caller.port}", ready)[0]
    table.put(caller, ready[best], now)
    return Forward(upstream=ready[best])


def _is_current(
    pinned: UpstreamId, registry: UpstreamRegistry, configuration: Configuration
) -> bool:
    record = registry.records.get(pinned.address)
    if record is None or record.identity != pinned:
        return False
    return record.data_centre not in configuration.out


def _name(identity: UpstreamId) -> str:
    return f"{identity.address.host}:{identity.address.port}"
