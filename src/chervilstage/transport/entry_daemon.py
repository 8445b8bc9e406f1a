"""Composition of the entry daemon."""

from __future__ import annotations

from random import Random

from ..coordination.flows import end_flows_out
from ..protocol.settings import EntrySettings, peers_of
from ..state.counters import Counters
from ..state.flow_state import FlowState
from ..state.in_force import ConfigurationInForce
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


def build_entry(settings: EntrySettings, key: bytes) -> Application:
    """Return the application of an entry.

    :param key: the key that the processes of the system share.
    """
    name, host = settings["name"], settings["host"]
    counters = Counters()
    registry = UpstreamRegistry()
    in_force = ConfigurationInForce()
    peer_address = Address(host=host, port=settings["peer_port"])
    frames = FrameClient(name=name, key=key, counters=counters)
    frame_server = FrameServer(
        name=name, address=peer_address, key=key, counters=counters
    )
    peers = peers_of(settings.get("peers", []))
    link = PeerLink(
        name=name, address=peer_address, key=key, peers=peers, counters=counters
    )
    members = MemberTable(
        name=name,
        data_centre=settings["data_centre"],
        peers=peers,
        lease_seconds=LEASE_SECONDS,
    )
    membership = Membership(table=members, link=link)
    capacity = UpstreamCapacity(
        registry=registry,
        configuration=lambda: in_force.current,
        members=members,
        link=link,
        counters=counters,
        rng=Random(),
    )
    flows = FlowState(
        members=members,
        registry=registry,
        in_force=in_force,
        counters=counters,
        unreachable=registry.unreachable,
    )
    drain_seconds = settings.get("drain_seconds", DEFAULT_DRAIN_SECONDS)
    requests = RequestService(
        in_force=in_force,
        counters=counters,
        capacity=capacity,
        membership=membership,
        link=link,
        frames=frames,
        server=frame_server,
        drain_seconds=drain_seconds,
    )
    flow_link = FlowLink(
        state=flows, link=link, release=lambda *held: front_ends.release(*held)
    )
    front_ends = FrontEnds(
        host=host,
        in_force=in_force,
        counters=counters,
        requests=requests,
        flows=flows,
        on_held=flow_link.wake,
    )
    membership.listeners.append(flow_link.on_member)
    registration = Registration(
        address=Address(host=host, port=settings["platform_port"]),
        registry=registry,
        configuration=front_ends.configuration,
        link=link,
        members=members,
        counters=counters,
        rng=Random(),
    )
    membership.listeners.append(registration.on_member_event)

    def on_configuration() -> None:
        revision = in_force.current.revision
        members.report = members.report._replace(revision=revision)
        front_ends.reconcile()
        capacity.on_configuration()
        end_flows_out(flows)

    own = Peer(name=name, data_centre=settings["data_centre"], address=peer_address)
    client = ConfigurationClient(
        own=own,
        replicas=peers_of(settings.get("replicas", [])),
        frames=frames,
        frame_server=frame_server,
        members=members,
        in_force=in_force,
        on_change=on_configuration,
    )
    membership.listeners.append(client.notice)

    def gauges() -> dict[str, float]:
        return {
            "flows_held": flows.flows_held(),
            "buckets_unsettled": flows.unsettled_count(),
            "exceptions_known": flows.exceptions_known(),
            "view_in_force": flows.view.identity.number,
            "revision_in_force": in_force.current.revision,
            "upstreams_registered": len(registry.records),
            "members_live": len(members.live()),
            **phase_gauges(registry),
            **requests.gauges(),
            **capacity.gauges(),
        }

    serve_explanations(frame_server, flows)
    serve_entry_status(frame_server, in_force, gauges, client.group)

    app = Application(name=name, drain_seconds=drain_seconds)
    app.add(
        metrics_hooks(
            address=Address(host=host, port=settings["metrics_port"]),
            counters=counters,
            gauges=gauges,
        )
    )
    parts = (
        frames,
        frame_server,
        link,
        flow_link,
        membership,
        capacity,
        front_ends,
        registration,
        client,
        requests,
    )
    for part in parts:
        app.add(part.hooks())
    return app
