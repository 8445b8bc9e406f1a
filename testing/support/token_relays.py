"""An entry's relay of flows by token, used without sockets."""

from __future__ import annotations

from random import Random

from chervilstage.coordination.link_schedule import record_sent
from chervilstage.coordination.relay_directory import (
    apply_data_centres_out,
    apply_feed_items,
    apply_routing,
)
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import FlowPacket
from chervilstage.state.link_queue import QueuedPacket
from chervilstage.state.packet_decisions import Forward, PacketDecision
from chervilstage.state.routing import (
    Route,
    RoutedService,
    Routing,
    ServiceShare,
    TrafficKind,
    endpoint_of,
)
from chervilstage.state.token_flows import TokenRelayState
from chervilstage.state.types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from chervilstage.state.upstream_feed import FeedItem
from chervilstage.transport.token_relay import PacketCodec

FRONT_ADDRESS = Address(host="198.18.0.1", port=443)
CALLER_HOST = "100.64.0.1"
SERVICE = "alley-desk"
SETTLED_AT = 100.0
# The size of label and header of a packet that is sent to an upstream.
HEADER_BYTES = 39


def make_record(
    number: int,
    *,
    service: str = SERVICE,
    data_centre: str = "gl-erie",
    incarnation: int = 1,
    sequence: int = 1,
    phase: UpstreamPhase = UpstreamPhase.READY,
    cold_seconds: float = 0.0,
) -> UpstreamRecord:
    """Return the record of an upstream with address and label from its number."""
    address = Address(host=f"10.0.0.{number}", port=8080)
    return UpstreamRecord(
        identity=UpstreamId(address=address, incarnation=incarnation, service=service),
        request_address=address,
        data_centre=data_centre,
        sequence=sequence,
        phase=phase,
        slots=4,
        load=0,
        label=number,
        cold_seconds=cold_seconds,
    )


def make_routing(
    *services: str, version: int = 1, front: Address = FRONT_ADDRESS
) -> Routing:
    """Return a routing table whose only route splits evenly over services."""
    route = Route(
        name="r",
        address=front,
        kind=TrafficKind.IDEMPOTENT,
        timeout_seconds=2.5,
        objective_seconds=0.25,
        priority=1,
        shares=tuple(ServiceShare(service=name, weight=1) for name in services),
    )
    return Routing(
        version=version,
        routes=(route,),
        services=tuple(
            RoutedService(
                name=name,
                health_path="/health",
                max_flows=100,
                cold_seconds=2.0,
                cold_flows_per_second=0.0,
            )
            for name in services
        ),
        flow_idle_seconds=15.0,
    )


def make_packet(
    caller: Address,
    *,
    front: Address = FRONT_ADDRESS,
    is_opening: bool = False,
    is_ending: bool = False,
    sequence: int = 1,
    acknowledged: int = 0,
    size: int = 0,
    token: int = 0,
    copy: int = 0,
) -> FlowPacket:
    """Return a packet of a caller."""
    return FlowPacket(
        caller=endpoint_of(caller),
        front=endpoint_of(front),
        is_opening=is_opening,
        is_ending=is_ending,
        is_reset=False,
        sequence=sequence,
        acknowledged=acknowledged,
        size=size,
        token=token,
        copy=copy,
    )


def make_queued_packet(
    packet: FlowPacket, decision: Forward, now: float, waited: float = 0.0
) -> QueuedPacket:
    """Return a packet with a datagram of its size, as the relay queues it."""
    return QueuedPacket(
        flow=packet.caller + packet.front,
        datagram=bytes(HEADER_BYTES + packet.size),
        address=decision.address,
        queued_at=now,
        waited_seconds=waited,
        packet=packet,
    )


def make_opening_codec(front: Address) -> PacketCodec:
    """Return a codec that decodes any bytes as the opening packet of one caller."""
    caller = Address(host="127.0.0.1", port=40_001)
    packet = make_packet(caller, front=front, is_opening=True)
    return PacketCodec(
        decode=lambda data: packet,
        forward=lambda data, label, token: data,
        reset=lambda caller_end, front_end, sequence: (b"reset", tuple(caller)),
    )


class RelayDriver:
    """A relay with a clock that the test advances.

    :param records: the records of the known upstreams.
    """

    def __init__(self, *, records: list[UpstreamRecord], name: str = "entry-1") -> None:
        self.state = TokenRelayState(name=name, announcement_seconds=1.2)
        self.now = SETTLED_AT
        self.rng = Random(1)
        apply_routing(self.state, make_routing(SERVICE), self.now)
        self.state.has_majority_announcement = True
        self.apply_records(*records)
        self.state.upstreams_known_since = 0.0

    def apply_records(self, *records: UpstreamRecord, gone: bool = False) -> None:
        """Apply records received from a control replica."""
        items = [FeedItem(record=r, age_seconds=0.0, is_gone=gone) for r in records]
        apply_feed_items(self.state, items, self.now)

    def withdraw_data_centres(self, *names: str) -> None:
        """Set the data centres that are out of service."""
        apply_data_centres_out(self.state, frozenset(names))

    def send(
        self,
        caller: int,
        *,
        opening: bool = False,
        ending: bool = False,
        token: int = 0,
        sequence: int = 1,
        acknowledged: int = 0,
        size: int = 0,
        front: Address = FRONT_ADDRESS,
        copy: int = 0,
        waited: float = 0.0,
    ) -> PacketDecision:
        """Send a packet of a caller on an idle link and return the decision.

        :param caller: the port of the caller.
        :param waited: the seconds that the packet waited at the entry.
        """
        packet = make_packet(
            Address(host=CALLER_HOST, port=caller),
            front=front,
            is_opening=opening,
            is_ending=ending,
            sequence=sequence,
            acknowledged=acknowledged,
            size=size,
            token=token,
            copy=copy,
        )
        decision = relay_packet(self.state, packet, self.now, self.rng, waited)
        if isinstance(decision, Forward):
            self.state.link.record_sent(HEADER_BYTES + packet.size, self.now)
            record_sent(self.state, packet, self.now, waited)
        return decision

    def open_flow(self, caller: int) -> Forward:
        """Open a flow and return the decision, with the token of its second packet."""
        decision = self.send(caller, opening=True)
        assert isinstance(decision, Forward), decision
        assert decision.token is not None
        opened = self.send(caller, token=decision.token)
        assert isinstance(opened, Forward), opened
        return decision._replace(token=opened.token)
