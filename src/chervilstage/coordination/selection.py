"""The choice of an upstream for a request."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random

from ..errors.upstreams import NoUpstreamError
from ..state.types import Address, UpstreamPhase, UpstreamRecord


def choose_upstream(
    *,
    service: str,
    records: Sequence[UpstreamRecord],
    in_flight: Counter[Address],
    excluded: frozenset[Address],
    rng: Random,
) -> UpstreamRecord:
    """Take the less loaded of two random candidates.

    :raises NoUpstreamError: no candidate is ready and under its limit.
    """
    candidates = [
        r
        for r in records
        if r.phase is UpstreamPhase.READY
        and r.identity.address not in excluded
        and in_flight[r.identity.address] < r.slots
    ]
    if not candidates:
        raise NoUpstreamError(service=service)
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda r: in_flight[r.identity.address])
