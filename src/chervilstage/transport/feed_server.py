"""Receives announcements on a control replica; serves them to entries and replicas."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..coordination.replica_apply import newest_routing
from ..coordination.replica_terms import has_quorum_contact
from ..coordination.upstream_feed import (
    all_items,
    apply_feed_item,
    expire_silent_upstreams,
    find_by_label,
    has_urgent_changes,
    is_known_to_followers,
    items_since,
    live_followers,
    merge_feed_record,
    record_feed_query,
    record_upstream_end,
    retain_services,
)
from ..errors.upstreams import (
    NoFollowerError,
    RoutingUnknownError,
    UnknownServiceError,
)
from ..protocol.feed_messages import decode_feed_query, encode_feed_answer
from ..protocol.kinds import Kind
from ..state.configuration import Configuration, RoutingDocument
from ..state.registry import is_leaving
from ..state.types import Address, UpstreamRecord
from ..state.upstream_feed import FeedAnswer, FeedQuery, UpstreamFeed
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameServer
from .replica_driver import ReplicaDriver
from .routing_server import serve_routing
from .upstream_store import UpstreamStore

MAXIMUM_WAIT_SECONDS = 5.0
# An upstream waits 1 s for an acknowledgement, so this is shorter.
PROPAGATION_SECONDS = 0.6
SWEEP_SECONDS = 2.0

ServicesOf = Callable[[RoutingDocument], frozenset[str]]


class FeedServer:
    """Answers the feed queries of entries and other replicas.

    :param services_of: returns the services of a routing table.
    :param store: stores the upstreams across restarts.
    """

    def __init__(
        self,
        *,
        feed: UpstreamFeed,
        driver: ReplicaDriver,
        frames: FrameServer,
        services_of: ServicesOf,
        store: UpstreamStore,
    ) -> None:
        self.feed = feed
        self.driver = driver
        self.services_of = services_of
        self.store = store
        self.changed = anyio.Event()
        self.saved_cursor = 0
        self.cached_services: tuple[int, frozenset[str]] | None = None
        frames.register(Kind.UPSTREAM_FEED, self.answer)
        serve_routing(frames, lambda: self.configuration.routing)

    @property
    def configuration(self) -> Configuration:
        """Return the newest configuration that this replica knows to be committed."""
        return self.driver.replica.applied.configuration

    def services(self) -> frozenset[str]:
        """Return the services of the newest routing table in the log.

        The table may be uncommitted, as a restarted replica does not know yet what is
        committed. Upstreams need not wait for that, since the services are only used
        to reject records of unknown services.

        :raises RoutingUnknownError: there is no routing table yet.
        """
        routing = newest_routing(self.driver.replica)
        if routing is None:
            raise RoutingUnknownError()
        if self.cached_services is None or self.cached_services[0] != routing.version:
            services = self.services_of(routing)
            self.cached_services = (routing.version, services)
            retain_services(self.feed, services, replica_clock())
        return self.cached_services[1]

    async def announce(self, record: UpstreamRecord) -> None:
        """Record an announcement; return once it can be acknowledged.

        An upstream that leaves relies on the acknowledgement, so this waits until the
        announcement has reached every entry that follows the feed, or until the time
        limit has passed.

        :raises UnknownServiceError: the routing table has no such service.
        :raises NoFollowerError: no entry follows the feed and would receive it.
        """
        service = record.identity.service
        if service not in self.services():
            raise UnknownServiceError(service=service)
        if not live_followers(self.feed, replica_clock()):
            raise NoFollowerError()
        previous = self.feed.registry.records.get(record.identity.address)
        merge_feed_record(self.feed, record, replica_clock())
        self.wake_queries()
        if not is_leaving(record):
            return
        if previous is None or not is_leaving(previous):
            log_event("upstream_leaving", **_log_fields(record))
            await self.save_before_acknowledgement()
        await self.wait_for_propagation(
            self.feed.address_cursors.get(record.identity.address, 0)
        )

    async def record_departure(
        self, label: int, incarnation: int | None = None
    ) -> None:
        """Record that an upstream has ended; an unknown upstream is no error.

        A call without an incarnation may be late and refer to an earlier
        incarnation, so it ends the newest one only if that has announced that it
        leaves.

        :param incarnation: the incarnation that has ended, the newest if left out.
        """
        record = find_by_label(self.feed, label, incarnation)
        if record is None:
            log_event("departure_of_unknown", level=logging.WARNING, label=label)
            return
        if incarnation is None and not is_leaving(record):
            fields = _log_fields(record)
            log_event("departure_not_announced", level=logging.WARNING, **fields)
            return
        record_upstream_end(self.feed, record, replica_clock())
        log_event("upstream_gone", **_log_fields(record))
        self.wake_queries()
        await self.save_before_acknowledgement()

    async def save_before_acknowledgement(self) -> None:
        """Save changes before their acknowledgement, since they may not be repeated.

        Calls in the same iteration of the event loop share one save.
        """
        await anyio.lowlevel.checkpoint()
        self.save(replica_clock())

    def save(self, now: float) -> None:
        """Save all upstreams if any has changed since the last save."""
        newest_cursor = self.feed.urgent_cursor
        if newest_cursor != self.saved_cursor and self.store.save(
            all_items(self.feed, now)
        ):
            self.saved_cursor = newest_cursor

    async def wait_for_propagation(self, cursor: int) -> None:
        """Wait, for a limited time, until all followers have received a change."""
        with anyio.move_on_after(PROPAGATION_SECONDS):
            while not is_known_to_followers(self.feed, cursor, replica_clock()):
                await self.changed.wait()

    def apply_answer(self, address: Address, answer: FeedAnswer) -> None:
        """Apply the items of another replica's feed."""
        now = replica_clock()
        previous_cursor = self.feed.urgent_cursor
        for item in answer.items:
            apply_feed_item(self.feed, item, now)
        if self.feed.urgent_cursor != previous_cursor:
            self.wake_queries()

    async def answer(self, sender: str, body: bytes) -> bytes:
        """Answer a query once ``should_answer`` is true, or after its wait time."""
        query = decode_feed_query(body)
        record_feed_query(self.feed, query, replica_clock())
        self.wake_queries()
        with anyio.move_on_after(min(query.wait_seconds, MAXIMUM_WAIT_SECONDS)):
            while not self.should_answer(query):
                await self.changed.wait()
        return encode_feed_answer(self.make_answer(query))

    def should_answer(self, query: FeedQuery) -> bool:
        """Return whether a query should be answered immediately."""
        if query.is_entry and self.configuration.revision > query.revision:
            return True
        return has_urgent_changes(self.feed, query)

    def make_answer(self, query: FeedQuery) -> FeedAnswer:
        """Return the answer to a query."""
        now = replica_clock()
        replica, configuration = self.driver.replica, self.configuration
        routing = configuration.routing
        followers = live_followers(self.feed, now)
        return FeedAnswer(
            run=self.feed.run,
            cursor=self.feed.cursor,
            revision=configuration.revision,
            is_current=has_quorum_contact(replica, now),
            routing_version=routing.version if routing else 0,
            out=configuration.out,
            items=tuple(items_since(self.feed, query, now)),
            replicas=replica.members.members,
            entries=tuple(sorted(f.peer.name for f in followers)),
        )

    def wake_queries(self) -> None:
        """Wake the waiting queries, and the announcements that wait for followers."""
        self.changed.set()
        self.changed = anyio.Event()

    async def watch_revisions(self) -> None:
        """Wake all waiting queries whenever a change is committed."""
        while True:
            await self.driver.revision_changed.wait()
            self.wake_queries()

    async def sweep(self) -> None:
        """Expire silent upstreams and save the others periodically until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = replica_clock()
            expire_silent_upstreams(self.feed, now)
            self.save(now)

    async def start(self, group: TaskGroup) -> None:
        """Load the saved upstreams and start the background tasks."""
        now = replica_clock()
        for item in self.store.load():
            apply_feed_item(self.feed, item, now)
        group.start_soon(self.watch_revisions)
        group.start_soon(self.sweep)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="feed_server", start=self.start)


def _log_fields(record: UpstreamRecord) -> dict[str, Any]:
    address, incarnation, service = record.identity
    return {
        "upstream": f"{address.host}:{address.port}",
        "label": f"{record.label:x}",
        "incarnation": incarnation,
        "service": service,
        "data_centre": record.data_centre,
        "sequence": record.sequence,
    }
