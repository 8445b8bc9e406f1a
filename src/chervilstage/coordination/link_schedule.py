"""When an entry gives packets to its link, and which one is next.

A link drops what it cannot keep without a sign, and a caller that loses one packet of
its window waits 200 ms and sends the window again. So packets wait at the entry, and
data that waits is not queued a second time. Short requests take turns, each with one
packet. Long ones go after them, the one that is due first before the others, since
sharing the link would make all of them late; those that are late already come last.
"""

from __future__ import annotations

from heapq import heappop, heappush

from ..state.flow_packets import FlowPacket
from ..state.link import Link
from ..state.link_queue import FlowKey, LinkQueue, QueuedPacket, is_repeatable
from ..state.token_flows import TokenRelayState
from .flow_accounting import is_bulk, note_relayed
from .opening_copies import is_given_up, note_copy

# How far ahead of its rate a link is given packets: it stays busy while the event loop
# is late by half of this, and has to keep no more than a few packets.
LEAD_SECONDS = 0.01


def takes_at_once(link: Link, queue: LinkQueue, now: float) -> bool:
    """Tell whether a packet need not wait for the link."""
    return not queue.flows and link.free_at <= now


def is_waiting(link: Link, flow: bytes, packet: FlowPacket) -> bool:
    """Tell whether a copy of an opening packet or of data waits for the link."""
    return is_repeatable(packet) and link.queue.holds(flow, packet.sequence)


def next_packet(link: Link, queue: LinkQueue, now: float) -> QueuedPacket | None:
    """Return the packet to give to the link now, None if there is none or no room."""
    return take_next(queue, now) if link.ahead(now) < LEAD_SECONDS else None


def take_next(queue: LinkQueue, now: float) -> QueuedPacket | None:
    """Remove and return the packet that goes first, None if none waits."""
    flow = _next_turn(queue)
    if flow is not None:
        return queue.remove_first(flow)
    flow = _next_bulk(queue, now)
    if flow is None:
        return None
    queued = queue.remove_first(flow)
    _put_back(queue, flow)
    return queued


def _next_turn(queue: LinkQueue) -> FlowKey | None:
    """Return the flow whose turn it is.

    A flow without packets stays until its turn comes, so that it cannot count as fresh
    more than once a round.
    """
    while queue.fresh or queue.turns:
        flow = (queue.fresh or queue.turns).popleft()
        backlog = queue.flows[flow]
        if backlog.packets and backlog.due_at() is None:
            queue.turns.append(flow)
            return flow
        _put_back(queue, flow)
    return None


def _next_bulk(queue: LinkQueue, now: float) -> FlowKey | None:
    """Return the flow of the long request that goes first."""
    while queue.bulk and queue.bulk[0][0] < now:
        queue.late.append(heappop(queue.bulk)[-1])
    if queue.bulk:
        return heappop(queue.bulk)[-1]
    return queue.late.popleft() if queue.late else None


def _put_back(queue: LinkQueue, flow: FlowKey) -> None:
    """Put a flow where its next packet belongs, or forget it if it has none."""
    backlog = queue.flows[flow]
    if not backlog.packets:
        del queue.flows[flow]
        return
    due = backlog.due_at()
    if due is None:
        queue.turns.append(flow)
    else:
        heappush(queue.bulk, (due, backlog.number, flow))


def due_at(state: TokenRelayState, key: bytes, packet: FlowPacket) -> float | None:
    """Return when the request of a packet should be answered, None if it is short.

    The first window of a long request counts as short.
    """
    flow = state.flows.get(key)
    route = state.routes.get(packet.front)
    if flow is None or route is None or not packet.size or not is_bulk(flow):
        return None
    objective = route.objective_seconds or route.timeout_seconds
    return (flow.busy_since or flow.seen_at) + objective


def seconds_to_next(link: Link, now: float) -> float:
    """Return the seconds until the link should get more packets."""
    return max(0.0, link.ahead(now) - LEAD_SECONDS / 2)


def is_too_late(queued: QueuedPacket, now: float) -> bool:
    """Tell whether a packet opens a flow whose caller has given up meanwhile."""
    packet = queued.packet
    if packet is None or not packet.is_opening:
        return False
    return is_given_up(packet, waited_seconds(queued, now))


def note_sent(
    state: TokenRelayState, packet: FlowPacket, now: float, waited: float
) -> None:
    """Take note that a caller's packet was sent to its upstream.

    :param waited: the seconds that the packet may have waited at this entry.
    """
    if not is_repeatable(packet):
        return
    flow = state.flows.get(packet.caller + packet.front)
    if flow is None:
        return
    if packet.size:
        note_relayed(state.link, flow, packet, now)
    elif not flow.is_open:
        flow.sent_at = now
        note_copy(flow, packet, waited)


def waited_seconds(queued: QueuedPacket, now: float) -> float:
    """Return the seconds that a packet may have waited at this entry."""
    return queued.waited + now - queued.queued_at
