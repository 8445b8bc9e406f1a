"""An entry that relays callers' packets onto its simulated link."""

from __future__ import annotations

from collections.abc import Callable

from chervilstage.coordination.relay_directory import put_routing
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import FlowPacket, Forward, ResetFlow
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from testing.support.timeline import Action, Timeline
from testing.support.token_relays import RelayDriver

from .links import SimulatedLink

HEADER_BYTES = 31
LABEL_BYTES = 8


class SimulatedEntry:
    """The relay of an entry, with the clock of the simulation.

    :param link: carries what it relays.
    """

    def __init__(
        self,
        *,
        name: str,
        timeline: Timeline,
        link: SimulatedLink,
        routing: Routing,
        records: list[UpstreamRecord],
    ) -> None:
        self.timeline = timeline
        self.link = link
        self.driver = RelayDriver(records=records, name=name)
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
            size = LABEL_BYTES + HEADER_BYTES + packet.size
            state.link.give(size, now)
            self.link.send(size, lambda: arrive(decision))
