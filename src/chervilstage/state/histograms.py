"""Histograms of durations."""

from __future__ import annotations

from bisect import bisect_left

# Upper bounds in seconds, from the time of a cached answer to the longest deadline.
BOUNDS_SECONDS = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Histogram:
    """Counts of durations by upper bound; the last count has no upper bound."""

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_SECONDS) + 1)
        self.total_seconds = 0.0

    def observe(self, seconds: float) -> None:
        """Count a duration."""
        self.counts[bisect_left(BOUNDS_SECONDS, seconds)] += 1
        self.total_seconds += seconds

    def cumulative(self) -> list[tuple[float, int]]:
        """Return the number of durations up to each bound, infinity last."""
        counts_by_bound = []
        count = 0
        for bound, bucket in zip(
            (*BOUNDS_SECONDS, float("inf")), self.counts, strict=True
        ):
            count += bucket
            counts_by_bound.append((bound, count))
        return counts_by_bound
