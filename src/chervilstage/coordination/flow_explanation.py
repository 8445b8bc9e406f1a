"""Explains where the packets of a flow go, without changing state."""

from __future__ import annotations

from typing import NamedTuple

from ..state.flow_state import FlowState
from ..state.types import UpstreamId, UpstreamPhase, UpstreamRecord
from ..state.view import bucket_of
from .flows import choose_bucket_upstream, peers_to_query
from .view import bucket_order

MAX_CANDIDATES = 8


class FlowExplanation(NamedTuple):
    """The upstream of the next packet of a flow, and the reason for it.

    ``upstream`` is empty if the packet would be dropped or held. ``candidates`` are
    the first upstreams of the service in the order of the bucket.
    """

    bucket: int
    view_number: int
    view_coordinator: str
    upstream: str
    reason: str
    candidates: tuple[str, ...]


def explain_flow(
    state: FlowState, service: str, key: int, now: float
) -> FlowExplanation:
    """Return how this entry would handle the next packet of a flow.

    :param key: the key of the flow, as ``flow_key`` returns it.
    """
    upstream, reason = _next_upstream(state, service, key, now)
    return FlowExplanation(
        bucket=bucket_of(key),
        view_number=state.view.identity.number,
        view_coordinator=state.view.identity.coordinator,
        upstream=_address_text(upstream) if upstream else "",
        reason=reason,
        candidates=_describe_candidates(state, service, bucket_of(key)),
    )


def _next_upstream(
    state: FlowState, service: str, key: int, now: float
) -> tuple[UpstreamId | None, str]:
    """Return the upstream of the next packet, if any, and the reason."""
    table = state.tables.get(service)
    if table is None:
        return None, "unknown service"
    pin = table.get(key)
    if pin is not None and state.is_usable(pin.upstream):
        suffix = _silence_suffix(state, pin.upstream)
        return pin.upstream, f"pinned under view {pin.number}{suffix}"
    exception = state.exceptions[service].get(key)
    if exception is not None and state.is_usable(exception.upstream):
        suffix = _silence_suffix(state, exception.upstream)
        description = f"exception told by a peer, of view {exception.number}{suffix}"
        return exception.upstream, description
    bucket = bucket_of(key)
    proposal = choose_bucket_upstream(state, service, bucket)
    if proposal is None or state.view.identity.number == 0:
        return None, "no upstream can take new flows"
    peers = peers_to_query(state, service, bucket, proposal, now)
    if peers:
        return None, f"held until {', '.join(peers)} have been asked"
    if proposal != state.view.buckets(service)[bucket]:
        return proposal, "next in the bucket's order; the view's choice is unusable"
    return proposal, "chosen by the view"


def _silence_suffix(state: FlowState, upstream: UpstreamId) -> str:
    return "" if state.registry.is_registered(upstream) else "; its upstream is silent"


def _describe_candidates(
    state: FlowState, service: str, bucket: int
) -> tuple[str, ...]:
    records = {r.identity: r for r in state.registry.records_of_service(service)}
    order = bucket_order(service, bucket, records)[:MAX_CANDIDATES]
    return tuple(
        f"{_address_text(u)} {_describe_condition(state, records[u])}" for u in order
    )


def _describe_condition(state: FlowState, record: UpstreamRecord) -> str:
    if record.data_centre in state.in_force.current.out:
        return "out of service"
    if record.identity.address in state.unreachable:
        return "unreachable"
    if record.phase is not UpstreamPhase.READY:
        return record.phase.value
    return "ready"


def _address_text(identity: UpstreamId) -> str:
    return f"{identity.address.host}:{identity.address.port}"
