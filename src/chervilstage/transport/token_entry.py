"""An entry that relays flows by token: configuration, readiness and composition."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..coordination.relay_directory import (
    apply_data_centres_out,
    apply_feed_items,
    apply_routing,
)
from ..coordination.suspicion import has_no_reachable_upstream
from ..state.configuration import RoutingDocument
from ..state.counters import Counters
from ..state.histograms import Histogram
from ..state.link import Link
from ..state.routing import Routing
from ..state.token_flows import TokenRelayState
from ..state.types import Address, Peer
from ..state.upstream_feed import FeedAnswer
from .application import Application, Hooks
from .clock import replica_clock
from .event_log import log_event
from .feed_follower import FeedFollower
from .frame_channel import FrameClient
from .routing_fetcher import RoutingFetcher
from .token_relay import PacketCodec, TokenRelay

# Contact with the replicas counts as lost if the last answer is older than this. A
# query to a working replica takes less.
REPLICA_CONTACT_SECONDS = 1.5

DecodeRouting = Callable[[RoutingDocument], Routing]


class AnnouncedConfiguration(NamedTuple):
    """The newest revision announced by a replica, and its routing version.

    The routing table may arrive later; data centres are taken out of service without
    waiting for it.
    """

    revision: int = 0
    routing_version: int = 0


class TokenEntry:
    """Applies the answers of the control replicas and reports readiness.

    :param own: this entry.
    :param relay_address: the address that the fabric sends callers' packets to.
    :param listed: returns the frame addresses of the replicas in the settings.
    :param decode_routing: decodes a routing table that the control replicas accepted.
    :param key: the shared key of the processes.
    :param announcement_seconds: the announcement interval of upstreams.
    :param link: the network link of this entry.
    """

    def __init__(
        self,
        *,
        own: Peer,
        relay_address: Address,
        listed: Callable[[], Sequence[Address]],
        decode_routing: DecodeRouting,
        codec: PacketCodec,
        key: bytes,
        counters: Counters,
        announcement_seconds: float,
        link: Link | None = None,
    ) -> None:
        self.state = TokenRelayState(
            name=own.name,
            announcement_seconds=announcement_seconds,
            data_centre=own.data_centre,
            link=link,
        )
        self.decode_routing = decode_routing
        self.revision = 0
        self.announced = AnnouncedConfiguration()
        self.is_stopping = False
        self.was_ready = False
        self.frames = FrameClient(name=own.name, key=key, counters=counters)
        self.follower = FeedFollower(
            own=own,
            is_entry=True,
            listed=listed,
            revision=lambda: self.announced.revision,
            on_answer=self.apply_answer,
            frames=self.frames,
        )
        self.fetcher = RoutingFetcher(
            frames=self.frames,
            current_version=self.routing_version,
            on_table=self.apply_routing,
        )
        self.relay = TokenRelay(
            address=relay_address, state=self.state, codec=codec, counters=counters
        )

    def routing_version(self) -> int:
        """Return the version of the current routing table, 0 if there is none."""
        return self.state.routing.version if self.state.routing else 0

    def apply_answer(self, address: Address, answer: FeedAnswer) -> None:
        """Apply an answer of a control replica; an older configuration is ignored."""
        state = self.state
        if answer.revision > self.announced.revision:
            self.announced = AnnouncedConfiguration(
                revision=answer.revision, routing_version=answer.routing_version
            )
            if answer.out != state.out:
                apply_data_centres_out(state, answer.out)
            self.update_revision()
        state.announced_routing_version = max(
            state.announced_routing_version, answer.routing_version
        )
        state.has_majority_announcement |= answer.is_current
        self.fetcher.record_version(address, answer.routing_version)
        now = replica_clock()
        for record in apply_feed_items(state, answer.items, now):
            address, incarnation, service = record.identity
            log_event(
                "upstream_changed",
                upstream=f"{address.host}:{address.port}",
                label=f"{record.label:x}",
                incarnation=incarnation,
                service=service,
                phase=record.phase.value,
                known=address in state.registry.records,
                sequence=record.sequence,
                cold_seconds=record.cold_seconds,
            )
        if answer.entries:
            state.entries = answer.entries
        if state.upstreams_known_since is None and state.registry.records:
            state.upstreams_known_since = now
        if self.relay.pending:
            self.relay.retry_pending()
        self.is_ready()

    def apply_routing(self, document: RoutingDocument) -> None:
        """Apply a routing table if it is newer."""
        if document.version > self.routing_version():
            routing = self.decode_routing(document)
            apply_routing(self.state, routing, replica_clock())
            self.update_revision()
        if self.relay.pending:
            self.relay.retry_pending()
        self.is_ready()

    def update_revision(self) -> None:
        """Record that a revision is in force once its routing table has arrived."""
        revision, version = self.announced
        if revision == self.revision or self.routing_version() < version:
            return
        self.revision = revision
        log_event(
            "configuration_in_force",
            revision=revision,
            routing=self.routing_version(),
            out=",".join(sorted(self.state.out)) or "none",
        )

    def is_ready(self) -> bool:
        """Return whether the fabric should send packets here, and log a change."""
        state = self.state
        is_loaded = (
            state.routing is not None and state.upstreams_known_since is not None
        )
        ready = is_loaded and not self.is_stopping and not self.is_isolated()
        if ready != self.was_ready:
            self.was_ready = ready
            log_event(
                "readiness_changed",
                ready=ready,
                stopping=self.is_stopping,
                loaded=is_loaded,
            )
        return ready

    def is_isolated(self) -> bool:
        """Return whether this entry reaches neither the replicas nor any upstream.

        Contact with the replicas is enough to end the isolation, since an unready entry
        may receive no packets to try upstreams with.
        """
        now = replica_clock()
        if now - self.follower.last_current_at < REPLICA_CONTACT_SECONDS:
            return False
        return has_no_reachable_upstream(self.state, now)

    async def drain(self) -> None:
        """Report the entry as not ready from the start of a planned stop."""
        self.is_stopping = True
        self.is_ready()

    def gauges(self) -> dict[str, float]:
        """Return the gauges of this entry."""
        state = self.state
        return {
            "revision_in_force": self.revision,
            "revision_told": self.announced.revision,
            "routing_version": self.routing_version(),
            "entry_ready": float(self.is_ready()),
            "flows_held": len(state.flows),
            "upstreams_known": len(state.registry.records),
            "requests_in_flight": sum(v.in_flight for v in state.loads.values()),
            "packets_held": len(self.relay.pending),
            "link_queue_packets": state.link.queue.packets,
            "link_ahead_seconds": state.link.backlog_seconds(replica_clock()),
        }

    def durations(self) -> dict[str, Histogram]:
        """Return the histograms of this entry."""
        return {
            "flow_open_seconds": self.state.open_seconds,
            "request_seconds": self.state.latencies,
            "repeat_seconds": self.state.link.repeat_seconds,
        }

    def replica_clients(self) -> tuple[FeedFollower, RoutingFetcher]:
        """Return the components that query the control replicas."""
        return self.follower, self.fetcher

    def add_to(self, app: Application) -> None:
        """Register all components; readiness drains first."""
        for part in (self.frames, self.relay, *self.replica_clients()):
            app.add(part.hooks())
        app.add(Hooks(name="token_entry", drain=self.drain))
