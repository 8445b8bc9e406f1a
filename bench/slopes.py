"""Costs measured at several sizes, with a straight line fitted through them."""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable, Sequence
from typing import NamedTuple

REPEATS = 5


class Point(NamedTuple):
    """The cost at one size."""

    size: int
    cost: float


class Slope(NamedTuple):
    """A cost as a function of a size.

    ``unit`` is the unit of the cost and ``per`` that of the size.
    """

    name: str
    unit: str
    per: str
    points: tuple[Point, ...]

    def fit(self) -> tuple[float, float, float]:
        """Return slope, intercept and the square of the correlation."""
        sizes = [float(point.size) for point in self.points]
        costs = [point.cost for point in self.points]
        line = statistics.linear_regression(sizes, costs)
        if len(set(costs)) == 1:
            return line.slope, line.intercept, 1.0
        return line.slope, line.intercept, statistics.correlation(sizes, costs) ** 2

    def line(self) -> str:
        """Return the line to print."""
        slope, intercept, square = self.fit()
        points = " ".join(f"{point.size}:{point.cost:.6g}" for point in self.points)
        return (
            f"slope={self.name} value={slope:.6g} unit={self.unit}/{self.per} "
            f'intercept={intercept:.6g} r2={square:.4f} points="{points}"'
        )


def processor_seconds(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the smallest processor time of several runs, in seconds."""
    times = []
    for _ in range(repeats):
        started = time.process_time()
        work()
        times.append(time.process_time() - started)
    return min(times)


def bytes_held(build: Callable[[], object]) -> int:
    """Return the memory that a built object holds, in bytes."""
    gc.collect()
    tracemalloc.start()
    built = build()
    gc.collect()
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return held


def measure_slope(
    name: str,
    unit: str,
    per: str,
    sizes: Sequence[int],
    cost: Callable[[int], float],
) -> Slope:
    """Measure a cost at each size."""
    points = tuple(Point(size=size, cost=cost(size)) for size in sizes)
    return Slope(name=name, unit=unit, per=per, points=points)
