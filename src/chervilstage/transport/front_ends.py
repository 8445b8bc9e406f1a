"""Opens and closes the front ends of services as the configuration changes."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from anyio import CancelScope
from anyio.abc import TaskGroup

from ..state.configuration import Configuration, Service
from ..state.counters import Counters
from ..state.flow_state import FlowState
from ..state.in_force import ConfigurationInForce
from ..state.link import Link
from ..state.types import UpstreamId
from .application import Hooks
from .http_front import HttpFrontEnd
from .packet_relay import ServiceRelay
from .request_service import RequestService


class OpenFrontEnd(NamedTuple):
    """The running front ends of one service."""

    service: Service
    relay: ServiceRelay
    http_front_end: HttpFrontEnd
    scopes: tuple[CancelScope, ...]


class FrontEnds:
    """The front ends of all services of the inventory.

    :param host: the address of this entry.
    :param on_packet_pending: called after a packet has been queued until peers answer.
    :param link: the outgoing link of this VM.
    """

    def __init__(
        self,
        *,
        host: str,
        in_force: ConfigurationInForce,
        counters: Counters,
        requests: RequestService,
        flows: FlowState,
        on_packet_pending: Callable[[], None],
        link: Link,
    ) -> None:
        self.host = host
        self.link = link
        self.flows = flows
        self.in_force = in_force
        self.counters = counters
        self.requests = requests
        self.on_packet_pending = on_packet_pending
        self.open_front_ends: dict[str, OpenFrontEnd] = {}
        self.group: TaskGroup | None = None

    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.in_force.current

    def reconcile(self) -> None:
        """Close the front ends of removed or changed services and open new ones."""
        wanted_services = {s.name: s for s in self.configuration().inventory.services}
        for name, front_end in list(self.open_front_ends.items()):
            if wanted_services.get(name) != front_end.service:
                self.close(name)
        for name, service in wanted_services.items():
            if name not in self.open_front_ends:
                self.open_service(service)

    def open_service(self, service: Service) -> None:
        """Open the front ends of a service."""
        if self.group is None:
            return
        self.flows.add_service(service)
        relay = ServiceRelay(
            host=self.host,
            service=service,
            flows=self.flows,
            counters=self.counters,
            on_packet_pending=self.on_packet_pending,
            link=self.link,
        )
        http_front_end = self.requests.create_front_end(self.host, service)
        scopes = (relay.start(self.group), http_front_end.start(self.group))
        self.open_front_ends[service.name] = OpenFrontEnd(
            service=service, relay=relay, http_front_end=http_front_end, scopes=scopes
        )

    def close(self, name: str) -> None:
        """Close the front ends of a service."""
        for scope in self.open_front_ends.pop(name).scopes:
            scope.cancel()
        self.flows.remove_service(name)

    def release_held_packets(
        self, service: str, key: int, upstream: UpstreamId | None
    ) -> None:
        """Send the pending packets of a flow, or drop them without an upstream."""
        front_end = self.open_front_ends.get(service)
        if front_end is not None:
            front_end.relay.release(key, upstream)

    async def start(self, group: TaskGroup) -> None:
        """Open the front ends; they run in the task group."""
        self.group = group
        self.reconcile()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="front_ends", start=self.start)
