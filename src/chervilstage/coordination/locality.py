"""Preference for upstreams of an entry's own data centre.

Flows that stay in their data centre survive a partition between data centres. They
spill over when it has too few upstreams or they answer more slowly than others.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from random import Random

from ..state.token_flows import TokenRelayState
from ..state.types import UpstreamRecord

# The share of new flows placed without regard to data centres, so that the latency of
# upstreams elsewhere is measured.
EXPLORATION_SHARE = 1 / 32
# A data centre with this share of the mean number of slots serves all of its flows.
SUFFICIENT_SLOTS = 0.5
# A latency ratio above this is due to queueing rather than to distance or chance.
OVERLOAD_LATENCY_RATIO = 2.0
LATENCY_WEIGHT = 0.1


def prefers_own_data_centre(
    state: TokenRelayState, records: Sequence[UpstreamRecord], rng: Random
) -> bool:
    """Return whether a new flow should stay in this entry's data centre.

    :param records: upstreams of one service that may take the flow.
    """
    if not state.data_centre:
        return False
    share = _own_share(state.data_centre, records)
    if not share or rng.random() >= share * (1 - EXPLORATION_SHARE):
        return False
    return not _is_overloaded(state, records[0].identity.service)


def record_data_centre_latency(
    state: TokenRelayState, record: UpstreamRecord, seconds: float
) -> None:
    """Update the smoothed latency of a data centre."""
    key = (record.identity.service, record.data_centre)
    average = state.data_centre_latencies.get(key)
    if average is not None:
        seconds = average + LATENCY_WEIGHT * (seconds - average)
    state.data_centre_latencies[key] = seconds


def _own_share(own: str, records: Sequence[UpstreamRecord]) -> float:
    """Return the share of flows that the slots of the own data centre can serve.

    Callers are assumed to be spread evenly over the data centres.
    """
    slots: defaultdict[str, int] = defaultdict(int)
    for record in records:
        slots[record.data_centre] += record.slots
    own_slots = slots.get(own, 0)
    if not own_slots:
        return 0.0
    mean = sum(slots.values()) / len(slots)
    return min(1.0, own_slots / (SUFFICIENT_SLOTS * mean))


def _is_overloaded(state: TokenRelayState, service: str) -> bool:
    """Return whether the own data centre is much slower than another one."""
    own = state.data_centre_latencies.get((service, state.data_centre))
    others = [
        seconds
        for (name, data_centre), seconds in state.data_centre_latencies.items()
        if name == service and data_centre != state.data_centre
    ]
    if own is None or not others:
        return False
    return own > OVERLOAD_LATENCY_RATIO * min(others)
