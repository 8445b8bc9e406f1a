"""Tests of the flow table's bound and expiry, and of the bucket maps of views."""

from __future__ import annotations

from collections import Counter

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals, LessThan

from chervilstage.coordination.view import compute_buckets
from chervilstage.state.flow_table import FlowTable, Pin
from chervilstage.state.types import Address, UpstreamId
from chervilstage.state.view import BUCKETS, EMPTY_MAP, flow_key


def upstream(port: int) -> UpstreamId:
    """Return an upstream's identity."""
    return UpstreamId(
        address=Address(host="10.0.0.1", port=port), incarnation=1, service="s"
    )


class FlowTableTests(TestCase):
    """Guards against a table that exceeds its capacity or misses idle pins."""

    @given(st.lists(st.integers(0, 400), max_size=300))
    def test_size_is_bounded_and_counted(self, flows: list[int]) -> None:
        table = FlowTable(capacity=50, idle_seconds=10.0)
        for now, flow in enumerate(flows):
            key = flow_key(1, flow.to_bytes(6, "big"))
            pin = Pin(upstream=upstream(1), used_at=now / 10, number=1)
            table.put(key, pin)
            self.assertThat(table.get(key), Equals(pin))
        stored = sum(len(bucket) for bucket in table.buckets)
        self.assertThat(table.size, Equals(stored))
        self.assertThat(stored, LessThan(51))

    def test_sweep_finds_every_idle_pin(self) -> None:
        table = FlowTable(capacity=500, idle_seconds=10.0)
        keys = {flow_key(1, n.to_bytes(6, "big")) for n in range(300)}
        for key in keys:
            table.put(key, Pin(upstream=upstream(1), used_at=0.0, number=1))
        found: set[int] = set()
        for _ in range(BUCKETS + 300):
            found.update(table.idle_keys(11.0))
        self.assertThat(found, Equals(keys))


class ViewMapTests(TestCase):
    """Guards against views that move buckets without need or assign them unevenly."""

    @given(st.integers(2, 9), st.integers(1, 200))
    def test_joining_upstream_gets_its_batch_and_no_other_bucket_moves(
        self, count: int, batch: int
    ) -> None:
        weights = {upstream(n): 1.0 for n in range(count)}
        before = compute_buckets("s", weights, EMPTY_MAP)
        weights[upstream(99)] = 1.0
        after = compute_buckets("s", weights, before, batch)
        moved = [new for old, new in zip(before, after, strict=True) if old != new]
        share = BUCKETS // (count + 1)
        self.assertThat(set(moved), Equals({upstream(99)}))
        self.assertLessEqual(abs(len(moved) - min(batch, share)), 1)

    @given(st.integers(3, 9))
    def test_leaving_upstream_loses_its_buckets_and_others_stay_even(
        self, count: int
    ) -> None:
        weights = {upstream(n): 1.0 for n in range(count)}
        before = compute_buckets("s", weights, EMPTY_MAP)
        del weights[upstream(0)]
        after = compute_buckets("s", weights, before, 0)
        for old, new in zip(before, after, strict=True):
            if old != upstream(0):
                self.assertThat(new, Equals(old))
        counts = Counter(after)
        self.assertThat(counts[upstream(0)], Equals(0))
        self.assertLessEqual(max(counts.values()) - min(counts.values()), 2)
