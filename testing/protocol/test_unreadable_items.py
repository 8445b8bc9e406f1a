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
    decode_silent_upstreams,
    encode_records,
    encode_silent_upstreams,
)
from chervilstage.state.dissemination import SilentRecord
from chervilstage.state.upstream_feed import FeedAnswer, FeedItem
from chervilstage.transport.upstream_store import FILE_NAME, UpstreamStore
from testing.support.damaged_texts import TEXT_MARKER, damage_texts
from testing.support.token_relays import make_record

READABLE = [make_record(1), make_record(3)]
RECORDS = [READABLE[0], make_record(2, service=TEXT_MARKER), READABLE[1]]
ITEMS = [FeedItem(record=r, age_seconds=0.0, is_gone=False) for r in RECORDS]


class UnreadableItemsTests(TestCase):
    """Guards against one unreadable record that hides the readable ones in its list."""

    def test_feed_answer_keeps_its_readable_items(self) -> None:
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
        data = damage_texts(schema("feed").FeedAnswer, encode_feed_answer(answer))
        found = decode_feed_answer(data)
        self.assertThat([item.record for item in found.items], Equals(READABLE))
        self.assertThat(found.unread, Equals(1))
        self.assertThat(found.entries, Equals(("entry-1",)))

    def test_saved_upstreams_keep_their_readable_items(self) -> None:
        data = damage_texts(
            schema("feed").SavedUpstreams, encode_saved_upstreams(ITEMS)
        )
        items, unread = decode_saved_upstreams(data)
        self.assertThat([item.record for item in items], Equals(READABLE))
        self.assertThat(unread, Equals(1))

    def test_records_of_peers_keep_the_readable_ones(self) -> None:
        data = damage_texts(
            schema("upstreams").UpstreamRecords, encode_records(RECORDS)
        )
        records, unread = decode_records(data)
        self.assertThat((records, unread), Equals((READABLE, 1)))

    def test_silent_records_of_peers_keep_the_readable_ones(self) -> None:
        silent = [SilentRecord(record=record, seconds=1.0) for record in RECORDS]
        data = damage_texts(
            schema("upstreams").SilentUpstreams, encode_silent_upstreams(silent)
        )
        found, unread = decode_silent_upstreams(data)
        self.assertThat([item.record for item in found], Equals(READABLE))
        self.assertThat(unread, Equals(1))


def test_replica_start_loads_the_readable_saved_upstreams(tmp_path: Path) -> None:
    """Guards against the loss of every upstream when all replicas restart."""
    data = damage_texts(schema("feed").SavedUpstreams, encode_saved_upstreams(ITEMS))
    (tmp_path / FILE_NAME).write_bytes(encode_record(data))
    loaded = UpstreamStore(folder=tmp_path).load()
    assert [item.record for item in loaded] == READABLE
