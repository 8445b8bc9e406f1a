"""Exceptions: pins to an upstream other than the one that the view maps them to."""

from __future__ import annotations

from collections.abc import Iterator

from .flow_table import Pin
from .view import BUCKETS, FINGERPRINT_BITS


class KnownExceptions:
    """The exceptions of one service that have no pin on this entry, by bucket.

    They were received from peers, or retained after their idle pin was removed here.
    """

    def __init__(self) -> None:
        self.buckets: list[dict[int, Pin]] = [{} for _ in range(BUCKETS)]
        self.size = 0

    def get(self, key: int) -> Pin | None:
        """Return the exception of a flow."""
        return self.buckets[key >> FINGERPRINT_BITS].get(key)

    def put(self, key: int, pin: Pin) -> None:
        """Store the exception of a flow."""
        bucket = self.buckets[key >> FINGERPRINT_BITS]
        self.size += key not in bucket
        bucket[key] = pin

    def pop(self, key: int) -> Pin | None:
        """Remove the exception of a flow and return it."""
        pin = self.buckets[key >> FINGERPRINT_BITS].pop(key, None)
        self.size -= pin is not None
        return pin

    def keys(self) -> Iterator[int]:
        """Yield the keys of all exceptions."""
        for bucket in self.buckets:
            yield from bucket
