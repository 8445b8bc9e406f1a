"""Tests of the cost of computing views."""

from __future__ import annotations

from testtools import TestCase

from chervilstage.coordination import view
from chervilstage.state.types import Address, UpstreamId
from chervilstage.state.view import BUCKETS, EMPTY_MAP

SERVICE = "alley-desk"
UPSTREAMS = [
    UpstreamId(
        address=Address(host="10.0.0.1", port=port), incarnation=1, service=SERVICE
    )
    for port in range(4)
]


class ViewTests(TestCase):
    """Guards against a coordinator that spends too long computing a view."""

    def test_planned_change_of_a_map_scores_each_bucket_once_per_upstream_pair(
        self,
    ) -> None:
        alone = view.compute_buckets(SERVICE, {UPSTREAMS[0]: 1.0}, EMPTY_MAP)
        view._score.cache_clear()
        shared = view.compute_buckets(SERVICE, dict.fromkeys(UPSTREAMS, 1.0), alone)
        scored = view._score.cache_info()
        self.assertLessEqual(scored.hits + scored.misses, 3 * BUCKETS)
        bucket_counts = [shared.count(upstream) for upstream in UPSTREAMS]
        self.assertEqual(bucket_counts, [BUCKETS // 4] * 4)
