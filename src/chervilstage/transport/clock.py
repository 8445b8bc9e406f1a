"""Monotonic clock for leases, elections and flows."""

from __future__ import annotations

import time


def replica_clock() -> float:
    """Return monotonic seconds that include the time while the VM is suspended.

    A lease must expire during a suspension, which ``CLOCK_MONOTONIC`` does not count.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
