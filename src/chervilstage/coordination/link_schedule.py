"""When an entry gives packets to its link, and which one is next.

A link drops what it cannot keep without a sign, and a caller that loses one packet of
its window waits 200 ms and sends the window again. So packets wait at the entry: flows
take turns, each with one packet, and data that waits is not queued a second time.
"""

from __future__ import annotations

from ..state.flow_packets import FlowPacket
from ..state.link import Link
from ..state.link_queue import QueuedPacket, is_repeatable
from ..state.token_flows import TokenRelayState
from .flow_accounting import note_relayed
from .opening_copies import is_given_up, note_copy

# How far ahead of its rate a link is given packets: it stays busy while the event loop
# is late by half of this, and has to keep no more than a few packets.
LEAD_SECONDS = 0.01


def takes_at_once(link: Link, now: float) -> bool:
    """Tell whether a packet need not wait for the link."""
    return not link.queue.flows and link.free_at <= now


def is_waiting(link: Link, flow: bytes, packet: FlowPacket) -> bool:
    """Tell whether a copy of an opening packet or of data waits for the link."""
    return is_repeatable(packet) and link.queue.holds(flow, packet.sequence)


def next_packet(link: Link, now: float) -> QueuedPacket | None:
    """Return the packet to give to the link now, None if there is none or no room."""
    return link.queue.take() if link.ahead(now) < LEAD_SECONDS else None


def seconds_to_next(link: Link, now: float) -> float:
    """Return the seconds until the link should get more packets."""
    return max(0.0, link.ahead(now) - LEAD_SECONDS / 2)


def is_too_late(queued: QueuedPacket, now: float) -> bool:
    """Tell whether a packet opens a flow whose caller has given up meanwhile."""
    packet = queued.packet
    return packet.is_opening and is_given_up(packet, _waited(queued, now))


def note_given(state: TokenRelayState, queued: QueuedPacket, now: float) -> None:
    """Take note that a packet is given to the link."""
    link = state.link
    link.give(len(queued.datagram), now)
    traffic = link.traffic
    traffic.waited_seconds = max(traffic.waited_seconds, now - queued.queued_at)
    flow = state.flows.get(queued.flow)
    if flow is None:
        return
    packet = queued.packet
    if packet.size:
        note_relayed(link, flow, packet, now)
    elif packet.is_opening and not flow.is_open:
        flow.sent_at = now
        note_copy(flow, packet, _waited(queued, now))


def _waited(queued: QueuedPacket, now: float) -> float:
    return queued.waited + now - queued.queued_at
