"""What the copies of an opening packet tell of where a flow has opened.

Copies may go to several entries, and several upstreams may answer them. An entry sees
only those that came to it, so it opens a flow only by what no other copy can explain.
The ``waited`` of a packet bounds the seconds that it waited at this entry.
"""

from __future__ import annotations

from ..state.flow_packets import NUMBER_SPACE, FlowPacket
from ..state.token_flows import TokenFlow
from .flow_accounting import WINDOW_BYTES

# When callers send an opening packet and its copies, and, last, when they give it up.
ATTEMPT_SECONDS = (0.0, 0.2, 0.6, 1.4)
LATEST_COPY = 2
# Just before callers repeat their first data, which another entry may have relayed.
FIRST_DATA_SECONDS = 0.19


def is_given_up(packet: FlowPacket, waited: float) -> bool:
    """Tell whether the caller of an opening packet waits no longer for an answer."""
    sent = ATTEMPT_SECONDS[min(packet.copy, LATEST_COPY)]
    return waited > ATTEMPT_SECONDS[-1] - sent


def _until_next_copy(copy: int) -> float:
    """Return the seconds from a copy of an opening packet to when one is due again."""
    copy = min(copy, LATEST_COPY)
    return ATTEMPT_SECONDS[copy + 1] - ATTEMPT_SECONDS[copy]


def opens_flow(
    flow: TokenFlow | None, packet: FlowPacket, now: float, waited: float
) -> bool:
    """Tell whether a packet is the first after an opening packet seen here.

    Later data says nothing of where the flow has opened: an opening packet may be late
    while its copy has opened the flow elsewhere.
    """
    if flow is None or flow.opening is None or _offset(flow.opening, packet) > 1:
        return False
    certain = _certain_seconds(flow)
    if now - flow.sent_at < certain:
        return True
    return now - waited - flow.sent_at <= certain + FIRST_DATA_SECONDS


def overtakes_first(flow: TokenFlow | None, packet: FlowPacket, now: float) -> bool:
    """Tell whether a packet may have overtaken the first one of its flow.

    The packets of a window come in any order, within some milliseconds.
    """
    if flow is None or flow.opening is None:
        return False
    is_near = 1 < _offset(flow.opening, packet) <= WINDOW_BYTES
    return is_near and now - flow.sent_at < _certain_seconds(flow)


def _offset(opening: int, packet: FlowPacket) -> int:
    return (packet.sequence - opening) % NUMBER_SPACE


def _certain_seconds(flow: TokenFlow) -> float:
    """Return how long after the opening packet no copy is due elsewhere."""
    return 0.0 if flow.lacks_copies else _until_next_copy(flow.latest_copy)


def is_only_copy(packet: FlowPacket, waited: float) -> bool:
    """Tell whether no copy of an opening packet can have opened the flow elsewhere."""
    return packet.copy == 0 and waited < _until_next_copy(0)


def note_copy(flow: TokenFlow, packet: FlowPacket, waited: float) -> None:
    """Take note of a copy of an opening packet; others may have gone elsewhere."""
    copy = packet.copy
    if copy > flow.latest_copy + 1 or waited >= _until_next_copy(copy):
        flow.lacks_copies = True
    flow.latest_copy = max(flow.latest_copy, copy)
