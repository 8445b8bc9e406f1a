"""The feed of upstreams from control replicas."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, HasLength

from chervilstage.coordination.upstream_feed import (
    find_label,
    forget_silent,
    has_news,
    has_spread,
    items_since,
    keep_services,
    note_query,
    take_departure,
    take_item,
    take_record,
)
from chervilstage.state.types import UpstreamPhase, UpstreamRecord
from chervilstage.state.upstream_feed import FeedItem, UpstreamFeed
from testing.support.feed_queries import RUN, make_query
from testing.support.token_relays import SERVICE, make_record

OTHER_RUN = 8
BOTH = frozenset({RUN, OTHER_RUN})


class FeedTests(TestCase):
    """Guards against entries that miss a change of an upstream, or hear a false one."""

    def setUp(self) -> None:
        super().setUp()
        self.feed = UpstreamFeed(run=RUN)

    def test_only_changes_that_matter_answer_a_query_at_once(self) -> None:
        take_record(self.feed, make_record(1), 0.0)
        query = make_query(self.feed.cursor)
        take_record(self.feed, make_record(1, sequence=2), 1.0)
        self.assertFalse(has_news(self.feed, query))
        self.assertThat(items_since(self.feed, query, 1.5), HasLength(1))
        leaving = make_record(1, sequence=3, phase=UpstreamPhase.LEAVING)
        take_record(self.feed, leaving, 2.0)
        self.assertTrue(has_news(self.feed, query))

    def test_a_change_without_news_comes_from_the_replica_that_heard_it(self) -> None:
        self.take_from(OTHER_RUN, make_record(1))
        cursor = self.feed.cursor
        self.take_from(OTHER_RUN, make_record(1, sequence=2))
        hearing = make_query(cursor)._replace(heard=BOTH)
        self.assertThat(items_since(self.feed, hearing, 1.0), HasLength(0))
        cut_off = hearing._replace(heard=frozenset({RUN}))
        self.assertThat(items_since(self.feed, cut_off, 1.0), HasLength(1))
        take_record(self.feed, make_record(1, sequence=3), 1.0)
        self.assertThat(items_since(self.feed, hearing, 1.0), HasLength(1))

    def test_news_comes_from_every_replica(self) -> None:
        hearing = make_query(0)._replace(heard=BOTH)
        self.take_from(OTHER_RUN, make_record(1))
        self.assertThat(items_since(self.feed, hearing, 1.0), HasLength(1))
        cursor = self.feed.cursor
        leaving = make_record(1, sequence=2, phase=UpstreamPhase.LEAVING)
        self.take_from(OTHER_RUN, leaving)
        self.take_from(OTHER_RUN, leaving._replace(sequence=3))
        hearing = hearing._replace(cursor=cursor)
        [item] = items_since(self.feed, hearing, 1.0)
        self.assertThat(item.record.sequence, Equals(3))

    def take_from(self, origin: int, record: UpstreamRecord) -> None:
        """Take what another replica tells."""
        item = FeedItem(record=record, age_seconds=0.0, is_gone=False, origin=origin)
        take_item(self.feed, item, 0.5)

    def test_an_old_announcement_changes_nothing(self) -> None:
        take_record(self.feed, make_record(1, incarnation=5, sequence=9), 0.0)
        before = self.feed.cursor
        for late in (
            make_record(1, incarnation=5, sequence=8),
            make_record(1, incarnation=4, sequence=50),
        ):
            self.assertFalse(take_record(self.feed, late, 1.0))
        self.assertThat(self.feed.cursor, Equals(before))

    def test_a_cursor_of_another_run_gets_everything(self) -> None:
        take_record(self.feed, make_record(1), 0.0)
        query = make_query(99, run=RUN + 1)
        self.assertTrue(has_news(self.feed, query))
        self.assertThat(items_since(self.feed, query, 1.0), HasLength(1))

    def test_a_change_has_spread_once_each_live_entry_has_asked_again(self) -> None:
        take_record(self.feed, make_record(1), 0.0)
        note_query(self.feed, make_query(0), 1.0)
        note_query(self.feed, make_query(0, name="entry-2"), 1.0)
        self.assertFalse(has_spread(self.feed, self.feed.cursor, 1.1))
        note_query(self.feed, make_query(self.feed.cursor), 1.2)
        self.assertFalse(has_spread(self.feed, self.feed.cursor, 1.2))
        # The second entry has not asked for so long that it may be gone.
        self.assertTrue(has_spread(self.feed, self.feed.cursor, 3.1))

    def test_a_departure_is_told_and_outlives_late_announcements(self) -> None:
        record = make_record(1, sequence=4)
        take_record(self.feed, record, 0.0)
        take_departure(self.feed, record, 1.0)
        take_record(self.feed, make_record(1, sequence=3), 1.1)
        items = items_since(self.feed, make_query(0), 2.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))

    def test_a_departure_of_an_earlier_run_leaves_the_new_one(self) -> None:
        take_record(self.feed, make_record(1, incarnation=2), 0.0)
        old = FeedItem(
            record=make_record(1, incarnation=1), age_seconds=0.0, is_gone=True
        )
        take_item(self.feed, old, 1.0)
        self.assertThat(self.feed.registry.records, HasLength(1))

    def test_silence_here_is_not_told_as_an_end(self) -> None:
        take_record(self.feed, make_record(1), 0.0)
        forget_silent(self.feed, 100.0)
        self.assertThat(items_since(self.feed, make_query(0), 100.0), Equals([]))

    def test_the_end_of_a_forgotten_upstream_is_told(self) -> None:
        """Guards against entries that never hear the end of a silent upstream."""
        take_record(self.feed, make_record(1), 0.0)
        forget_silent(self.feed, 100.0)
        found = find_label(self.feed, 1)
        assert found is not None
        take_departure(self.feed, found, 100.5)
        items = items_since(self.feed, make_query(0), 101.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))

    def test_the_end_of_an_upstream_that_was_never_heard_is_told(self) -> None:
        """Guards against an end that stays at the replica that was told of it."""
        gone = FeedItem(record=make_record(1), age_seconds=0.0, is_gone=True)
        take_item(self.feed, gone, 0.5)
        items = items_since(self.feed, make_query(0), 1.0)
        self.assertThat([item.is_gone for item in items], Equals([True]))
        cursor = self.feed.cursor
        take_item(self.feed, gone, 1.5)
        self.assertThat(self.feed.cursor, Equals(cursor))

    def test_services_that_are_not_known_are_dropped(self) -> None:
        take_record(self.feed, make_record(1), 0.0)
        take_record(self.feed, make_record(2, service="stranger"), 0.0)
        keep_services(self.feed, [SERVICE], 1.0)
        self.assertThat(self.feed.registry.records, HasLength(1))

    def test_a_service_that_is_dropped_ends_no_flow_of_its_upstreams(self) -> None:
        """Guards against an end that is told without the upstream's word."""
        take_record(self.feed, make_record(1, service="league-ledger"), 0.0)
        keep_services(self.feed, [SERVICE], 1.0)
        self.assertThat(items_since(self.feed, make_query(0), 1.0), Equals([]))

    def test_a_label_finds_the_newest_run(self) -> None:
        take_record(self.feed, make_record(1, incarnation=2), 0.0)
        found = find_label(self.feed, 1)
        assert found is not None
        self.assertThat(found.identity.incarnation, Equals(2))
        self.assertThat(find_label(self.feed, 2), Equals(None))
