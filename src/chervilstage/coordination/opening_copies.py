"""Infer from the copies of an opening packet whether a flow may be open elsewhere.

The caller retransmits an opening packet; these copies may reach several entries, and
several upstreams may answer them. An entry sees only the copies that arrive at it, so
it marks a flow open only if no copy at another entry can account for the packet.
``wait_seconds`` is an upper bound of the time that a packet has waited at this entry.
"""

from __future__ import annotations

from ..state.flow_packets import SEQUENCE_SPACE, FlowPacket
from ..state.token_flows import TokenFlow
from .flow_accounting import WINDOW_BYTES

# When callers send an opening packet (copy 0) and its copies 1 and 2, in seconds after
# the first; the last value is their timeout.
OPENING_SCHEDULE_SECONDS = (0.0, 0.2, 0.6, 1.4)
LAST_COPY = 2
# Just below the time after which callers retransmit their first data. Of data that
# arrives later, another entry may have relayed the first transmission.
FIRST_DATA_WINDOW_SECONDS = 0.19


def has_opening_timed_out(packet: FlowPacket, wait_seconds: float) -> bool:
    """Return whether the caller no longer waits for an answer to an opening packet."""
    sent = OPENING_SCHEDULE_SECONDS[min(packet.copy, LAST_COPY)]
    return wait_seconds > OPENING_SCHEDULE_SECONDS[-1] - sent


def _seconds_to_next_copy(copy: int) -> float:
    """Return the seconds from a copy of an opening packet to the next one."""
    copy = min(copy, LAST_COPY)
    return OPENING_SCHEDULE_SECONDS[copy + 1] - OPENING_SCHEDULE_SECONDS[copy]


def is_first_after_opening(
    flow: TokenFlow | None, packet: FlowPacket, now: float, wait_seconds: float
) -> bool:
    """Return whether a packet is the first after an opening packet seen here.

    Later data doesn't show where the flow has opened: an opening packet may be delayed
    while its copy has opened the flow through another entry.
    """
    if (
        flow is None
        or flow.opening_sequence is None
        or _sequence_offset(flow.opening_sequence, packet) > 1
    ):
        return False
    single_copy_seconds = _single_copy_seconds(flow)
    if now - flow.opening_sent_at < single_copy_seconds:
        return True
    return (
        now - wait_seconds - flow.opening_sent_at
        <= single_copy_seconds + FIRST_DATA_WINDOW_SECONDS
    )


def is_ahead_of_first(flow: TokenFlow | None, packet: FlowPacket, now: float) -> bool:
    """Return whether a packet may have overtaken the first one of its flow.

    The packets of a window may arrive in any order within a few milliseconds.
    """
    if flow is None or flow.opening_sequence is None:
        return False
    is_in_window = 1 < _sequence_offset(flow.opening_sequence, packet) <= WINDOW_BYTES
    return is_in_window and now - flow.opening_sent_at < _single_copy_seconds(flow)


def _sequence_offset(opening: int, packet: FlowPacket) -> int:
    return (packet.sequence - opening) % SEQUENCE_SPACE


def _single_copy_seconds(flow: TokenFlow) -> float:
    """Return how long after the opening packet no other copy can have been sent."""
    return 0.0 if flow.has_missed_copies else _seconds_to_next_copy(flow.latest_copy)


def is_only_copy(packet: FlowPacket, wait_seconds: float) -> bool:
    """Return whether no other copy of an opening packet can have opened the flow."""
    return packet.copy == 0 and wait_seconds < _seconds_to_next_copy(0)


def record_copy(flow: TokenFlow, packet: FlowPacket, wait_seconds: float) -> None:
    """Record a copy of an opening packet, and whether earlier ones went elsewhere."""
    copy = packet.copy
    if copy > flow.latest_copy + 1 or wait_seconds >= _seconds_to_next_copy(copy):
        flow.has_missed_copies = True
    flow.latest_copy = max(flow.latest_copy, copy)
