"""The packets that are queued for an entry's link, by flow."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple

from .flow_packets import SEQUENCE_SPACE, FlowPacket

# A caller has 16 data packets in flight, and few other packets.
MAXIMUM_FLOW_PACKETS = 64
MAXIMUM_BYTES = 4 * 1024 * 1024

QueuedFlowKey = bytes | int


class QueuedPacket(NamedTuple):
    """A datagram of a flow that is queued for the link.

    ``waited_seconds`` is an upper bound of the seconds that it waited at this entry
    before ``queued_at``. ``due_at`` is when its request should be answered, None for a
    short request. ``packet`` is the header of the caller's packet in it, None if it
    cannot be decoded here.
    """

    flow: QueuedFlowKey
    datagram: bytes
    address: tuple[str, int]
    queued_at: float
    waited_seconds: float = 0.0
    due_at: float | None = None
    packet: FlowPacket | None = None


class FlowBacklog:
    """The queued packets of one flow, ordered by sequence if known, then by arrival.

    ``repeatable_sequences`` holds the sequences of the packets that a caller repeats:
    opening packets and data.

    :param first: the sequence of the first packet; those of the others differ from it
        by at most half of the sequence space.
    :param number: the creation number, which orders backlogs due at the same time.
    """

    def __init__(self, *, first: int, number: int) -> None:
        self.first = first
        self.number = number
        self.arrivals = 0
        self.packets: list[tuple[int, int, QueuedPacket]] = []
        self.repeatable_sequences: set[int] = set()

    def add(self, queued: QueuedPacket) -> None:
        """Add a packet."""
        packet = queued.packet
        sequence = packet.sequence if packet else self.first
        offset = (sequence - self.first + SEQUENCE_SPACE // 2) % SEQUENCE_SPACE
        self.arrivals += 1
        heappush(self.packets, (offset, self.arrivals, queued))
        if packet and is_repeatable(packet):
            self.repeatable_sequences.add(sequence)

    def due_at(self) -> float | None:
        """Return when the first packet's request is due, None for a short request."""
        return self.packets[0][2].due_at

    def remove_first(self) -> QueuedPacket:
        """Remove and return the packet with the lowest sequence."""
        _, _, queued = heappop(self.packets)
        if queued.packet:
            self.repeatable_sequences.discard(queued.packet.sequence)
        return queued


class LinkQueue:
    """The flows with packets queued for a link.

    ``unserved_flows`` holds the flows that have not been served yet,
    ``round_robin_flows`` the others in round-robin order. ``bulk_by_due_time`` holds
    the flows whose next packet is of a long request, ordered by when that should be
    answered, and ``overdue_bulk_flows`` those whose due time has passed. A flow is in
    exactly one of the four.
    """

    def __init__(self) -> None:
        self.flows: dict[QueuedFlowKey, FlowBacklog] = {}
        self.unserved_flows: deque[QueuedFlowKey] = deque()
        self.round_robin_flows: deque[QueuedFlowKey] = deque()
        self.bulk_by_due_time: list[tuple[float, int, QueuedFlowKey]] = []
        self.overdue_bulk_flows: deque[QueuedFlowKey] = deque()
        self.backlogs_created = 0
        self.packets = 0
        self.bytes = 0

    def has_repeatable(self, flow: QueuedFlowKey, sequence: int) -> bool:
        """Return whether an opening packet or data of a flow is queued."""
        backlog = self.flows.get(flow)
        return backlog is not None and sequence in backlog.repeatable_sequences

    def add(self, queued: QueuedPacket) -> bool:
        """Add a packet if there is room for it; return whether it was added."""
        size = len(queued.datagram)
        backlog = self.flows.get(queued.flow)
        if self.bytes + size > MAXIMUM_BYTES:
            return False
        if backlog is None:
            first = queued.packet.sequence if queued.packet else 0
            self.backlogs_created += 1
            backlog = FlowBacklog(first=first, number=self.backlogs_created)
            self.flows[queued.flow] = backlog
            self.unserved_flows.append(queued.flow)
        elif len(backlog.packets) >= MAXIMUM_FLOW_PACKETS:
            return False
        backlog.add(queued)
        self.packets += 1
        self.bytes += size
        return True

    def remove_first(self, flow: QueuedFlowKey) -> QueuedPacket:
        """Remove and return the first packet of a flow."""
        queued = self.flows[flow].remove_first()
        self.packets -= 1
        self.bytes -= len(queued.datagram)
        return queued


def is_repeatable(packet: FlowPacket) -> bool:
    """Return whether the caller repeats a packet until it is answered."""
    return packet.is_opening or packet.size > 0
