"""The pins of flows."""

from __future__ import annotations

from typing import NamedTuple

from .types import UpstreamId
from .view import BUCKETS, FINGERPRINT_BITS

# The share of the idle time after which a packet updates its pin's time of last use, so
# that most packets do not write to the table.
REFRESH_SHARE = 1 / 16
# The number of pins checked for expiry whenever one is added: more than one, so that
# the sweep is faster than the growth of the table.
SWEEP_PER_PIN = 3
# The number of pins of which a full table evicts the one that was idle for longest.
EVICTION_SAMPLE = 16


class Pin(NamedTuple):
    """The upstream that a flow is assigned to.

    ``number`` is the number of the view under which the pin was created; of two pins of
    a flow, the one with the lower number is older and is kept.
    """

    upstream: UpstreamId
    used_at: float
    number: int


class FlowTable:
    """The pins of one service by flow key, bounded in number.

    Pins are stored by bucket, so that the flows of a reassigned bucket are found
    without a scan of the table.

    :param capacity: the maximum number of pins.
    :param idle_seconds: how long a pin is kept after its last packet.
    """

    def __init__(self, *, capacity: int, idle_seconds: float) -> None:
        self.capacity = capacity
        self.idle_seconds = idle_seconds
        self.refresh_seconds = idle_seconds * REFRESH_SHARE
        self.buckets: list[dict[int, Pin]] = [{} for _ in range(BUCKETS)]
        self.size = 0
        self.evicted_count = 0
        self.sweep_bucket = 0
        self.sweep_keys: list[int] = []

    def get(self, key: int) -> Pin | None:
        """Return the pin of a flow, including one that is idle but not yet removed."""
        return self.buckets[key >> FINGERPRINT_BITS].get(key)

    def put(self, key: int, pin: Pin) -> None:
        """Store the pin of a flow; a full table evicts one of its longest idle pins."""
        bucket = self.buckets[key >> FINGERPRINT_BITS]
        if key not in bucket:
            if self.size >= self.capacity:
                self.evict()
            self.size += 1
        bucket[key] = pin

    def touch(self, key: int, pin: Pin, now: float) -> None:
        """Record that a pinned flow is in use."""
        if now - pin.used_at > self.refresh_seconds:
            self.buckets[key >> FINGERPRINT_BITS][key] = pin._replace(used_at=now)

    def remove(self, key: int) -> Pin | None:
        """Remove the pin of a flow and return it."""
        pin = self.buckets[key >> FINGERPRINT_BITS].pop(key, None)
        self.size -= pin is not None
        return pin

    def is_idle(self, pin: Pin, now: float) -> bool:
        """Return whether a pin has been unused for longer than the idle time."""
        return now - pin.used_at > self.idle_seconds

    def next_sweep_keys(self, limit: int) -> list[int]:
        """Return the next keys of the sweep, which cycles through all buckets."""
        if not self.sweep_keys:
            self.sweep_bucket = (self.sweep_bucket + 1) % BUCKETS
            self.sweep_keys = list(self.buckets[self.sweep_bucket])
        keys = self.sweep_keys[-limit:]
        del self.sweep_keys[-limit:]
        return keys

    def idle_keys(self, now: float, limit: int = SWEEP_PER_PIN) -> list[int]:
        """Return those of the next keys of the sweep whose pins are idle."""
        idle = []
        for key in self.next_sweep_keys(limit):
            pin = self.get(key)
            if pin is not None and self.is_idle(pin, now):
                idle.append(key)
        return idle

    def evict(self) -> None:
        """Remove the longest idle pin among a sample of the next keys of the sweep."""
        sample: list[tuple[float, int]] = []
        while not sample:
            for key in self.next_sweep_keys(EVICTION_SAMPLE):
                pin = self.get(key)
                if pin is not None:
                    sample.append((pin.used_at, key))
        self.remove(min(sample)[1])
        self.evicted_count += 1
