"""Composition of the entry daemon."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import NamedTuple

from ..coordination.flows import end_flows_out_of_service
from ..protocol.settings import EntrySettings, link_rate, peers_from_settings
from ..state.configuration import Configuration
from ..state.counters import Counters
from ..state.flow_state import FlowState
from ..state.in_force import ConfigurationInForce
from ..state.link import Link
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import Address, Peer
from .application import DEFAULT_DRAIN_SECONDS, Application
from .capacity import UpstreamCapacity
from .configuration_client import ConfigurationClient
from .entry_status import phase_gauges, serve_entry_status
from .flow_explanations import serve_explanations
from .flow_link import FlowLink
from .frame_channel import FrameClient, FrameServer
from .front_ends import FrontEnds
from .membership import LEASE_SECONDS, Membership
from .metrics import metrics_hooks
from .peer_link import PeerLink
from .registration import Registration
from .request_service import RequestService


class EntryState(NamedTuple):
    """The state that the components of an entry share."""

    counters: Counters
    registry: UpstreamRegistry
    in_force: ConfigurationInForce
    members: MemberTable
    flows: FlowState


class EntryLinks(NamedTuple):
    """The channels between this entry and other processes."""

    frames: FrameClient
    frame_server: FrameServer
    link: PeerLink
    membership: Membership


class EntryServices(NamedTuple):
    """The components that serve callers and upstreams."""

    capacity: UpstreamCapacity
    requests: RequestService
    flow_link: FlowLink
    front_ends: FrontEnds
    registration: Registration


def build_entry(settings: EntrySettings, key: bytes) -> Application:
    """Return the application of an entry.

    :param key: the shared key of the processes.
    """
    state = _build_state(settings)
    links = _build_links(settings, key, state)
    services = _build_services(settings, state, links)
    client = _build_configuration_client(settings, state, links, services)
    for listener in (
        services.flow_link.on_member,
        services.registration.on_member_event,
        client.on_member_event,
    ):
        links.membership.listeners.append(listener)

    def gauges() -> dict[str, float]:
        """Return the gauges of this entry."""
        return _gauges(state, services)

    serve_explanations(links.frame_server, state.flows)
    serve_entry_status(links.frame_server, state.in_force, gauges, client.group)
    app = Application(name=settings["name"], drain_seconds=_drain_seconds(settings))
    metrics_address = Address(host=settings["host"], port=settings["metrics_port"])
    app.add(
        metrics_hooks(address=metrics_address, counters=state.counters, gauges=gauges)
    )
    # Components drain in reverse order: requests and registration before the front
    # ends close, and the membership announces the departure before the pins are
    # handed over.
    components = (
        links.frames,
        links.frame_server,
        links.link,
        services.flow_link,
        links.membership,
        services.capacity,
        services.front_ends,
        services.registration,
        client,
        services.requests,
    )
    for component in components:
        app.add(component.hooks())
    app.add(services.registration.endpoint_hooks())
    return app


def _drain_seconds(settings: EntrySettings) -> float:
    return settings.get("drain_seconds", DEFAULT_DRAIN_SECONDS)


def _peer_address(settings: EntrySettings) -> Address:
    return Address(host=settings["host"], port=settings["peer_port"])


def _build_state(settings: EntrySettings) -> EntryState:
    counters = Counters()
    registry = UpstreamRegistry()
    in_force = ConfigurationInForce()
    members = MemberTable(
        name=settings["name"],
        data_centre=settings["data_centre"],
        peers=peers_from_settings(settings.get("peers", [])),
        lease_seconds=LEASE_SECONDS,
    )
    flows = FlowState(
        members=members,
        registry=registry,
        in_force=in_force,
        counters=counters,
        unreachable=registry.unreachable,
    )
    return EntryState(
        counters=counters,
        registry=registry,
        in_force=in_force,
        members=members,
        flows=flows,
    )


def _build_links(settings: EntrySettings, key: bytes, state: EntryState) -> EntryLinks:
    name, address = settings["name"], _peer_address(settings)
    counters = state.counters
    link = PeerLink(
        name=name,
        address=address,
        key=key,
        peers=peers_from_settings(settings.get("peers", [])),
        counters=counters,
    )
    return EntryLinks(
        frames=FrameClient(name=name, key=key, counters=counters),
        frame_server=FrameServer(
            name=name, address=address, key=key, counters=counters
        ),
        link=link,
        membership=Membership(table=state.members, link=link),
    )


def _build_services(
    settings: EntrySettings, state: EntryState, links: EntryLinks
) -> EntryServices:
    capacity = UpstreamCapacity(
        registry=state.registry,
        configuration=lambda: state.in_force.current,
        members=state.members,
        link=links.link,
        counters=state.counters,
        rng=Random(),
    )
    requests = RequestService(
        in_force=state.in_force,
        counters=state.counters,
        capacity=capacity,
        membership=links.membership,
        link=links.link,
        frames=links.frames,
        server=links.frame_server,
        drain_seconds=_drain_seconds(settings),
    )
    flow_link = FlowLink(
        state=state.flows,
        link=links.link,
        release=lambda *arguments: front_ends.release_held_packets(*arguments),
    )
    front_ends = FrontEnds(
        host=settings["host"],
        in_force=state.in_force,
        counters=state.counters,
        requests=requests,
        flows=state.flows,
        on_packet_pending=flow_link.wake,
        link=Link(bytes_per_second=link_rate(settings)),
    )
    return EntryServices(
        capacity=capacity,
        requests=requests,
        flow_link=flow_link,
        front_ends=front_ends,
        registration=_build_registration(
            settings, state, links, front_ends.configuration
        ),
    )


def _build_registration(
    settings: EntrySettings,
    state: EntryState,
    links: EntryLinks,
    configuration: Callable[[], Configuration],
) -> Registration:
    return Registration(
        address=Address(host=settings["host"], port=settings["platform_port"]),
        registry=state.registry,
        configuration=configuration,
        link=links.link,
        members=state.members,
        counters=state.counters,
        rng=Random(),
    )


def _build_configuration_client(
    settings: EntrySettings,
    state: EntryState,
    links: EntryLinks,
    services: EntryServices,
) -> ConfigurationClient:
    def on_change() -> None:
        """Apply a new configuration to the other components."""
        revision = state.in_force.current.revision
        state.members.report = state.members.report._replace(revision=revision)
        services.front_ends.reconcile()
        services.capacity.on_configuration_change()
        end_flows_out_of_service(state.flows)

    own = Peer(
        name=settings["name"],
        data_centre=settings["data_centre"],
        address=_peer_address(settings),
    )
    return ConfigurationClient(
        own=own,
        replicas=peers_from_settings(settings.get("replicas", [])),
        frames=links.frames,
        frame_server=links.frame_server,
        members=state.members,
        in_force=state.in_force,
        on_change=on_change,
    )


def _gauges(state: EntryState, services: EntryServices) -> dict[str, float]:
    flows = state.flows
    return {
        "flows_held": flows.pin_count(),
        "buckets_unsettled": flows.unsettled_bucket_count(),
        "exceptions_known": flows.exception_count(),
        "view_in_force": flows.view.identity.number,
        "revision_in_force": state.in_force.current.revision,
        "upstreams_registered": len(state.registry.records),
        "members_live": len(state.members.live()),
        **phase_gauges(state.registry),
        **services.requests.gauges(),
        **services.capacity.gauges(),
    }
