"""What changes of the configuration and of the upstreams do to an entry's relay."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from ..state.registry import is_leaving, shares_label
from ..state.routing import Routing, endpoint_of
from ..state.token_flows import EndedUpstream, TokenRelayState
from ..state.types import UpstreamRecord
from ..state.upstream_feed import FeedItem
from .flow_tokens import flow_token, token_holders

# Longer than callers keep a flow that is not answered.
ENDED_TOKEN_SECONDS = 120.0
# Longer than an idle flow lives, since a flow may outlast its upstream's announcements.
FORGOTTEN_SECONDS = 90.0


def put_routing(state: TokenRelayState, routing: Routing, now: float) -> None:
    """Put a version of the routing table in force."""
    state.routing = routing
    state.routes = {endpoint_of(route.address): route for route in routing.routes}
    removed = state.services_of.keys() - state.routes.keys()
    state.removed_at = {front: state.removed_at.get(front, now) for front in removed}
    for front, route in state.routes.items():
        services = frozenset(share.service for share in route.shares)
        state.services_of[front] = state.services_of.get(front, frozenset()) | services


def put_out(state: TokenRelayState, out: frozenset[str]) -> None:
    """Put the list of data centres that are out of service in force.

    The upstreams of one that is back may have turned cold without our knowledge, so
    they count as cold until they have announced themselves once more.
    """
    back = state.out - out
    state.out = out
    for address, record in state.registry.records.items():
        if record.data_centre in back:
            state.unproven[address] = record.sequence
    rebuild(state)


def take_items(
    state: TokenRelayState, items: Iterable[FeedItem], now: float
) -> list[UpstreamRecord]:
    """Take records from a control replica and return those that are news here."""
    news = []
    ended = len(state.ended)
    for item in items:
        record = item.record
        address = record.identity.address
        before = state.registry.records.get(address)
        known = state.registry.known(address)
        if item.is_gone:
            if _take_end(state, record, now):
                news.append(record)
            continue
        if not state.registry.merge(record, now - item.age_seconds):
            continue
        held = state.registry.records[address]
        state.ended.pop(flow_token(held.identity), None)
        if before is None or _is_other(before, held):
            news.append(held)
        if known is not None and known.identity != held.identity:
            _note_end(state, known, now)
    if news or len(state.ended) != ended:
        rebuild(state)
    return news


def forget_old(state: TokenRelayState, now: float) -> None:
    """Forget upstreams that have been silent for long, and old ends.

    Silence is no proof of an end, so the flows of a forgotten upstream stay open, those
    that it took by the token of an earlier run as well.
    """
    registry = state.registry
    old = [a for a, at in registry.heard_at.items() if now - at > FORGOTTEN_SECONDS]
    forgotten = [registry.remove(address, now) for address in old]
    registry.forget_departed(now - ENDED_TOKEN_SECONDS)
    state.ended = {
        token: ended
        for token, ended in state.ended.items()
        if now - ended.at < ENDED_TOKEN_SECONDS
        and not any(shares_label(ended.record, record) for record in forgotten)
    }
    if old:
        rebuild(state)


def rebuild(state: TokenRelayState) -> None:
    """Compute the tokens and the upstreams that may get new flows."""
    records = list(state.registry.records.values())
    state.tokens = _next_runs(state) | token_holders(records)
    eligible: dict[str, list[UpstreamRecord]] = defaultdict(list)
    for record in sorted(records):
        if is_leaving(record) or record.data_centre in state.out:
            continue
        if state.tokens[flow_token(record.identity)] is record:
            eligible[record.identity.service].append(record)
    state.eligible = {name: tuple(found) for name, found in eligible.items()}
    state.unproven = {
        address: sequence
        for address, sequence in state.unproven.items()
        if address in state.registry.records
        and state.registry.records[address].sequence <= sequence
    }


def _next_runs(state: TokenRelayState) -> dict[int, UpstreamRecord]:
    """Return the runs that have the address and label of an ended one, by its token.

    Such a run may have taken flows by that token before it was heard of. It answers the
    callers of those that it does not hold itself.
    """
    records = state.registry.records
    found = {}
    for token, ended in state.ended.items():
        current = records.get(ended.record.identity.address)
        if current is not None and shares_label(ended.record, current):
            found[token] = current
    return found


def _take_end(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Take note that a run has ended, and tell whether it was held here."""
    held = state.registry.records.get(record.identity.address)
    _note_end(state, record, now)
    if not state.registry.end(record, now) or held is None:
        return False
    _note_end(state, held, now)
    return True


def _note_end(state: TokenRelayState, record: UpstreamRecord, now: float) -> None:
    ended = EndedUpstream(record=record, at=now)
    state.ended.setdefault(flow_token(record.identity), ended)


def _is_other(before: UpstreamRecord, after: UpstreamRecord) -> bool:
    """Tell whether a record differs beyond its sequence, load and remaining cold."""
    return before._replace(
        sequence=after.sequence, load=after.load, cold_seconds=after.cold_seconds
    ) != after or bool(before.cold_seconds) != bool(after.cold_seconds)
