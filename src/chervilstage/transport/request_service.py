"""The components that relay requests on an entry, and their planned stop."""

from __future__ import annotations

from random import Random

import anyio
from anyio.abc import TaskGroup

from ..errors.upstreams import UnknownServiceError
from ..state.configuration import Service, ServiceRules
from ..state.counters import Counters
from ..state.epoch import EpochMember, EpochState
from ..state.in_force import ConfigurationInForce
from ..state.outcomes import KeyedRequest, Outcome
from ..state.request_records import RecordTable
from .application import Hooks
from .capacity import UpstreamCapacity
from .event_log import log_event
from .frame_channel import FrameClient, FrameServer
from .group_epoch import GroupEpoch
from .http_front import HttpFrontEnd
from .keyed_requests import KeyedRequests
from .membership import Membership
from .peer_link import PeerLink
from .service_requests import ServiceRequests
from .upstream_exchange import OutgoingRequest
from .upstream_pool import UpstreamPool

MAXIMUM_RECORDS = 100_000
RECORD_RETENTION_MS = 15 * 60 * 1000
POOL_CLEANUP_SECONDS = 5.0
# How long callers may still send a request on an idle connection during a planned
# stop.
IDLE_CONNECTION_GRACE_SECONDS = 0.5
HANDOVER_TIMEOUT_SECONDS = 10.0
# Feeds end this long before the deadline of a planned stop, so that they end cleanly
# instead of being cut off by it.
FEED_END_MARGIN_SECONDS = 1.0


class RequestService:
    """Relays the requests of all services of an entry.

    :param drain_seconds: the time limit of a planned stop.
    """

    def __init__(
        self,
        *,
        in_force: ConfigurationInForce,
        counters: Counters,
        capacity: UpstreamCapacity,
        membership: Membership,
        link: PeerLink,
        frames: FrameClient,
        server: FrameServer,
        drain_seconds: float,
    ) -> None:
        self.in_force = in_force
        self.counters = counters
        self.capacity = capacity
        self.membership = membership
        self.drain_seconds = drain_seconds
        self.pool = UpstreamPool(counters=counters)
        self.services: dict[str, ServiceRequests] = {}
        self.front_ends: dict[str, HttpFrontEnd] = {}
        self.stopping = False
        members = membership.table
        own = EpochMember(
            name=members.name,
            incarnation=members.report.incarnation,
            data_centre=members.data_centre,
        )
        self.epoch = GroupEpoch(
            state=EpochState(own=own, configured=[members.name, *members.members]),
            table=RecordTable(limit=MAXIMUM_RECORDS, retention_ms=RECORD_RETENTION_MS),
            members=members,
            link=link,
            frames=frames,
            rng=Random(),
        )
        self.keyed = KeyedRequests(
            epoch=self.epoch,
            server=server,
            counters=counters,
            run=self.run_keyed,
            key_data_centres=self.key_data_centres,
        )

    def key_data_centres(self) -> list[str]:
        """Return the data centres that keys may name."""
        return [d.name for d in self.in_force.current.inventory.data_centres]

    def service_requests(self, name: str) -> ServiceRequests:
        """Return the ``ServiceRequests`` of a service, created on first use."""
        if name not in self.services:

            def rules() -> ServiceRules:
                """Return the current rules of the service."""
                return self.in_force.current.service_rules(name)

            self.services[name] = ServiceRequests(
                name=name,
                rules=rules,
                capacity=self.capacity,
                pool=self.pool,
                counters=self.counters,
            )
        return self.services[name]

    def create_front_end(self, host: str, service: Service) -> HttpFrontEnd:
        """Return a new HTTP front end for a service."""
        front_end = HttpFrontEnd(
            host=host,
            service=service,
            requests=self.service_requests(service.name),
            counters=self.counters,
            submit=self.keyed.submit,
        )
        self.front_ends[service.name] = front_end
        return front_end

    async def run_keyed(self, request: KeyedRequest, deadline: float) -> Outcome:
        """Send a request whose record has been copied, and return its outcome.

        :raises UnknownServiceError: the service is not in the inventory.
        """
        if self.in_force.current.service(request.service) is None:
            raise UnknownServiceError(service=request.service)
        length = (("content-length", str(len(request.body))),)
        outgoing = OutgoingRequest(
            method=request.method,
            target=request.target,
            headers=request.headers + length,
            body=request.body,
        )
        return await self.service_requests(request.service).run_to_completion(
            outgoing, deadline
        )

    def gauges(self) -> dict[str, float]:
        """Return the gauges that describe requests."""
        loads = [s.load for s in self.services.values()]
        return {
            "requests_in_flight": sum(load.in_flight for load in loads),
            "requests_waiting": sum(load.waiting for load in loads),
            "request_connections": sum(load.connections for load in loads),
            "feeds_open": sum(load.feeds for load in loads),
            "request_records": len(self.epoch.table.records),
            "epoch_in_force": self.epoch.state.current.number,
            "epoch_settled": float(self.epoch.state.is_settled()),
        }

    async def start(self, group: TaskGroup) -> None:
        """Start the tasks of epochs, keyed requests and the pool of connections."""
        await self.epoch.start(group)
        await self.keyed.start(group)
        group.start_soon(self.close_expired_connections)

    async def close_expired_connections(self) -> None:
        """Close upstream connections that have been idle too long, until cancelled."""
        while True:
            await anyio.sleep(POOL_CLEANUP_SECONDS)
            await self.pool.close_expired()

    async def drain(self) -> None:
        """Finish the requests in flight and transfer the records to other entries."""
        feeds_end_at = (
            anyio.current_time() + self.drain_seconds - FEED_END_MARGIN_SECONDS
        )
        front_ends = list(self.front_ends.values())
        for front_end in front_ends:
            front_end.connections.stopping = True
            front_end.connections.stop_listening()
        await self.membership.drain()
        await anyio.sleep(IDLE_CONNECTION_GRACE_SECONDS)
        for front_end in front_ends:
            front_end.connections.close_idle()
        for front_end in front_ends:
            await front_end.wait_drained(include_feeds=False)
        while self.keyed.running:
            await next(iter(self.keyed.running.values())).done.wait()
        with anyio.move_on_after(HANDOVER_TIMEOUT_SECONDS) as scope:
            await self.epoch.wait_handed_over()
        log_event("records_handed_over", complete=not scope.cancelled_caught)
        if any(f.requests.load.feeds for f in front_ends):
            await anyio.sleep_until(feeds_end_at)
        for front_end in front_ends:
            front_end.feed_stop_requested.set()
        for front_end in front_ends:
            await front_end.wait_drained(include_feeds=True)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="requests", start=self.start, drain=self.drain)
