"""Measure costs at several sizes and fit a straight line to them."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

DEFAULT_REPEATS = 5


class Point(NamedTuple):
    """The cost at one size."""

    size: int
    cost: float


class Slope(NamedTuple):
    """Measured costs by size.

    ``unit`` is the unit of the cost and ``per`` that of the size.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and squared correlation of the fitted line."""
        sizes = [float(point.size) for point in self.points]
        costs = [point.cost for point in self.points]
        regression = statistics.linear_regression(sizes, costs)
        if len(set(costs)) == 1:
            return regression.slope, regression.intercept, 1.0
        return (
            regression.slope,
            regression.intercept,
            statistics.correlation(sizes, costs) ** 2,
        )

    def format_line(self) -> str:
        """Return the output line."""
        slope, intercept, r_squared = self.fit()
        points = " ".join(f"{point.size}:{point.cost:.6g}" for point in self.points)
        return (
            f"slope={self.name} value={slope:.6g} unit={self.unit}/{self.per} "
            f'intercept={intercept:.6g} r2={r_squared:.4f} points="{points}"'
        )


def min_processor_seconds(
    work: Callable[[], object], repeats: int = DEFAULT_REPEATS
) -> float:
    """Return the minimum processor time of several runs, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times)


def measure_traced_bytes(build: Callable[[], object]) -> int:
    """Return the memory allocated by a built object, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    traced_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return traced_bytes


def measure_slope(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    cost: Callable[[int], float],
) -> Slope:
    """Measure the cost at each size."""
    points = tuple(Point(size=size, cost=cost(size)) for size in sizes)
    return Slope(name=name, unit=unit, per=per, points=points)
