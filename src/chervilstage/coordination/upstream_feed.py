"""Distribution of upstream announcements to entries through the control replicas.

An upstream announces itself to any replica. Entries and the other replicas query each
replica in turn for changes. Changes that affect new flows are sent at once, the rest
within a second. An announcement that changes nothing is sent only by the replica that
received it, unless the querying side does not reach that one.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..state.registry import is_leaving
from ..state.types import Address, UpstreamRecord
from ..state.upstream_feed import FeedItem, FeedQuery, Follower, UpstreamFeed

# An entry that has sent no query for two rounds may have stopped.
FOLLOWER_TIMEOUT_SECONDS = 2.0
SILENT_RETENTION_SECONDS = 60.0
REMOVED_RETENTION_SECONDS = 120.0


def merge_feed_record(
    feed: UpstreamFeed,
    record: UpstreamRecord,
    heard_at: float,
    origin: int | None = None,
) -> bool:
    """Merge an announcement or a record of another replica; return whether it was new.

    :param heard_at: when the announcement arrived, in seconds of this replica's clock.
    :param origin: the run of the replica that received it, by default this one.
    """
    before = feed.registry.records.get(record.identity.address)
    if not feed.registry.merge(record, heard_at):
        return False
    after = feed.registry.records.get(record.identity.address)
    feed.origins[record.identity.address] = feed.run if origin is None else origin
    is_significant = before is None or _is_significant(before, after)
    _record_change(feed, record.identity.address, is_significant)
    return True


def record_upstream_end(feed: UpstreamFeed, record: UpstreamRecord, now: float) -> None:
    """Record that a run of an upstream has ended."""
    if feed.registry.record_end(record, now):
        _record_change(feed, record.identity.address, True)


def apply_feed_item(feed: UpstreamFeed, item: FeedItem, now: float) -> None:
    """Apply an item that another replica sent about an upstream."""
    if item.is_gone:
        record_upstream_end(feed, item.record, now)
    else:
        merge_feed_record(feed, item.record, now - item.age_seconds, item.origin)


def find_by_label(
    feed: UpstreamFeed, label: int, incarnation: int | None = None
) -> UpstreamRecord | None:
    """Return an upstream by its label, including removed ones.

    :param incarnation: the run to return, by default the newest one.
    """
    registry = feed.registry
    known = [
        *registry.records.values(),
        *(d.record for d in registry.removed_upstreams.values()),
    ]
    found = [
        record
        for record in known
        if record.label == label and incarnation in (None, record.identity.incarnation)
    ]
    return max(found, key=lambda r: r.identity.incarnation, default=None)


def record_feed_query(feed: UpstreamFeed, query: FeedQuery, now: float) -> None:
    """Record an entry as a follower, with the cursor of its query."""
    if query.is_entry:
        cursor = query.cursor if query.run == feed.run else 0
        feed.followers[query.sender.name] = Follower(
            peer=query.sender, asked_at=now, cursor=cursor
        )


def has_urgent_changes(feed: UpstreamFeed, query: FeedQuery) -> bool:
    """Return whether a query should be answered at once."""
    return query.run != feed.run or feed.urgent_cursor > query.cursor


def items_since(feed: UpstreamFeed, query: FeedQuery, now: float) -> list[FeedItem]:
    """Return what has changed since the cursor of a query."""
    cursor = query.cursor if query.run == feed.run else 0
    items = []
    for address, last_change in feed.address_cursors.items():
        if last_change <= cursor or _is_sent_by_origin(feed, address, cursor, query):
            continue
        record = feed.registry.records.get(address)
        if record is not None:
            items.append(_make_item(feed, record, now))
            continue
        removed = feed.registry.removed_upstreams.get(address)
        if removed is not None and removed.has_ended:
            items.append(FeedItem(record=removed.record, age_seconds=0.0, is_gone=True))
    return items


def all_items(feed: UpstreamFeed, now: float) -> list[FeedItem]:
    """Return all known upstreams, including those that have ended.

    Without the latter, a late announcement would restore them after a restart.
    """
    registry = feed.registry
    ended = [
        FeedItem(record=removed.record, age_seconds=0.0, is_gone=True)
        for removed in registry.removed_upstreams.values()
        if removed.has_ended
    ]
    return [
        _make_item(feed, record, now) for record in registry.records.values()
    ] + ended


def live_followers(feed: UpstreamFeed, now: float) -> list[Follower]:
    """Return the entries that currently query this replica."""
    found = feed.followers.values()
    return [f for f in found if now - f.asked_at < FOLLOWER_TIMEOUT_SECONDS]


def is_known_to_followers(feed: UpstreamFeed, cursor: int, now: float) -> bool:
    """Return whether each entry that queries this replica has received a change."""
    return all(f.cursor >= cursor for f in live_followers(feed, now))


def expire_silent_upstreams(feed: UpstreamFeed, now: float) -> None:
    """Remove upstreams and followers that have been silent for long.

    Nobody is notified, because this replica may be cut off from upstreams that are
    alive.
    """
    registry = feed.registry
    for address, heard_at in list(registry.last_received_at.items()):
        if now - heard_at > SILENT_RETENTION_SECONDS:
            registry.remove(address, now)
    registry.expire_removed(now - REMOVED_RETENTION_SECONDS)
    known = registry.records.keys() | registry.removed_upstreams.keys()
    for by_address in (feed.address_cursors, feed.urgent_address_cursors, feed.origins):
        for address in by_address.keys() - known:
            del by_address[address]
    feed.followers = {
        name: follower
        for name, follower in feed.followers.items()
        if now - follower.asked_at < SILENT_RETENTION_SECONDS
    }


def retain_services(feed: UpstreamFeed, services: Iterable[str], now: float) -> None:
    """Remove upstreams of services that are not in the configuration.

    Nobody is notified, because they have not ended and may still serve flows that were
    opened before.
    """
    known = set(services)
    for record in list(feed.registry.records.values()):
        if record.identity.service not in known:
            feed.registry.remove(record.identity.address, now)


def _record_change(feed: UpstreamFeed, address: Address, is_significant: bool) -> None:
    feed.cursor += 1
    feed.address_cursors[address] = feed.cursor
    if is_significant:
        feed.urgent_cursor = feed.urgent_address_cursors[address] = feed.cursor


def _make_item(feed: UpstreamFeed, record: UpstreamRecord, now: float) -> FeedItem:
    address = record.identity.address
    return FeedItem(
        record=record,
        age_seconds=now - feed.registry.last_received_at[address],
        is_gone=False,
        origin=feed.origins.get(address, 0),
    )


def _is_sent_by_origin(
    feed: UpstreamFeed, address: Address, cursor: int, query: FeedQuery
) -> bool:
    """Return whether a minor change reaches the querying side from its origin."""
    origin = feed.origins.get(address, 0)
    if origin == feed.run or origin not in query.answering_runs:
        return False
    return feed.urgent_address_cursors.get(address, 0) <= cursor


def _is_significant(before: UpstreamRecord, after: UpstreamRecord | None) -> bool:
    if after is None or before.identity != after.identity:
        return True
    if is_leaving(before) != is_leaving(after) or before.slots != after.slots:
        return True
    return after.cold_seconds > before.cold_seconds
