"""Selection of an upstream for a request."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from ..state.types import UpstreamRecord

# A load report older than this says nothing about the present load.
REPORT_VALID_SECONDS = 3.0


class Candidate(NamedTuple):
    """An upstream that may take one more request of this entry.

    ``load`` is this entry's own requests in flight plus the aged report; ``latency``
    is in seconds; ``away`` means that it is in another data centre.
    """

    record: UpstreamRecord
    load: float
    latency: float
    away: bool
    trial: bool = False


def aged_load(reported: int, own: int, age: float) -> float:
    """Return the load of an upstream by other entries, weighted by the report's age.

    :param own: the requests of this entry, which the report includes.
    :param age: seconds since the report.
    """
    return max(0, reported - own) * max(0.0, 1 - age / REPORT_VALID_SECONDS)


def choose_candidate(candidates: Sequence[Candidate], rng: Random) -> Candidate | None:
    """Return the less loaded of two random candidates; a due trial has priority."""
    trials = [c for c in candidates if c.trial]
    if trials:
        return rng.choice(trials)
    if not candidates:
        return None
    pair = rng.sample(candidates, min(2, len(candidates)))
    return min(pair, key=lambda c: (c.load, c.away, c.latency))
