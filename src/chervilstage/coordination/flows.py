"""Selects the upstream for each packet of a caller.

A pin assigns a flow to an upstream. A pin is an exception if its upstream differs from
the one that the view assigns to the bucket of the flow.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..state.configuration import Configuration
from ..state.flow_state import FlowKey, FlowState, PendingFlow
from ..state.flow_table import Pin
from ..state.registry import has_left
from ..state.types import UpstreamId, UpstreamPhase, UpstreamRecord
from ..state.view import bucket_of
from .flow_effects import Drop, FlowDecision, HoldPacket
from .view import bucket_order

HOLD = HoldPacket()
# Bounds the memory for flows that wait for answers of peers; at 3,000 new flows a
# second this is more than a second of new flows.
MAX_PENDING_FLOWS = 4_096


def records_in_service(
    records: Sequence[UpstreamRecord], configuration: Configuration
) -> list[UpstreamRecord]:
    """Return the records whose data centre is in service."""
    return [r for r in records if r.data_centre not in configuration.out]


def route_packet(
    *, state: FlowState, service: str, key: int, now: float
) -> FlowDecision:
    """Choose the upstream of a packet and pin the packet's flow to it.

    The identity of the upstream is checked for each packet, so that a stale pin never
    sends packets to an address that another upstream has taken. Missing announcements
    of the upstream do not move the flow.
    """
    table = state.tables[service]
    pin = table.get(key)
    if pin is None:
        return place_flow(state, service, key, now)
    upstream = pin.upstream
    record = state.registry.records.get(upstream.address)
    if record is None:
        record = state.registry.find_for_open_flows(upstream)
    if (
        record is None
        or (record.identity is not upstream and record.identity != upstream)
        or record.phase is UpstreamPhase.LEFT
        or record.data_centre in state.in_force.current.out
        or now - pin.used_at > table.idle_seconds
    ):
        end_flow(state, service, key, now)
        return place_flow(state, service, key, now)
    table.touch(key, pin, now)
    return pin


def place_flow(state: FlowState, service: str, key: int, now: float) -> FlowDecision:
    """Choose the upstream of a flow without a pin, or query the peers."""
    flow = FlowKey(service=service, key=key)
    if flow in state.pending:
        return HOLD
    exception = state.exceptions[service].get(key)
    is_exception_stale = exception is not None and state.is_pin_stale(
        service, exception, now
    )
    if exception is not None and not is_exception_stale:
        if state.is_usable(exception.upstream):
            state.exchange.record_announcement(flow)
            return store_pin(state, flow, exception._replace(used_at=now), now)
        if not state.has_ended(exception.upstream):
            # A peer may report an upstream before its record has arrived here.
            return Drop(reason="upstream_unknown")
        state.exceptions[service].pop(key)
        state.discard_from_exchange(service, key)
        count_broken_flow(state, service, exception.upstream)
    proposal = choose_bucket_upstream(state, service, bucket_of(key))
    if state.view.identity.number == 0:
        proposal = None
    if proposal is None:
        return Drop(reason="no_upstream")
    peers = peers_to_query(state, service, bucket_of(key), proposal, now)
    if is_exception_stale:
        peers = sorted(state.members.live_names.union(peers))
    successor = successor_of(state, service, bucket_of(key))
    if successor is not None:
        peers = [successor]
    if not peers:
        number = state.view.identity.number
        pin = Pin(upstream=proposal, used_at=now, number=number)
        return store_pin(state, flow, pin, now)
    if len(state.pending) >= MAX_PENDING_FLOWS:
        return Drop(reason="too_many_held")
    state.pending[flow] = PendingFlow(
        proposal=proposal,
        number=state.view.identity.number,
        awaited_peers=frozenset(peers),
        asked_at=float("-inf"),
        since=now,
        last_ignored_query=state.last_query_number,
        adopt=successor is not None,
    )
    return HOLD


def non_leaving_peers(state: FlowState) -> list[str]:
    """Return the live peers that are not leaving."""
    members = state.members
    return [n for n in members.live() if n != state.name and members.is_staying(n)]


def successor_of(state: FlowState, service: str, bucket: int) -> str | None:
    """Return the peer that has taken over a bucket from this leaving entry."""
    hand_over = state.hand_over
    if hand_over is None or not hand_over.is_bucket_handed_over(service, bucket):
        return None
    peers = non_leaving_peers(state)
    return peers[bucket % len(peers)] if peers else None


def is_same_or_later_run_registered(state: FlowState, upstream: UpstreamId) -> bool:
    """Return whether this run of an upstream or a later one is registered here."""
    registered = state.registry.records.get(upstream.address)
    return (
        registered is not None
        and registered.identity.incarnation >= upstream.incarnation
    )


def choose_bucket_upstream(
    state: FlowState, service: str, bucket: int
) -> UpstreamId | None:
    """Return the upstream of a bucket, or the next reachable one in its order.

    Returns None while the bucket's upstream is not registered here: another entry may
    already have sent packets to it. Its record arrives, or the next view omits it.
    """
    chosen = state.view.buckets(service)[bucket]
    if chosen is not None and not is_same_or_later_run_registered(state, chosen):
        return None
    if (
        chosen is not None
        and chosen.address not in state.unreachable
        and state.is_usable(chosen)
    ):
        return chosen
    candidates = [
        record.identity
        for record in records_in_service(
            state.registry.records_of_service(service), state.in_force.current
        )
        if record.phase is UpstreamPhase.READY
        and record.identity.address not in state.unreachable
    ]
    if not candidates:
        return None
    return bucket_order(service, bucket, candidates)[0]


def peers_to_query(
    state: FlowState, service: str, bucket: int, proposal: UpstreamId, now: float
) -> list[str]:
    """Return the peers that may have a pin of a flow that is not known here.

    Without a valid lease, or where the upstream of the view cannot be used, any peer
    may have chosen another upstream.
    """
    live = state.members.live_names
    if proposal != state.view.buckets(service)[bucket]:
        return sorted(live)
    if live and not state.members.is_own_lease_valid(now):
        return sorted(live.union(state.missing_buckets))
    return state.peers_with_missing_lists(service, bucket)


def store_pin(state: FlowState, flow: FlowKey, pin: Pin, now: float) -> Pin:
    """Store and return a pin, and expire those of a few other pins that are idle.

    No pin expires while lists are exchanged: a peer may have omitted it from its own
    list because this entry has reported it.
    """
    table = state.tables[flow.service]
    exception = state.exceptions[flow.service].pop(flow.key)
    if exception is not None and exception.upstream != pin.upstream:
        state.discard_from_exchange(flow.service, flow.key)
    if state.prepared_view is None and state.is_settled():
        for key in table.idle_keys(now):
            expire_pin(state, FlowKey(service=flow.service, key=key))
    evicted = table.evicted_count
    table.put(flow.key, pin)
    if table.evicted_count != evicted:
        state.counters.add("flows_evicted", flow.service)
    return pin


def expire_pin(state: FlowState, flow: FlowKey) -> None:
    """Remove an idle pin, and keep it as an exception if it differs from the view.

    The flow may still be open at a peer, so the exception is removed only after the
    peers have been queried.
    """
    bucket = bucket_of(flow.key)
    pin = state.tables[flow.service].remove(flow.key)
    if pin is not None and pin.upstream != state.view.buckets(flow.service)[bucket]:
        state.exceptions[flow.service].put(flow.key, pin)
    else:
        state.discard_from_exchange(flow.service, flow.key)


def end_flow(state: FlowState, service: str, key: int, now: float) -> None:
    """Remove a pin that is idle or unusable; count the flow as broken if not idle."""
    table = state.tables[service]
    pin = table.get(key)
    if pin is None:
        return
    if table.is_idle(pin, now) and state.is_usable(pin.upstream):
        expire_pin(state, FlowKey(service=service, key=key))
        return
    table.remove(key)
    state.discard_from_exchange(service, key)
    if not table.is_idle(pin, now):
        count_broken_flow(state, service, pin.upstream)


def count_broken_flow(state: FlowState, service: str, upstream: UpstreamId) -> None:
    """Count a broken flow under the reason why its upstream cannot be used."""
    record = state.registry.newest_record(upstream.address)
    if record is None:
        cause = "upstream_gone"
    elif record.identity != upstream:
        cause = "address_changed_hands"
    elif has_left(record):
        cause = "upstream_left"
    elif record.data_centre in state.in_force.current.out:
        cause = "data_centre_out"
    else:
        cause = "upstream_gone"
    state.counters.add("flows_broken", cause)


def should_accept_answer(
    state: FlowState, service: str, key: int, sender: tuple[str, int]
) -> bool:
    """Return whether an upstream's packet belongs to a flow that is pinned to it."""
    pin = state.tables[service].get(key)
    if pin is None or pin.upstream.address != sender:
        return False
    return state.registry.find_for_open_flows(pin.upstream) is not None


def end_flows_out_of_service(state: FlowState) -> int:
    """End the flows to data centres that are out of service, and return their number.

    The configuration in force lists these data centres.
    """
    ended_count = 0
    for service, table in state.tables.items():
        for bucket in table.buckets:
            for key, pin in list(bucket.items()):
                record = state.registry.newest_record(pin.upstream.address)
                if record and record.data_centre in state.in_force.current.out:
                    table.remove(key)
                    state.discard_from_exchange(service, key)
                    count_broken_flow(state, service, pin.upstream)
                    ended_count += 1
    return ended_count
