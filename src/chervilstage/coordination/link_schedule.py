"""Pace and schedule the packets that an entry sends on its link.

A link silently drops packets beyond its buffer, and a caller that loses one packet of
its window waits 200 ms and retransmits the window. So packets are queued at the entry,
and data that is queued already is not queued a second time. Flows with short requests
are served round-robin, one packet at a time. Long requests come after them, earliest
deadline first, since sharing the link would make all of them late; those past their
deadline come last.
"""

from __future__ import annotations

from heapq import heappop, heappush

from ..state.flow_packets import FlowPacket
from ..state.link import Link
from ..state.link_queue import LinkQueue, QueuedFlowKey, QueuedPacket, is_repeatable
from ..state.token_flows import TokenRelayState
from .flow_accounting import is_bulk, record_relayed_data
from .opening_copies import has_opening_timed_out, record_copy

# How far ahead of the link's rate packets are sent: the link stays busy while the event
# loop is late by up to half of this, and has to buffer only a few packets.
LEAD_SECONDS = 0.01


def can_send_immediately(link: Link, queue: LinkQueue, now: float) -> bool:
    """Return whether a packet can be sent without queueing."""
    return not queue.flows and link.free_at <= now


def is_copy_queued(link: Link, flow: bytes, packet: FlowPacket) -> bool:
    """Return whether an opening packet or data with this sequence is queued."""
    return is_repeatable(packet) and link.queue.has_repeatable(flow, packet.sequence)


def pop_sendable_packet(
    link: Link, queue: LinkQueue, now: float
) -> QueuedPacket | None:
    """Remove and return the packet to send now, None if none or the link is busy."""
    return (
        pop_next_packet(queue, now)
        if link.backlog_seconds(now) < LEAD_SECONDS
        else None
    )


def pop_next_packet(queue: LinkQueue, now: float) -> QueuedPacket | None:
    """Remove and return the next packet in scheduling order, None if none is queued."""
    flow = _next_short_flow(queue)
    if flow is not None:
        return queue.remove_first(flow)
    flow = _next_bulk_flow(queue, now)
    if flow is None:
        return None
    queued = queue.remove_first(flow)
    _reschedule_flow(queue, flow)
    return queued


def _next_short_flow(queue: LinkQueue) -> QueuedFlowKey | None:
    """Return the next flow with a short request, in round-robin order.

    A flow that has no packets left stays in the rotation until its turn. If it were
    removed earlier, its next packet would be served first as that of a new flow, so the
    flow could be served more than once per round.
    """
    while queue.unserved_flows or queue.round_robin_flows:
        flow = (queue.unserved_flows or queue.round_robin_flows).popleft()
        backlog = queue.flows[flow]
        if backlog.packets and backlog.due_at() is None:
            queue.round_robin_flows.append(flow)
            return flow
        _reschedule_flow(queue, flow)
    return None


def _next_bulk_flow(queue: LinkQueue, now: float) -> QueuedFlowKey | None:
    """Return the next flow with a long request, by deadline."""
    while queue.bulk_by_due_time and queue.bulk_by_due_time[0][0] < now:
        queue.overdue_bulk_flows.append(heappop(queue.bulk_by_due_time)[-1])
    if queue.bulk_by_due_time:
        return heappop(queue.bulk_by_due_time)[-1]
    return queue.overdue_bulk_flows.popleft() if queue.overdue_bulk_flows else None


def _reschedule_flow(queue: LinkQueue, flow: QueuedFlowKey) -> None:
    """Requeue a flow according to its next packet, or remove it if it has none."""
    backlog = queue.flows[flow]
    if not backlog.packets:
        del queue.flows[flow]
        return
    deadline = backlog.due_at()
    if deadline is None:
        queue.round_robin_flows.append(flow)
    else:
        heappush(queue.bulk_by_due_time, (deadline, backlog.number, flow))


def request_deadline(
    state: TokenRelayState, key: bytes, packet: FlowPacket
) -> float | None:
    """Return the deadline of a packet's request, None if the request is short.

    The first window of a long request counts as short.
    """
    flow = state.flows.get(key)
    route = state.routes.get(packet.front)
    if flow is None or route is None or not packet.size or not is_bulk(flow):
        return None
    objective = route.objective_seconds or route.timeout_seconds
    return (flow.busy_since or flow.last_seen_at) + objective


def seconds_to_next_send(link: Link, now: float) -> float:
    """Return the seconds until more packets should be sent on the link."""
    return max(0.0, link.backlog_seconds(now) - LEAD_SECONDS / 2)


def is_opening_expired(queued: QueuedPacket, now: float) -> bool:
    """Return whether a queued opening packet has passed its caller's timeout."""
    packet = queued.packet
    if packet is None or not packet.is_opening:
        return False
    return has_opening_timed_out(packet, waited_seconds(queued, now))


def record_sent(
    state: TokenRelayState, packet: FlowPacket, now: float, wait_seconds: float
) -> None:
    """Record that a caller's packet was sent to its upstream.

    :param wait_seconds: upper bound of the time that the packet has waited here.
    """
    if not is_repeatable(packet):
        return
    flow = state.flows.get(packet.caller + packet.front)
    if flow is None:
        return
    if packet.size:
        record_relayed_data(state.link, flow, packet, now)
    elif not flow.is_open:
        flow.opening_sent_at = now
        record_copy(flow, packet, wait_seconds)


def waited_seconds(queued: QueuedPacket, now: float) -> float:
    """Return an upper bound of the time that a packet has waited at this entry."""
    return queued.waited_seconds + now - queued.queued_at
