"""Apply changes of the configuration and of the upstreams to an entry's relay."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ..state.registry import has_same_label, is_leaving
from ..state.routing import Routing, endpoint_of
from ..state.token_flows import EndedUpstream, TokenRelayState
from ..state.types import UpstreamRecord
from ..state.upstream_feed import FeedItem
from .flow_tokens import flow_token, records_by_token

# Longer than callers keep a flow that is not answered.
ENDED_TOKEN_RETENTION_SECONDS = 120.0
# Longer than the idle timeout of flows, since a flow may outlive the announcements of
# its upstream.
UPSTREAM_EXPIRY_SECONDS = 90.0


def apply_routing(state: TokenRelayState, routing: Routing, now: float) -> None:
    """Apply a version of the routing table."""
    state.routing = routing
    state.routes = {endpoint_of(route.address): route for route in routing.routes}
    removed = state.services_by_front.keys() - state.routes.keys()
    state.removed_at = {front: state.removed_at.get(front, now) for front in removed}
    for front, route in state.routes.items():
        services = frozenset(share.service for share in route.shares)
        state.services_by_front[front] = (
            state.services_by_front.get(front, frozenset()) | services
        )


def apply_data_centres_out(state: TokenRelayState, out: frozenset[str]) -> None:
    """Apply the list of data centres that are out of service.

    The upstreams of a data centre that is back may have become cold unnoticed, so they
    count as cold until they have announced themselves again.
    """
    restored = state.out - out
    state.out = out
    for address, record in state.registry.records.items():
        if record.data_centre in restored:
            state.required_sequences[address] = record.sequence
    rebuild_tables(state)


def apply_feed_items(
    state: TokenRelayState, items: Iterable[FeedItem], now: float
) -> list[UpstreamRecord]:
    """Apply records from a control replica and return those that changed."""
    changed = []
    ended_count = len(state.ended)
    for item in items:
        record = item.record
        address = record.identity.address
        registered = state.registry.records.get(address)
        newest = state.registry.newest_record(address)
        if item.is_gone:
            if _apply_end(state, record, now):
                changed.append(record)
            continue
        if not state.registry.merge(record, now - item.age_seconds):
            continue
        stored = state.registry.records[address]
        state.ended.pop(flow_token(stored.identity), None)
        if registered is None or _has_changed(registered, stored):
            changed.append(stored)
        if newest is not None and newest.identity != stored.identity:
            _record_end(state, newest, now)
    if changed or len(state.ended) != ended_count:
        rebuild_tables(state)
    return changed


def expire_upstreams(state: TokenRelayState, now: float) -> None:
    """Remove upstreams that were not announced for long, and old records of ended ones.

    Missing announcements don't prove that an upstream has ended, so the flows of a
    removed upstream stay open, also those that it took by the token of an earlier run.
    """
    registry = state.registry
    expired = [
        a
        for a, at in registry.last_received_at.items()
        if now - at > UPSTREAM_EXPIRY_SECONDS
    ]
    expired_records = [registry.remove(address, now) for address in expired]
    registry.expire_removed(now - ENDED_TOKEN_RETENTION_SECONDS)
    state.ended = {
        token: ended
        for token, ended in state.ended.items()
        if now - ended.ended_at < ENDED_TOKEN_RETENTION_SECONDS
        and not any(has_same_label(ended.record, record) for record in expired_records)
    }
    if expired:
        rebuild_tables(state)


def rebuild_tables(state: TokenRelayState) -> None:
    """Recompute the token table and the upstreams that may get new flows."""
    records = list(state.registry.records.values())
    state.tokens = _successor_runs(state) | records_by_token(records)
    eligible: dict[str, list[UpstreamRecord]] = defaultdict(list)
    for record in sorted(records):
        if is_leaving(record) or record.data_centre in state.out:
            continue
        if state.tokens[flow_token(record.identity)] is record:
            eligible[record.identity.service].append(record)
    state.eligible = {
        service: tuple(service_records) for service, service_records in eligible.items()
    }
    state.required_sequences = {
        address: sequence
        for address, sequence in state.required_sequences.items()
        if address in state.registry.records
        and state.registry.records[address].sequence <= sequence
    }


def _successor_runs(state: TokenRelayState) -> dict[int, UpstreamRecord]:
    """Return the runs that have the address and label of an ended one, by its token.

    Such a run may have taken flows by that token before its first announcement arrived
    here. It answers the callers of flows that it has no state for.
    """
    records = state.registry.records
    successors = {}
    for token, ended in state.ended.items():
        current = records.get(ended.record.identity.address)
        if current is not None and has_same_label(ended.record, current):
            successors[token] = current
    return successors


def _apply_end(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Apply the end of a run and return whether the run was registered here."""
    stored = state.registry.records.get(record.identity.address)
    _record_end(state, record, now)
    if not state.registry.record_end(record, now) or stored is None:
        return False
    _record_end(state, stored, now)
    return True


def _record_end(state: TokenRelayState, record: UpstreamRecord, now: float) -> None:
    ended = EndedUpstream(record=record, ended_at=now)
    state.ended.setdefault(flow_token(record.identity), ended)


def _has_changed(before: UpstreamRecord, after: UpstreamRecord) -> bool:
    """Return whether more than sequence, load and remaining cold time differs."""
    return before._replace(
        sequence=after.sequence, load=after.load, cold_seconds=after.cold_seconds
    ) != after or bool(before.cold_seconds) != bool(after.cold_seconds)
