"""Lists of upstreams in which one record cannot be read."""

from __future__ import annotations

from pathlib import Path

from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.protocol.feed_messages import (
    decode_feed_answer,
    decode_saved_upstreams,
    encode_feed_answer,
    encode_saved_upstreams,
)
from chervilstage.protocol.log_files import encode_record
from chervilstage.protocol.schemas import schema
from chervilstage.protocol.upstream_messages import (
    decode_records,
    decode_silent,
    encode_records,
    encode_silent,
)
from chervilstage.state.spread import SilentRecord
from chervilstage.state.upstream_feed import FeedAnswer, FeedItem
from chervilstage.transport.upstream_store import FILE, UpstreamStore
from testing.support.odd_messages import MARK, damage
from testing.support.token_relays import make_record

GOOD = [make_record(1), make_record(3)]
RECORDS = [GOOD[0], make_record(2, service=MARK), GOOD[1]]
ITEMS = [FeedItem(record=r, age_seconds=0.0, is_gone=False) for r in RECORDS]


class UnreadableItemsTests(TestCase):
    """Guards against one odd record that hides all others from those who read them."""

    def test_an_answer_of_the_feed_keeps_its_other_items(self) -> None:
        answer = FeedAnswer(
            run=1,
            cursor=2,
            revision=3,
            is_current=True,
            routing_version=4,
            out=frozenset({"gl-erie"}),
            items=tuple(ITEMS),
            replicas=(),
            entries=("entry-1",),
        )
        data = damage(schema("feed").FeedAnswer, encode_feed_answer(answer))
        found = decode_feed_answer(data)
        self.assertThat([item.record for item in found.items], Equals(GOOD))
        self.assertThat(found.unread, Equals(1))
        self.assertThat(found.entries, Equals(("entry-1",)))

    def test_the_saved_upstreams_keep_their_other_items(self) -> None:
        data = damage(schema("feed").SavedUpstreams, encode_saved_upstreams(ITEMS))
        items, unread = decode_saved_upstreams(data)
        self.assertThat([item.record for item in items], Equals(GOOD))
        self.assertThat(unread, Equals(1))

    def test_records_of_peers_keep_the_others(self) -> None:
        data = damage(schema("upstreams").UpstreamRecords, encode_records(RECORDS))
        records, unread = decode_records(data)
        self.assertThat((records, unread), Equals((GOOD, 1)))

    def test_silent_records_of_peers_keep_the_others(self) -> None:
        silent = [SilentRecord(record=record, seconds=1.0) for record in RECORDS]
        data = damage(schema("upstreams").SilentUpstreams, encode_silent(silent))
        found, unread = decode_silent(data)
        self.assertThat([item.record for item in found], Equals(GOOD))
        self.assertThat(unread, Equals(1))


def test_a_replica_starts_with_the_other_saved_upstreams(tmp_path: Path) -> None:
    """Guards against a restart of all replicas that forgets every upstream."""
    data = damage(schema("feed").SavedUpstreams, encode_saved_upstreams(ITEMS))
    (tmp_path / FILE).write_bytes(encode_record(data))
    loaded = UpstreamStore(folder=tmp_path).load()
    assert [item.record for item in loaded] == GOOD
