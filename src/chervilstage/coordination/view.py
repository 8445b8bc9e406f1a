"""Computes views, and limits how many of their buckets move at once."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

from ..state.types import UpstreamId
from ..state.view import BUCKETS, BucketMap, View, ViewId

# The weights of the upstreams of each service.
Weights = Mapping[str, Mapping[UpstreamId, float]]


@lru_cache(maxsize=65_536)
def _score(service: str, bucket: int, upstream: UpstreamId) -> int:
    host, port = upstream.address
    return xxhash.xxh3_64_intdigest(f"{service}|{bucket}|{host}:{port}".encode())


def bucket_order(
    service: str, bucket: int, upstreams: Iterable[UpstreamId]
) -> list[UpstreamId]:
    """Return upstreams in the rendezvous order of a bucket, the first choice first."""
    return sorted(upstreams, key=lambda u: (-_score(service, bucket, u), u))


def bucket_shares(weights: Mapping[UpstreamId, float]) -> dict[UpstreamId, int]:
    """Return how many buckets each upstream should hold, by the largest remainder."""
    total = sum(weights.values())
    if total <= 0:
        return {}
    exact = {u: BUCKETS * weight / total for u, weight in weights.items() if weight > 0}
    shares = {upstream: int(value) for upstream, value in exact.items()}
    unassigned_count = BUCKETS - sum(shares.values())
    by_remainder = sorted(exact, key=lambda u: (int(exact[u]) - exact[u], u))
    for upstream in by_remainder[:unassigned_count]:
        shares[upstream] += 1
    return shares


def _sort_by_score(service: str, buckets: list[int], upstream: UpstreamId) -> list[int]:
    """Return buckets in ascending order of their score with an upstream."""
    return sorted(buckets, key=lambda b: (_score(service, b, upstream), -b))


def compute_buckets(
    service: str,
    weights: Mapping[UpstreamId, float],
    previous: BucketMap,
    batch: int = BUCKETS,
) -> BucketMap:
    """Return the next map of a service, moving as few buckets as possible.

    All buckets whose upstream has no weight move. Of the others at most ``batch`` move,
    to upstreams that hold less than their share.
    """
    shares = bucket_shares(weights)
    if not shares:
        return previous
    deficits = dict(shares)
    unassigned = [b for b, upstream in enumerate(previous) if upstream not in shares]
    for upstream in previous:
        if upstream in deficits:
            deficits[upstream] -= 1
    result = list(previous)
    for bucket in unassigned:
        candidates = [u for u, deficit in deficits.items() if deficit > 0] or list(
            deficits
        )
        chosen = bucket_order(service, bucket, candidates)[0]
        result[bucket] = chosen
        deficits[chosen] -= 1
    upstreams = sorted(deficits)
    # The buckets are sorted once for each pair of source and target. Scoring all
    # buckets of the source for each move took 0.2 s, during which the coordinator sends
    # no heartbeat and begins to be treated as paused itself.
    orders: dict[tuple[UpstreamId, UpstreamId], list[int]] = {}
    for _ in range(batch):
        target = max(upstreams, key=lambda u: deficits[u])
        source = min(upstreams, key=lambda u: deficits[u])
        if deficits[target] <= 0 or deficits[source] >= 0:
            break
        if (source, target) not in orders:
            source_buckets = [
                b for b, upstream in enumerate(result) if upstream == source
            ]
            orders[(source, target)] = _sort_by_score(service, source_buckets, target)
        order = orders[(source, target)]
        while result[order[-1]] != source:
            order.pop()
        result[order.pop()] = target
        deficits[target] -= 1
        deficits[source] += 1
    return tuple(result)


def compute_view(
    identity: ViewId, weights: Weights, previous: View, batch: int = BUCKETS
) -> View:
    """Return the next view.

    :param weights: the upstreams of each service and their share of its flows. A
        service without upstreams keeps its map.
    :param batch: the largest number of buckets of a service that move although their
        upstream still gets new flows.
    """
    return View(
        identity=identity,
        services={
            service: compute_buckets(
                service, upstreams, previous.buckets(service), batch
            )
            for service, upstreams in weights.items()
        },
    )


def has_misassigned_bucket(weights: Weights, view: View) -> bool:
    """Return whether a bucket is assigned to an upstream that gets no new flows."""
    return any(
        not set(view.buckets(service)) <= upstreams.keys()
        for service, upstreams in weights.items()
        if upstreams
    )
