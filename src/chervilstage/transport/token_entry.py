"""An entry that relays flows by token: its directory, readiness and composition."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..coordination.relay_directory import put_out, put_routing, take_items
from ..coordination.suspicion import reaches_nobody
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

# Longer than a query at a replica that works.
CURRENT_SECONDS = 1.5

DecodeRouting = Callable[[RoutingDocument], Routing]


class ConfigurationTold(NamedTuple):
    """The newest revision that a replica has told of, and its routing table.

    The table may be on its way still; data centres are taken out without it.
    """

    revision: int = 0
    routing_version: int = 0


class TokenEntry:
    """Puts what the control replicas say in force, and tells whether it is ready.

    :param own: this entry.
    :param relay_address: where the fabric sends callers' packets.
    :param listed: returns where the replicas of the settings take frames.
    :param decode_routing: decodes a routing table that the control replicas accepted.
    :param key: the key that the processes of the system share.
    :param announcement_seconds: how often upstreams announce themselves.
    :param link: what this entry sends on.
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
        self.told = ConfigurationTold()
        self.is_stopping = False
        self.was_ready = False
        self.frames = FrameClient(name=own.name, key=key, counters=counters)
        self.follower = FeedFollower(
            own=own,
            is_entry=True,
            listed=listed,
            revision=lambda: self.told.revision,
            take=self.take,
            frames=self.frames,
        )
        self.fetcher = RoutingFetcher(
            frames=self.frames, held=self.routing_version, take=self.take_routing
        )
        self.relay = TokenRelay(
            address=relay_address, state=self.state, codec=codec, counters=counters
        )

    def routing_version(self) -> int:
        """Return the version of the routing table in force, 0 if there is none."""
        return self.state.routing.version if self.state.routing else 0

    def take(self, address: Address, answer: FeedAnswer) -> None:
        """Take an answer of a control replica; the configuration never goes back."""
        state = self.state
        if answer.revision > self.told.revision:
            self.told = ConfigurationTold(
                revision=answer.revision, routing_version=answer.routing_version
            )
            if answer.out != state.out:
                put_out(state, answer.out)
            self.settle()
        state.routing_told = max(state.routing_told, answer.routing_version)
        state.has_current_news |= answer.is_current
        self.fetcher.note(address, answer.routing_version)
        now = replica_clock()
        for record in take_items(state, answer.items, now):
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
        if state.upstreams_from is None and state.registry.records:
            state.upstreams_from = now
        if self.relay.held:
            self.relay.release_held()
        self.is_ready()

    def take_routing(self, document: RoutingDocument) -> None:
        """Put a newer routing table in force."""
        if document.version > self.routing_version():
            routing = self.decode_routing(document)
            put_routing(self.state, routing, replica_clock())
            self.settle()
        if self.relay.held:
            self.relay.release_held()
        self.is_ready()

    def settle(self) -> None:
        """Take note that all of a revision is in force once its table is held."""
        revision, version = self.told
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
        """Tell whether the fabric should send packets here, and log a change."""
        state = self.state
        is_loaded = state.routing is not None and state.upstreams_from is not None
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
        """Tell whether this entry reaches neither the replicas nor any upstream.

        Contact with the replicas ends it, since no packets may come to try upstreams.
        """
        now = replica_clock()
        if now - self.follower.current_at < CURRENT_SECONDS:
            return False
        return reaches_nobody(self.state, now)

    async def drain(self) -> None:
        """Be unready from the first moment of a planned stop."""
        self.is_stopping = True
        self.is_ready()

    def gauges(self) -> dict[str, float]:
        """Return what the entry reports of itself."""
        state = self.state
        return {
            "revision_in_force": self.revision,
            "revision_told": self.told.revision,
            "routing_version": self.routing_version(),
            "entry_ready": float(self.is_ready()),
            "flows_held": len(state.flows),
            "upstreams_known": len(state.registry.records),
            "requests_in_flight": sum(v.in_flight for v in state.loads.values()),
            "packets_held": len(self.relay.held),
            "link_queue_packets": state.link.queue.packets,
            "link_ahead_seconds": state.link.ahead(replica_clock()),
        }

    def durations(self) -> dict[str, Histogram]:
        """Return the histograms of the entry."""
        return {
            "flow_open_seconds": self.state.open_seconds,
            "request_seconds": self.state.latencies,
            "repeat_seconds": self.state.link.repeat_seconds,
        }

    def following(self) -> tuple[FeedFollower, RoutingFetcher]:
        """Return the parts that ask the control replicas."""
        return self.follower, self.fetcher

    def add_to(self, app: Application) -> None:
        """Register all parts; readiness drains first."""
        for part in (self.frames, self.relay, *self.following()):
            app.add(part.hooks())
        app.add(Hooks(name="token_entry", drain=self.drain))
