"""An entry that relays callers' packets onto its simulated link."""

from __future__ import annotations

from collections.abc import Callable

from chervilstage.coordination.link_schedule import (
    due_at,
    is_too_late,
    next_packet,
    note_sent,
    seconds_to_next,
    takes_at_once,
    waited_seconds,
)
from chervilstage.coordination.relay_directory import put_routing
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import FlowPacket
from chervilstage.state.link_queue import QueuedPacket
from chervilstage.state.packet_decisions import Forward, ResetFlow
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from chervilstage.transport.token_relay import HELD_REASONS, HELD_SECONDS
from testing.support.timeline import Action, Timeline
from testing.support.token_relays import RelayDriver, make_queued

from .links import SimulatedLink


class SimulatedEntry:
    """The relay of an entry, with the clock of the simulation.

    :param link: carries what it relays.
    :param is_paced: whether the entry knows the rate of its link.
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
        self.arrivals: dict[QueuedPacket, Action] = {}
        self.held: list[tuple[float, Action]] = []
        self.is_waiting = False
        self.driver = RelayDriver(records=records, name=name)
        if is_paced:
            self.driver.state.link.bytes_per_second = link.bytes_per_second
        put_routing(self.driver.state, routing, timeline.now)

    def take(
        self,
        packet: FlowPacket,
        arrive: Callable[[Forward], None],
        refuse: Action,
    ) -> None:
        """Relay a packet of a caller.

        :param arrive: called with the decision when the packet comes to an upstream.
        :param refuse: called at once when the flow is reset.
        """
        state, now = self.driver.state, self.timeline.now
        decision = relay_packet(state, packet, now, self.driver.rng)
        if isinstance(decision, ResetFlow):
            refuse()
        elif isinstance(decision, Forward):
            queued = make_queued(packet, decision, now)
            queued = queued._replace(due_at=due_at(state, queued.flow, packet))
            self.arrivals[queued] = lambda: arrive(decision)
            self.send(queued)
            if decision.has_opened:
                self.release_held()
        elif decision.reason in HELD_REASONS:
            self.held.append((now, lambda: self.take(packet, arrive, refuse)))

    def release_held(self) -> None:
        """Relay the packets that waited for the first one of their flow."""
        held, self.held = self.held, []
        for since, relay in held:
            if self.timeline.now - since <= HELD_SECONDS:
                relay()

    def send(self, queued: QueuedPacket) -> None:
        """Send a packet, or keep it until the link has room."""
        link, now = self.driver.state.link, self.timeline.now
        if takes_at_once(link, link.queue, now):
            self.give(queued)
        elif not link.queue.add(queued):
            self.arrivals.pop(queued)
        elif not self.is_waiting:
            self.is_waiting = True
            self.timeline.after(seconds_to_next(link, now), self.give_due)

    def give(self, queued: QueuedPacket) -> None:
        """Give a packet to the link."""
        state, now = self.driver.state, self.timeline.now
        assert queued.packet is not None
        state.link.give(len(queued.datagram), now)
        note_sent(state, queued.packet, now, waited_seconds(queued, now))
        self.link.send(len(queued.datagram), self.arrivals.pop(queued))

    def give_due(self) -> None:
        """Give the link the packets that it has room for."""
        link, now = self.driver.state.link, self.timeline.now
        while queued := next_packet(link, link.queue, now):
            if is_too_late(queued, now):
                self.arrivals.pop(queued)
            else:
                self.give(queued)
        self.is_waiting = bool(link.queue.flows)
        if self.is_waiting:
            self.timeline.after(seconds_to_next(link, now), self.give_due)
