"""The packets that wait for an entry's link, by flow."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple

from .flow_packets import NUMBER_SPACE, FlowPacket

# A caller has 16 packets of data in flight, and few others.
MAXIMUM_FLOW_PACKETS = 64
MAXIMUM_BYTES = 4 * 1024 * 1024

FlowKey = bytes | int


class QueuedPacket(NamedTuple):
    """A datagram of a flow that waits for the link.

    ``waited`` bounds the seconds that it waited at this entry before ``queued_at``.
    ``due_at`` is when its request should be answered, None if that is a short one.
    ``packet`` is the caller's packet in it, None if this entry cannot read it.
    """

    flow: FlowKey
    datagram: bytes
    address: tuple[str, int]
    queued_at: float
    waited: float = 0.0
    due_at: float | None = None
    packet: FlowPacket | None = None


class FlowBacklog:
    """The packets of one flow that wait, by sequence if known and then by arrival.

    ``copied`` holds the sequences of those that a caller repeats: opening packets and
    data.

    :param first: the sequence of the first packet; the others are within half of the
        number space of it.
    :param number: orders backlogs that are due at the same time.
    """

    def __init__(self, *, first: int, number: int) -> None:
        self.first = first
        self.number = number
        self.arrivals = 0
        self.packets: list[tuple[int, int, QueuedPacket]] = []
        self.copied: set[int] = set()

    def add(self, queued: QueuedPacket) -> None:
        """Keep a packet."""
        packet = queued.packet
        sequence = packet.sequence if packet else self.first
        offset = (sequence - self.first + NUMBER_SPACE // 2) % NUMBER_SPACE
        self.arrivals += 1
        heappush(self.packets, (offset, self.arrivals, queued))
        if packet and is_repeatable(packet):
            self.copied.add(sequence)

    def due_at(self) -> float | None:
        """Return when the request of the first packet is due, None if it is short."""
        return self.packets[0][2].due_at

    def remove_first(self) -> QueuedPacket:
        """Remove and return the packet with the first sequence."""
        _, _, queued = heappop(self.packets)
        if queued.packet:
            self.copied.discard(queued.packet.sequence)
        return queued


class LinkQueue:
    """The flows that wait for a link to take their packets.

    ``fresh`` holds the flows that have not had a turn, ``turns`` the others in the
    order of their turns. ``bulk`` holds flows whose next packet is of a long request,
    by when that should be answered, and ``late`` those for which it is too late. A flow
    is in one of them.
    """

    def __init__(self) -> None:
        self.flows: dict[FlowKey, FlowBacklog] = {}
        self.fresh: deque[FlowKey] = deque()
        self.turns: deque[FlowKey] = deque()
        self.bulk: list[tuple[float, int, FlowKey]] = []
        self.late: deque[FlowKey] = deque()
        self.begun = 0
        self.packets = 0
        self.bytes = 0

    def holds(self, flow: FlowKey, sequence: int) -> bool:
        """Tell whether an opening packet or data of a flow waits."""
        backlog = self.flows.get(flow)
        return backlog is not None and sequence in backlog.copied

    def add(self, queued: QueuedPacket) -> bool:
        """Keep a packet and tell whether there was room for it."""
        size = len(queued.datagram)
        backlog = self.flows.get(queued.flow)
        if self.bytes + size > MAXIMUM_BYTES:
            return False
        if backlog is None:
            first = queued.packet.sequence if queued.packet else 0
            self.begun += 1
            backlog = FlowBacklog(first=first, number=self.begun)
            self.flows[queued.flow] = backlog
            self.fresh.append(queued.flow)
        elif len(backlog.packets) >= MAXIMUM_FLOW_PACKETS:
            return False
        backlog.add(queued)
        self.packets += 1
        self.bytes += size
        return True

    def remove_first(self, flow: FlowKey) -> QueuedPacket:
        """Remove and return the first packet of a flow."""
        queued = self.flows[flow].remove_first()
        self.packets -= 1
        self.bytes -= len(queued.datagram)
        return queued


def is_repeatable(packet: FlowPacket) -> bool:
    """Tell whether its caller repeats a packet until it is answered."""
    return packet.is_opening or packet.size > 0
