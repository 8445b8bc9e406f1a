"""Counters that decisions and transports increment."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Monotonic counts by metric name and label value."""

    def __init__(self) -> None:
        self.values: Counter[tuple[str, str]] = Counter()

    def add(self, name: str, label: str = "", count: int = 1) -> None:
        """Add to a counter.

        :param name: the name of the metric.
        :param label: the value of its only label, empty if it has none.
        :param count: the increment.
        """
        self.values[(name, label)] += count

    def get(self, name: str, label: str = "") -> int:
        """Return the current value of a counter."""
        return self.values[(name, label)]
