"""An entry that relays callers' packets onto its simulated link."""

from __future__ import annotations

from collections.abc import Callable

from chervilstage.coordination.link_schedule import (
    can_send_immediately,
    is_opening_expired,
    pop_sendable_packet,
    record_sent,
    request_deadline,
    seconds_to_next_send,
    waited_seconds,
)
from chervilstage.coordination.relay_directory import apply_routing
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import FlowPacket
from chervilstage.state.link_queue import QueuedPacket
from chervilstage.state.packet_decisions import Forward, ResetFlow
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from chervilstage.transport.token_relay import DEFERRED_REASONS, MAXIMUM_PENDING_SECONDS
from testing.support.timeline import Action, Timeline
from testing.support.token_relays import RelayDriver, make_queued_packet

from .links import SimulatedLink


class SimulatedEntry:
    """The relay of an entry, on the clock of the simulation.

    :param link: transmits the packets that it relays.
    :param is_paced: whether the entry knows the rate of its link and sends at it.
    """

    def __init__(
        self,
        *,
        name: str,
        timeline: Timeline,
        link: SimulatedLink,
        routing: Routing,
        records: list[UpstreamRecord],
        is_paced: bool,
    ) -> None:
        self.timeline = timeline
        self.link = link
        self.delivery_callbacks: dict[QueuedPacket, Action] = {}
        self.pending_packets: list[tuple[float, Action]] = []
        self.is_send_scheduled = False
        self.driver = RelayDriver(records=records, name=name)
        if is_paced:
            self.driver.state.link.bytes_per_second = link.bytes_per_second
        apply_routing(self.driver.state, routing, timeline.now)

    def receive(
        self,
        packet: FlowPacket,
        on_delivered: Callable[[Forward], None],
        on_reset: Action,
    ) -> None:
        """Relay a packet of a caller.

        :param on_delivered: called with the decision at arrival at an upstream.
        :param on_reset: called immediately if the flow is reset.
        """
        state, now = self.driver.state, self.timeline.now
        decision = relay_packet(state, packet, now, self.driver.rng)
        if isinstance(decision, ResetFlow):
            on_reset()
        elif isinstance(decision, Forward):
            queued = make_queued_packet(packet, decision, now)
            queued = queued._replace(
                due_at=request_deadline(state, queued.flow, packet)
            )
            self.delivery_callbacks[queued] = lambda: on_delivered(decision)
            self.send(queued)
            if decision.has_opened:
                self.retry_pending_packets()
        elif decision.reason in DEFERRED_REASONS:
            self.pending_packets.append(
                (now, lambda: self.receive(packet, on_delivered, on_reset))
            )

    def retry_pending_packets(self) -> None:
        """Relay the packets that waited for the first packet of their flow."""
        pending, self.pending_packets = self.pending_packets, []
        for pending_since, relay in pending:
            if self.timeline.now - pending_since <= MAXIMUM_PENDING_SECONDS:
                relay()

    def send(self, queued: QueuedPacket) -> None:
        """Send a packet, or queue it until the link has capacity."""
        link, now = self.driver.state.link, self.timeline.now
        if can_send_immediately(link, link.queue, now):
            self.send_now(queued)
        elif not link.queue.add(queued):
            self.delivery_callbacks.pop(queued)
        elif not self.is_send_scheduled:
            self.is_send_scheduled = True
            self.timeline.call_later(seconds_to_next_send(link, now), self.send_due)

    def send_now(self, queued: QueuedPacket) -> None:
        """Transmit a packet on the link."""
        state, now = self.driver.state, self.timeline.now
        assert queued.packet is not None
        state.link.record_sent(len(queued.datagram), now)
        record_sent(state, queued.packet, now, waited_seconds(queued, now))
        self.link.send(len(queued.datagram), self.delivery_callbacks.pop(queued))

    def send_due(self) -> None:
        """Transmit the queued packets for which the link has capacity."""
        link, now = self.driver.state.link, self.timeline.now
        while queued := pop_sendable_packet(link, link.queue, now):
            if is_opening_expired(queued, now):
                self.delivery_callbacks.pop(queued)
            else:
                self.send_now(queued)
        self.is_send_scheduled = bool(link.queue.flows)
        if self.is_send_scheduled:
            self.timeline.call_later(seconds_to_next_send(link, now), self.send_due)
