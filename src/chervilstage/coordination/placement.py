"""Placement of new flows on upstreams."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence, Set as AbstractSet
from math import exp
from random import Random

from ..state.routing import Route, RoutedService
from ..state.token_flows import TokenRelayState, UpstreamLoad
from ..state.types import Address, UpstreamRecord
from .locality import prefers_own_data_centre
from .rendezvous import rendezvous_order
from .suspicion import is_suspect

# Announcement intervals without an announcement after which an upstream counts as
# unresponsive. Allows for one lost and one late announcement out of three.
SILENT_ANNOUNCEMENTS = 3.75
# Added to the announced cold start to cover the transit time of the announcement.
COLD_MARGIN_SECONDS = 0.3
# Two entries that both try a cold upstream because they disagree on which one may do so
# stay below 5 trials per second together.
COLD_TRIALS_PER_SECOND = 2.0
# The part of a request in flight that an open flow counts as, because it is likely to
# carry more requests later.
OPEN_FLOW_WEIGHT = 0.05
# An upstream is slow if its latency is more than this many times the baseline.
SLOW_LATENCY_RATIO = 1.5
# The number of requests per slot by which an upstream of the own data centre may exceed
# the least loaded one.
OWN_DATA_CENTRE_ADVANTAGE = 0.75
# A slow upstream is tried again as the weight of its last latency decays.
LATENCY_DECAY_SECONDS = 5.0


def choose_service(route: Route, rng: Random) -> str:
    """Return a random service of a route, according to the weights."""
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

    Upstreams that answer have priority over those that are silent or suspect; a cold
    one gets a few flows only if there is no other.

    :param excluded: addresses that did not answer this flow's opening packet.
    """
    records = [
        r for r in state.eligible.get(service, ()) if r.identity.address not in excluded
    ]
    warm = [r for r in records if not is_cold(state, r, now)]
    responsive = [r for r in warm if not _is_unresponsive(state, r, now)]
    if responsive:
        return _least_loaded(state, responsive, now, rng)
    if warm:
        return _least_loaded(state, warm, now, rng)
    return _choose_cold_trial(state, service, records, now)


def is_cold(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Return whether an upstream is within its cold start."""
    address = record.identity.address
    newest = state.registry.records[address]
    if newest.sequence <= state.required_sequences.get(address, -1):
        return True
    if not newest.cold_seconds:
        return False
    heard_at = state.registry.last_received_at[address]
    return now < heard_at + newest.cold_seconds + COLD_MARGIN_SECONDS


def _is_unresponsive(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> bool:
    address = record.identity.address
    if is_suspect(state, record, now):
        return True
    silence = now - state.registry.last_received_at[address]
    return silence > SILENT_ANNOUNCEMENTS * state.announcement_seconds


def _least_loaded(
    state: TokenRelayState, records: Sequence[UpstreamRecord], now: float, rng: Random
) -> UpstreamRecord:
    """Return the upstream with the lowest cost, a random one among equals."""
    slow_latency = SLOW_LATENCY_RATIO * _baseline_latency(state, records)
    own = state.data_centre if prefers_own_data_centre(state, records, rng) else None

    def cost(record: UpstreamRecord) -> tuple[float, float]:
        """Return the expected wait of a new flow and a random tie-breaker."""
        wait = _expected_wait(record, state.load_of(record), slow_latency, now)
        if record.data_centre == own:
            wait -= OWN_DATA_CENTRE_ADVANTAGE
        return wait, rng.random()

    return min(records, key=cost)


def _baseline_latency(
    state: TokenRelayState, records: Sequence[UpstreamRecord]
) -> float:
    """Return the lowest median latency of a data centre, 0 if none is known.

    The comparison with it detects a data centre whose upstreams are all slow or busy.
    """
    by_data_centre: defaultdict[str, list[float]] = defaultdict(list)
    for record in records:
        if latency := state.load_of(record).latency:
            by_data_centre[record.data_centre].append(latency)
    medians = [
        sorted(latencies)[len(latencies) // 2] for latencies in by_data_centre.values()
    ]
    return min(medians, default=0.0)


def _expected_wait(
    record: UpstreamRecord, load: UpstreamLoad, slow_latency: float, now: float
) -> float:
    """Return the expected wait of a new flow, in requests per slot."""
    pending = load.in_flight + OPEN_FLOW_WEIGHT * load.flows + 1.0
    if slow_latency and load.latency > slow_latency:
        age = max(0.0, now - load.answered_at)
        excess = load.latency / slow_latency - 1.0
        pending *= 1.0 + excess * exp(-age / LATENCY_DECAY_SECONDS)
    return pending / record.slots


def _choose_cold_trial(
    state: TokenRelayState, service: str, records: Sequence[UpstreamRecord], now: float
) -> UpstreamRecord | None:
    """Return a cold upstream whose limit on the rate of new flows allows one more.

    Only the first entry by rendezvous hash sends flows to a cold upstream.
    """
    rate = max(COLD_TRIALS_PER_SECOND, _cold_rate(state, service))
    for record in records:
        address = record.identity.address
        key = f"{address.host}:{address.port}"
        if rendezvous_order(key, state.entries)[0] != state.name:
            continue
        load = state.load_of(record)
        refill = (now - load.last_trial_at) * rate
        tokens = min(1.0, load.trial_tokens + refill)
        if tokens >= 1.0:
            load.trial_tokens = tokens - 1.0
            load.last_trial_at = now
            return record
    return None


def _cold_rate(state: TokenRelayState, service: str) -> float:
    services: tuple[RoutedService, ...] = (
        state.routing.services if state.routing else ()
    )
    return next((s.cold_flows_per_second for s in services if s.name == service), 0.0)
