"""The pins of flows."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address, UpstreamId


class Pin(NamedTuple):
    """The upstream that a flow goes to, and when it was last used."""

    upstream: UpstreamId
    used_at: float


class FlowTable:
    """Pins of one service by caller, with a bound on their number.

    The dictionary is ordered by last use, so expiry looks only at its front.

    :param capacity: the largest number of pins.
    :param idle_seconds: how long a pin outlives its last packet.
    """

    def __init__(self, *, capacity: int, idle_seconds: float) -> None:
        self.capacity = capacity
        self.idle_seconds = idle_seconds
        self.pins: dict[Address, Pin] = {}

    def get(self, caller: Address) -> UpstreamId | None:
        """Return the upstream that a caller's flow is pinned to."""
        pin = self.pins.get(caller)
        return pin.upstream if pin else None

    def put(self, caller: Address, upstream: UpstreamId, now: float) -> None:
        """Pin a flow, or record that a pinned flow is in use."""
        self.pins.pop(caller, None)
        self.expire(now, limit=2)
        self.pins[caller] = Pin(upstream=upstream, used_at=now)

    def expire(self, now: float, limit: int) -> int:
        """Remove at most ``limit`` idle pins and return how many went."""
        removed = 0
        while self.pins and removed < limit:
            oldest = next(iter(self.pins))
            full = len(self.pins) >= self.capacity
            if not full and now - self.pins[oldest].used_at <= self.idle_seconds:
                break
            del self.pins[oldest]
            removed += 1
        return removed

    def drop_upstream(self, upstream: Address) -> int:
        """Remove every pin to an address and return how many went."""
        ended = [c for c, p in self.pins.items() if p.upstream.address == upstream]
        for caller in ended:
            del self.pins[caller]
        return len(ended)
