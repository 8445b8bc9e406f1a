"""Views: numbered maps from buckets to upstreams."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

import xxhash

from .types import UpstreamId

BUCKETS = 1024
# 40 bits within one of 1,024 buckets: with 300,000 flows the probability that any two
# share a key is 4e-5, and such a pair only shares an upstream.
FINGERPRINT_BITS = 40
FINGERPRINT_MASK = (1 << FINGERPRINT_BITS) - 1
KEY_MASK = (BUCKETS << FINGERPRINT_BITS) - 1

BucketMap = tuple[UpstreamId | None, ...]
EMPTY_MAP: BucketMap = (None,) * BUCKETS
ALL_BUCKETS = frozenset(range(BUCKETS))


class ViewId(NamedTuple):
    """The identity of a view: its number and the entry that created it."""

    number: int = 0
    coordinator: str = ""

    def supersedes(self, other: ViewId) -> bool:
        """Return whether this view replaces another.

        Of two views with the same number, the one whose coordinator has the lower name
        wins.
        """
        if self.number != other.number:
            return self.number > other.number
        return self.coordinator < other.coordinator


class View(NamedTuple):
    """A numbered map of the buckets of every service to upstreams."""

    identity: ViewId = ViewId()
    services: Mapping[str, BucketMap] = {}

    def buckets(self, service: str) -> BucketMap:
        """Return the map of a service; an unknown service has no upstreams."""
        return self.services.get(service, EMPTY_MAP)

    def upstream_count(self) -> int:
        """Return the number of upstreams that have buckets, over all services."""
        used = {upstream for buckets in self.services.values() for upstream in buckets}
        return len(used - {None})


def service_seed(service: str) -> int:
    """Return the seed for hashing the flows of a service."""
    return xxhash.xxh3_64_intdigest(service.encode())


def flow_key(seed: int, caller: bytes) -> int:
    """Return the key of a flow: ten bits of bucket number, then its fingerprint.

    :param seed: the seed of the service.
    :param caller: the packed address and port of the caller.
    """
    return xxhash.xxh3_64_intdigest(caller, seed) & KEY_MASK


def bucket_of(key: int) -> int:
    """Return the bucket of a flow's key."""
    return key >> FINGERPRINT_BITS


def changed_buckets(before: View, after: View) -> dict[str, set[int]]:
    """Return the buckets whose upstream differs between two views, by service."""
    changed: dict[str, set[int]] = {}
    for service in before.services.keys() | after.services.keys():
        pairs = zip(before.buckets(service), after.buckets(service), strict=True)
        differing = {bucket for bucket, (a, b) in enumerate(pairs) if a != b}
        if differing:
            changed[service] = differing
    return changed
