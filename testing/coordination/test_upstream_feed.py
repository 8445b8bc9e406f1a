"""Tests of the feed of upstreams from control replicas."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from chervilstage.coordination.upstream_feed import (
    apply_feed_item,
    expire_silent_upstreams,
    find_by_label,
    has_urgent_changes,
    is_known_to_followers,
    items_since,
    merge_feed_record,
    record_feed_query,
    record_upstream_end,
    retain_services,
)
from chervilstage.state.types import UpstreamPhase, UpstreamRecord
from chervilstage.state.upstream_feed import FeedItem, UpstreamFeed
from testing.support.feed_queries import RUN, make_query
from testing.support.token_relays import SERVICE, make_record

OTHER_RUN = 8
BOTH = frozenset({RUN, OTHER_RUN})


class FeedTests(TestCase):
    """Guards against entries that miss a change of an upstream or see a false one."""

    def setUp(self) -> None:
        super().setUp()
        self.feed = UpstreamFeed(run=RUN)

    def test_only_significant_changes_answer_a_query_at_once(self) -> None:
        merge_feed_record(self.feed, make_record(1), 0.0)
        query = make_query(self.feed.cursor)
        merge_feed_record(self.feed, make_record(1, sequence=2), 1.0)
        self.assertFalse(has_urgent_changes(self.feed, query))
        self.assertThat(items_since(self.feed, query, 1.5), HasLength(1))
        leaving = make_record(1, sequence=3, phase=UpstreamPhase.LEAVING)
        merge_feed_record(self.feed, leaving, 2.0)
        self.assertTrue(has_urgent_changes(self.feed, query))

    def test_minor_change_is_sent_only_by_the_replica_that_received_it(self) -> None:
        self.receive_from(OTHER_RUN, make_record(1))
        cursor = self.feed.cursor
        self.receive_from(OTHER_RUN, make_record(1, sequence=2))
        connected_query = make_query(cursor)._replace(answering_runs=BOTH)
        self.assertThat(items_since(self.feed, connected_query, 1.0), HasLength(0))
        partitioned = connected_query._replace(answering_runs=frozenset({RUN}))
        self.assertThat(items_since(self.feed, partitioned, 1.0), HasLength(1))
        merge_feed_record(self.feed, make_record(1, sequence=3), 1.0)
        self.assertThat(items_since(self.feed, connected_query, 1.0), HasLength(1))

    def test_significant_change_is_sent_by_every_replica(self) -> None:
        connected_query = make_query(0)._replace(answering_runs=BOTH)
        self.receive_from(OTHER_RUN, make_record(1))
        self.assertThat(items_since(self.feed, connected_query, 1.0), HasLength(1))
        cursor = self.feed.cursor
        leaving = make_record(1, sequence=2, phase=UpstreamPhase.LEAVING)
        self.receive_from(OTHER_RUN, leaving)
        self.receive_from(OTHER_RUN, leaving._replace(sequence=3))
        connected_query = connected_query._replace(cursor=cursor)
        [item] = items_since(self.feed, connected_query, 1.0)
        self.assertThat(item.record.sequence, Equals(3))

    def receive_from(self, origin: int, record: UpstreamRecord) -> None:
        """Apply a record that another replica sends."""
        item = FeedItem(record=record, age_seconds=0.0, is_gone=False, origin=origin)
        apply_feed_item(self.feed, item, 0.5)

    def test_old_announcement_changes_nothing(self) -> None:
        merge_feed_record(self.feed, make_record(1, incarnation=5, sequence=9), 0.0)
        before = self.feed.cursor
        for late in (
            make_record(1, incarnation=5, sequence=8),
            make_record(1, incarnation=4, sequence=50),
        ):
            self.assertFalse(merge_feed_record(self.feed, late, 1.0))
        self.assertThat(self.feed.cursor, Equals(before))

    def test_cursor_of_another_run_returns_all_items(self) -> None:
        merge_feed_record(self.feed, make_record(1), 0.0)
        query = make_query(99, run=RUN + 1)
        self.assertTrue(has_urgent_changes(self.feed, query))
        self.assertThat(items_since(self.feed, query, 1.0), HasLength(1))

    def test_change_has_reached_entries_once_each_live_one_has_queried_again(
        self,
    ) -> None:
        merge_feed_record(self.feed, make_record(1), 0.0)
        record_feed_query(self.feed, make_query(0), 1.0)
        record_feed_query(self.feed, make_query(0, name="entry-2"), 1.0)
        self.assertFalse(is_known_to_followers(self.feed, self.feed.cursor, 1.1))
        record_feed_query(self.feed, make_query(self.feed.cursor), 1.2)
        self.assertFalse(is_known_to_followers(self.feed, self.feed.cursor, 1.2))
        # The second entry has sent no query for so long that it may have stopped.
        self.assertTrue(is_known_to_followers(self.feed, self.feed.cursor, 3.1))

    def test_end_is_sent_and_not_reverted_by_late_announcements(self) -> None:
        record = make_record(1, sequence=4)
        merge_feed_record(self.feed, record, 0.0)
        record_upstream_end(self.feed, record, 1.0)
        merge_feed_record(self.feed, make_record(1, sequence=3), 1.1)
        items = items_since(self.feed, make_query(0), 2.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))

    def test_end_of_an_earlier_run_does_not_remove_the_new_one(self) -> None:
        merge_feed_record(self.feed, make_record(1, incarnation=2), 0.0)
        old = FeedItem(
            record=make_record(1, incarnation=1), age_seconds=0.0, is_gone=True
        )
        apply_feed_item(self.feed, old, 1.0)
        self.assertThat(self.feed.registry.records, HasLength(1))

    def test_silence_at_one_replica_is_not_sent_as_an_end(self) -> None:
        merge_feed_record(self.feed, make_record(1), 0.0)
        expire_silent_upstreams(self.feed, 100.0)
        self.assertThat(items_since(self.feed, make_query(0), 100.0), Equals([]))

    def test_end_of_an_expired_upstream_is_sent(self) -> None:
        """Guards against entries that never receive the end of a silent upstream."""
        merge_feed_record(self.feed, make_record(1), 0.0)
        expire_silent_upstreams(self.feed, 100.0)
        found = find_by_label(self.feed, 1)
        assert found is not None
        record_upstream_end(self.feed, found, 100.5)
        items = items_since(self.feed, make_query(0), 101.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))

    def test_end_of_an_unknown_upstream_is_sent(self) -> None:
        """Guards against an end that only the replica that received it knows."""
        gone = FeedItem(record=make_record(1), age_seconds=0.0, is_gone=True)
        apply_feed_item(self.feed, gone, 0.5)
        items = items_since(self.feed, make_query(0), 1.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))
        cursor = self.feed.cursor
        apply_feed_item(self.feed, gone, 1.5)
        self.assertThat(self.feed.cursor, Equals(cursor))

    def test_upstreams_of_unknown_services_are_removed(self) -> None:
        merge_feed_record(self.feed, make_record(1), 0.0)
        merge_feed_record(self.feed, make_record(2, service="stranger"), 0.0)
        retain_services(self.feed, [SERVICE], 1.0)
        self.assertThat(self.feed.registry.records, HasLength(1))

    def test_removal_of_a_service_ends_no_flow_of_its_upstreams(self) -> None:
        """Guards against an end that is sent although the upstream has not ended."""
        merge_feed_record(self.feed, make_record(1, service="league-ledger"), 0.0)
        retain_services(self.feed, [SERVICE], 1.0)
        self.assertThat(items_since(self.feed, make_query(0), 1.0), Equals([]))

    def test_label_lookup_returns_the_newest_run(self) -> None:
        merge_feed_record(self.feed, make_record(1, incarnation=2), 0.0)
        found = find_by_label(self.feed, 1)
        assert found is not None
        self.assertThat(found.identity.incarnation, Equals(2))
        self.assertThat(find_by_label(self.feed, 2), Equals(None))
