"""Explains where the packets of a flow go, without changing anything."""

from __future__ import annotations

from typing import NamedTuple

from ..state.flow_state import FlowState
from ..state.types import UpstreamId, UpstreamPhase, UpstreamRecord
from ..state.view import bucket_of
from .flows import choose_upstream_of, peers_to_ask
from .view import bucket_order

SHOWN_CANDIDATES = 8


class FlowExplanation(NamedTuple):
    """Where an entry sends the next packet of a flow, and why.

    ``upstream`` is empty where the packet would be dropped or held. ``candidates``
    are the upstreams of the service in the order of the bucket.
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
    """Return what this entry would do with the next packet of a flow.

    :param key: the key of the flow, as ``flow_key`` returns it.
    """
    upstream, reason = _choice(state, service, key, now)
    return FlowExplanation(
        bucket=bucket_of(key),
        view_number=state.view.identity.number,
        view_coordinator=state.view.identity.coordinator,
        upstream=_name(upstream) if upstream else "",
        reason=reason,
        candidates=_candidates(state, service, bucket_of(key)),
    )


def _choice(
    state: FlowState, service: str, key: int, now: float
) -> tuple[UpstreamId | None, str]:
    table = state.tables.get(service)
    if table is None:
        return None, "unknown service"
    pin = table.get(key)
    if pin is not None and state.is_usable(pin.upstream):
        silent = _silent_note(state, pin.upstream)
        return pin.upstream, f"pinned under view {pin.number}{silent}"
    known = state.exceptions[service].get(key)
    if known is not None and state.is_usable(known.upstream):
        silent = _silent_note(state, known.upstream)
        told = f"exception told by a peer, of view {known.number}{silent}"
        return known.upstream, told
    bucket = bucket_of(key)
    proposal = choose_upstream_of(state, service, bucket)
    if proposal is None or state.view.identity.number == 0:
        return None, "no upstream can take new flows"
    peers = peers_to_ask(state, service, bucket, proposal, now)
    if peers:
        return None, f"held until {', '.join(peers)} have been asked"
    if proposal != state.view.buckets(service)[bucket]:
        return proposal, "next in the bucket's order; the view's choice is unusable"
    return proposal, "chosen by the view"


def _silent_note(state: FlowState, upstream: UpstreamId) -> str:
    return "" if state.registry.is_heard(upstream) else "; its upstream is silent"


def _candidates(state: FlowState, service: str, bucket: int) -> tuple[str, ...]:
    records = {r.identity: r for r in state.registry.of_service(service)}
    order = bucket_order(service, bucket, records)[:SHOWN_CANDIDATES]
    return tuple(f"{_name(u)} {_condition(state, records[u])}" for u in order)


def _condition(state: FlowState, record: UpstreamRecord) -> str:
    if record.data_centre in state.in_force.current.out:
        return "out of service"
    if record.identity.address in state.unreachable:
        return "unreachable"
    if record.phase is not UpstreamPhase.READY:
        return record.phase.value
    return "ready"


def _name(identity: UpstreamId) -> str:
    return f"{identity.address.host}:{identity.address.port}"
