"""Whether the upstreams of an entry's own data centre go first.

Flows that stay in their data centre outlive a partition between data centres. They
spill over when its upstreams are few, or take longer to answer than others.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from random import Random

from ..state.token_flows import TokenRelayState
from ..state.types import UpstreamRecord

# The part of new flows placed without regard to data centres, so that the latency of
# upstreams elsewhere is known.
EXPLORING_SHARE = 1 / 32
# A data centre with this part of the mean number of slots takes all of its flows.
SUFFICIENT_SLOTS = 0.5
# Queues, rather than distance or chance, make a data centre slower than this.
STRAINED_RATIO = 2.0
LATENCY_WEIGHT = 0.1


def prefers_own(
    state: TokenRelayState, records: Sequence[UpstreamRecord], rng: Random
) -> bool:
    """Tell whether a new flow should stay in this entry's data centre.

    :param records: upstreams of one service that may take the flow.
    """
    if not state.data_centre:
        return False
    share = _share_of_own(state.data_centre, records)
    if not share or rng.random() >= share * (1 - EXPLORING_SHARE):
        return False
    return not _is_strained(state, records[0].identity.service)


def note_latency(
    state: TokenRelayState, record: UpstreamRecord, seconds: float
) -> None:
    """Smooth the time to the answers of a data centre."""
    key = (record.identity.service, record.data_centre)
    usual = state.centre_latencies.get(key)
    if usual is not None:
        seconds = usual + LATENCY_WEIGHT * (seconds - usual)
    state.centre_latencies[key] = seconds


def _share_of_own(own: str, records: Sequence[UpstreamRecord]) -> float:
    """Return the part of the flows that the slots of the own data centre suffice for.

    Callers are taken to be spread evenly over the data centres.
    """
    slots: defaultdict[str, int] = defaultdict(int)
    for record in records:
        slots[record.data_centre] += record.slots
    held = slots.get(own, 0)
    if not held:
        return 0.0
    mean = sum(slots.values()) / len(slots)
    return min(1.0, held / (SUFFICIENT_SLOTS * mean))


def _is_strained(state: TokenRelayState, service: str) -> bool:
    """Tell whether the own data centre answers much more slowly than another one."""
    own = state.centre_latencies.get((service, state.data_centre))
    others = [
        seconds
        for (name, data_centre), seconds in state.centre_latencies.items()
        if name == service and data_centre != state.data_centre
    ]
    if own is None or not others:
        return False
    return own > STRAINED_RATIO * min(others)
