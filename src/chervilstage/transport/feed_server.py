"""Takes announcements on a control replica and feeds them to entries and replicas."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

import anyio
import anyio.lowlevel
from anyio.abc import TaskGroup

from ..coordination.replica_apply import newest_routing
from ..coordination.replica_terms import knows_majority
from ..coordination.upstream_feed import (
    all_items,
    find_label,
    forget_silent,
    has_news,
    has_spread,
    items_since,
    keep_services,
    live_followers,
    note_query,
    take_departure,
    take_item,
    take_record,
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
# An upstream waits a second for the acknowledgement of an announcement.
SPREAD_SECONDS = 0.6
SWEEP_SECONDS = 2.0

ServicesOf = Callable[[RoutingDocument], frozenset[str]]


class FeedServer:
    """Answers the feed queries of entries and other replicas.

    :param services_of: returns the services that a routing table knows.
    :param store: keeps the upstreams over a restart.
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
        self.saved = 0
        self.known_services: tuple[int, frozenset[str]] | None = None
        frames.serve(Kind.UPSTREAM_FEED, self.answer)
        serve_routing(frames, lambda: self.configuration.routing)

    @property
    def configuration(self) -> Configuration:
        """Return the configuration that this replica knows to be committed."""
        return self.driver.replica.applied.configuration

    def services(self) -> frozenset[str]:
        """Return the services of the newest routing table in the log.

        A replica that has restarted does not know yet what is committed; upstreams
        need not wait for that, since this only keeps out records of strangers.

        :raises RoutingUnknownError: there is no routing table yet.
        """
        routing = newest_routing(self.driver.replica)
        if routing is None:
            raise RoutingUnknownError()
        if self.known_services is None or self.known_services[0] != routing.version:
            services = self.services_of(routing)
            self.known_services = (routing.version, services)
            keep_services(self.feed, services, replica_clock())
        return self.known_services[1]

    async def announce(self, record: UpstreamRecord) -> None:
        """Take an announcement; return once what it promises can be kept.

        An upstream that leaves may rely on the acknowledgement, so every entry that
        follows has to have heard of it, or to have had the time.

        :raises UnknownServiceError: the routing table has no such service.
        :raises NoFollowerError: no entry would hear of it.
        """
        service = record.identity.service
        if service not in self.services():
            raise UnknownServiceError(service=service)
        if not live_followers(self.feed, replica_clock()):
            raise NoFollowerError()
        before = self.feed.registry.records.get(record.identity.address)
        take_record(self.feed, record, replica_clock())
        self.notify()
        if not is_leaving(record):
            return
        if before is None or not is_leaving(before):
            log_event("upstream_leaving", **_shown(record))
            await self.keep_news()
        await self.wait_for_spread(self.feed.changed.get(record.identity.address, 0))

    async def depart(self, label: int, incarnation: int | None = None) -> None:
        """Take note that an upstream has ended; one that is not known is no error.

        A call that names no run may come late and speak of an earlier one, so it ends
        the newest run only if that has said that it leaves.

        :param incarnation: the run that has ended, the newest one if left out.
        """
        record = find_label(self.feed, label, incarnation)
        if record is None:
            log_event("departure_of_unknown", level=logging.WARNING, label=label)
            return
        if incarnation is None and not is_leaving(record):
            shown = _shown(record)
            log_event("departure_not_announced", level=logging.WARNING, **shown)
            return
        take_departure(self.feed, record, replica_clock())
        log_event("upstream_gone", **_shown(record))
        self.notify()
        await self.keep_news()

    async def keep_news(self) -> None:
        """Save what is about to be acknowledged: nobody may say it again.

        Calls that come together share one save.
        """
        await anyio.lowlevel.checkpoint()
        self.save(replica_clock())

    def save(self, now: float) -> None:
        """Save what is known if there is news since the last time."""
        news = self.feed.news
        if news != self.saved and self.store.save(all_items(self.feed, now)):
            self.saved = news

    async def wait_for_spread(self, cursor: int) -> None:
        """Wait until the entries that follow have heard of a change, for a time."""
        with anyio.move_on_after(SPREAD_SECONDS):
            while not has_spread(self.feed, cursor, replica_clock()):
                await self.changed.wait()

    def take_answer(self, address: Address, answer: FeedAnswer) -> None:
        """Take what another replica has heard of upstreams."""
        now = replica_clock()
        news = self.feed.news
        for item in answer.items:
            take_item(self.feed, item, now)
        if self.feed.news != news:
            self.notify()

    async def answer(self, sender: str, body: bytes) -> bytes:
        """Answer a query once there is news, or after the time it allows."""
        query = decode_feed_query(body)
        note_query(self.feed, query, replica_clock())
        self.notify()
        with anyio.move_on_after(min(query.wait_seconds, MAXIMUM_WAIT_SECONDS)):
            while not self.has_news(query):
                await self.changed.wait()
        return encode_feed_answer(self.make_answer(query))

    def has_news(self, query: FeedQuery) -> bool:
        """Tell whether a query should be answered at once."""
        if query.is_entry and self.configuration.revision > query.revision:
            return True
        return has_news(self.feed, query)

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
            is_current=knows_majority(replica, now),
            routing_version=routing.version if routing else 0,
            out=configuration.out,
            items=tuple(items_since(self.feed, query, now)),
            replicas=replica.members.members,
            entries=tuple(sorted(f.peer.name for f in followers)),
        )

    def notify(self) -> None:
        """Wake the queries that wait."""
        self.changed.set()
        self.changed = anyio.Event()

    async def watch_revisions(self) -> None:
        """Wake the queries that wait whenever a change is committed."""
        while True:
            await self.driver.revision_changed.wait()
            self.notify()

    async def sweep(self) -> None:
        """Save what is known and forget what is old until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = replica_clock()
            forget_silent(self.feed, now)
            self.save(now)

    async def start(self, group: TaskGroup) -> None:
        """Take what was saved and begin to watch."""
        now = replica_clock()
        for item in self.store.load():
            take_item(self.feed, item, now)
        group.start_soon(self.watch_revisions)
        group.start_soon(self.sweep)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="feed_server", start=self.start)


def _shown(record: UpstreamRecord) -> dict[str, Any]:
    address, incarnation, service = record.identity
    return {
        "upstream": f"{address.host}:{address.port}",
        "label": f"{record.label:x}",
        "incarnation": incarnation,
        "service": service,
        "data_centre": record.data_centre,
        "sequence": record.sequence,
    }
