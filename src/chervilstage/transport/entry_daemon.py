"""Composition of the entry daemon."""

from __future__ import annotations

from random import Random

from ..protocol.settings import EntrySettings, peers_of
from ..state.counters import Counters
from ..state.in_force import ConfigurationInForce
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import Address
from .application import DEFAULT_DRAIN_SECONDS, Application
from .capacity import UpstreamCapacity
from .configuration_client import ConfigurationClient
from .frame_channel import FrameClient, FrameServer
from .front_ends import FrontEnds
from .membership import LEASE_SECONDS, Membership
from .metrics import metrics_hooks
from .peer_link import PeerLink
from .registration import Registration


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
    front_ends = FrontEnds(
        host=host,
        registry=registry,
        in_force=in_force,
        counters=counters,
        capacity=capacity,
    )
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

    client = ConfigurationClient(
        replicas=peers_of(settings.get("replicas", [])),
        frames=frames,
        in_force=in_force,
        on_change=on_configuration,
    )

    def gauges() -> dict[str, float]:
        return {
            "flows_held": front_ends.flows_held(),
            "revision_in_force": in_force.current.revision,
            "upstreams_registered": len(registry.records),
            "members_live": len(members.live()),
            **capacity.gauges(),
        }

    app = Application(
        name=name, drain_seconds=settings.get("drain_seconds", DEFAULT_DRAIN_SECONDS)
    )
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
        membership,
        capacity,
        front_ends,
        registration,
        client,
    )
    for part in parts:
        app.add(part.hooks())
    return app
