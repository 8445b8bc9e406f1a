"""The choice of an upstream for a new flow."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence, Set as AbstractSet
from math import exp
from random import Random

from ..state.routing import Route, RoutedService
from ..state.token_flows import TokenRelayState, UpstreamLoad
from ..state.types import Address, UpstreamRecord
from .locality import prefers_own
from .rendezvous import rendezvous_order
from .suspicion import is_suspect

# Of three announcements one may be lost and one may be late.
SILENT_ANNOUNCEMENTS = 3.75
# Beyond what the upstream says, since its announcement has travelled for a while.
COLD_MARGIN_SECONDS = 0.3
# Two entries that disagree on who may try a cold upstream stay below 5 a second.
COLD_TRIALS_PER_SECOND = 2.0
# A held flow is likely to carry requests later on.
HELD_FLOW_WEIGHT = 0.05
SLOW_RATIO = 1.5
# How much more than the least loaded one an upstream of the own data centre may have
# to do, in requests per slot.
OWN_ADVANTAGE = 0.75
# An upstream that has been slow is tried again as its last answer ages.
LATENCY_AGEING_SECONDS = 5.0


def choose_service(route: Route, rng: Random) -> str:
    """Return a service of a route, drawn by the weights."""
    shares = route.shares
    if len(shares) == 1:
        return shares[0].service
    weights = [share.weight for share in shares]
    return rng.choices([share.service for share in shares], weights)[0]


def choose_upstream(
    state: TokenRelayState,
    service: str,
    excluded: AbstractSet[Address],
    now: float,
    rng: Random,
) -> UpstreamRecord | None:
    """Return the upstream for a new flow, None if no upstream may take it.

    Upstreams that answer go before those that are silent or suspect; a cold one gets
    a few flows only if there is no other.

    :param excluded: addresses that did not answer this flow's opening packet.
    """
    records = [
        r for r in state.eligible.get(service, ()) if r.identity.address not in excluded
    ]
    warm = [r for r in records if not is_cold(state, r, now)]
    lively = [r for r in warm if not _is_doubtful(state, r, now)]
    if lively:
        return _least_loaded(state, lively, now, rng)
    if warm:
        return _least_loaded(state, warm, now, rng)
    return _cold_trial(state, service, records, now)


def is_cold(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Tell whether an upstream is within its cold start."""
    address = record.identity.address
    newest = state.registry.records[address]
    if newest.sequence <= state.unproven.get(address, -1):
        return True
    if not newest.cold_seconds:
        return False
    heard_at = state.registry.heard_at[address]
    return now < heard_at + newest.cold_seconds + COLD_MARGIN_SECONDS


def _is_doubtful(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    address = record.identity.address
    if is_suspect(state, record, now):
        return True
    silence = now - state.registry.heard_at[address]
    return silence > SILENT_ANNOUNCEMENTS * state.announcement_seconds


def _least_loaded(
    state: TokenRelayState, records: Sequence[UpstreamRecord], now: float, rng: Random
) -> UpstreamRecord:
    """Return the upstream with the lowest cost; equal ones take turns at random."""
    usual = SLOW_RATIO * _usual_latency(state, records)
    own = state.data_centre if prefers_own(state, records, rng) else None

    def cost(record: UpstreamRecord) -> tuple[float, float]:
        """Return the expected wait of a new flow, and what orders equal ones."""
        wait = _wait(record, state.load_of(record), usual, now)
        if record.data_centre == own:
            wait -= OWN_ADVANTAGE
        return wait, rng.random()

    return min(records, key=cost)


def _usual_latency(state: TokenRelayState, records: Sequence[UpstreamRecord]) -> float:
    """Return the latency of the quickest data centre, 0 if none is known.

    A data centre whose upstreams are all slow, or all busy, is thereby seen as such.
    """
    known: defaultdict[str, list[float]] = defaultdict(list)
    for record in records:
        if latency := state.load_of(record).latency:
            known[record.data_centre].append(latency)
    middle = [sorted(latencies)[len(latencies) // 2] for latencies in known.values()]
    return min(middle, default=0.0)


def _wait(
    record: UpstreamRecord, load: UpstreamLoad, usual: float, now: float
) -> float:
    """Return the expected wait of a new flow, in requests per slot."""
    pending = load.in_flight + HELD_FLOW_WEIGHT * load.flows + 1.0
    if usual and load.latency > usual:
        age = max(0.0, now - load.answered_at)
        excess = load.latency / usual - 1.0
        pending *= 1.0 + excess * exp(-age / LATENCY_AGEING_SECONDS)
    return pending / record.slots


def _cold_trial(
    state: TokenRelayState, service: str, records: Sequence[UpstreamRecord], now: float
) -> UpstreamRecord | None:
    """Return a cold upstream whose rate of new flows allows one more.

    Only one entry sends flows to a cold upstream, the first by rendezvous hash.
    """
    rate = max(COLD_TRIALS_PER_SECOND, _cold_rate(state, service))
    for record in records:
        address = record.identity.address
        key = f"{address.host}:{address.port}"
        if rendezvous_order(key, state.entries)[0] != state.name:
            continue
        load = state.load_of(record)
        earned = (now - load.trialled_at) * rate
        tokens = min(1.0, load.trial_tokens + earned)
        if tokens >= 1.0:
            load.trial_tokens = tokens - 1.0
            load.trialled_at = now
            return record
    return None


def _cold_rate(state: TokenRelayState, service: str) -> float:
    services: tuple[RoutedService, ...] = (
        state.routing.services if state.routing else ()
    )
    return next((s.cold_flows_per_second for s in services if s.name == service), 0.0)
