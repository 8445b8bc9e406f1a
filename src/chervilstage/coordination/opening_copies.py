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
    """Tell whether a packet is among the first after an opening packet seen here.

    Packets overtake each other. Only the first byte tells where the flow may have
    opened elsewhere: a copy did not come here, or the packet may have come later.
    """
    if flow is None or flow.opening is None:
        return False
    certain = 0.0 if flow.lacks_copies else _until_next_copy(flow.latest_copy)
    offset = (packet.sequence - flow.opening) % NUMBER_SPACE
    if now - flow.sent_at < certain:
        return offset <= WINDOW_BYTES
    is_early = now - waited - flow.sent_at <= certain + FIRST_DATA_SECONDS
    return is_early and offset <= 1


def is_only_copy(packet: FlowPacket, waited: float) -> bool:
    """Tell whether no copy of an opening packet can have opened the flow elsewhere."""
    return packet.copy == 0 and waited < _until_next_copy(0)


def note_copy(flow: TokenFlow, packet: FlowPacket, waited: float) -> None:
    """Take note of a copy of an opening packet; others may have gone elsewhere."""
    copy = packet.copy
    if copy > flow.latest_copy + 1 or waited >= _until_next_copy(copy):
        flow.lacks_copies = True
    flow.latest_copy = max(flow.latest_copy, copy)
