"""The packets that wait for an entry's link, by flow."""

from __future__ import annotations

from collections import deque
from heapq import heappop, heappush
from typing import NamedTuple

from .flow_packets import NUMBER_SPACE, FlowPacket
from .types import Address

# A caller has 16 packets of data in flight, and few others.
MAXIMUM_FLOW_PACKETS = 64
MAXIMUM_BYTES = 4 * 1024 * 1024


class QueuedPacket(NamedTuple):
    """A packet of a caller and the datagram that takes it to an upstream.

    ``waited`` bounds the seconds that it waited at this entry before ``queued_at``.
    """

    flow: bytes
    packet: FlowPacket
    datagram: bytes
    address: Address
    queued_at: float
    waited: float


class FlowBacklog:
    """The packets of one flow that wait, by sequence and then by arrival.

    ``copied`` holds the sequences of those that a caller repeats: opening packets and
    data.

    :param first: the sequence of the first packet; the others are within half of the
        number space of it.
    """

    def __init__(self, *, first: int) -> None:
        self.first = first
        self.arrivals = 0
        self.packets: list[tuple[int, int, QueuedPacket]] = []
        self.copied: set[int] = set()

    def add(self, queued: QueuedPacket) -> None:
        """Keep a packet."""
        sequence = queued.packet.sequence
        offset = (sequence - self.first + NUMBER_SPACE // 2) % NUMBER_SPACE
        self.arrivals += 1
        heappush(self.packets, (offset, self.arrivals, queued))
        if is_repeatable(queued.packet):
            self.copied.add(sequence)

    def take(self) -> QueuedPacket:
        """Remove and return the packet with the first sequence."""
        _, _, queued = heappop(self.packets)
        self.copied.discard(queued.packet.sequence)
        return queued


class LinkQueue:
    """The flows that wait for a link to take their packets.

    ``fresh`` holds the flows that have not had a turn, ``turns`` the others in the
    order of their turns. A flow without packets stays until its turn comes, so that it
    cannot count as fresh more than once a round.
    """

    def __init__(self) -> None:
        self.flows: dict[bytes, FlowBacklog] = {}
        self.fresh: deque[bytes] = deque()
        self.turns: deque[bytes] = deque()
        self.packets = 0
        self.bytes = 0

    def holds(self, flow: bytes, sequence: int) -> bool:
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
            backlog = FlowBacklog(first=queued.packet.sequence)
            self.flows[queued.flow] = backlog
            self.fresh.append(queued.flow)
        elif len(backlog.packets) >= MAXIMUM_FLOW_PACKETS:
            return False
        backlog.add(queued)
        self.packets += 1
        self.bytes += size
        return True

    def take(self) -> QueuedPacket | None:
        """Remove and return the packet whose turn it is, None if nothing waits."""
        while self.flows:
            flow = (self.fresh or self.turns).popleft()
            backlog = self.flows[flow]
            if not backlog.packets:
                del self.flows[flow]
                continue
            self.turns.append(flow)
            queued = backlog.take()
            self.packets -= 1
            self.bytes -= len(queued.datagram)
            return queued
        return None


def is_repeatable(packet: FlowPacket) -> bool:
    """Tell whether its caller repeats a packet until it is answered."""
    return packet.is_opening or packet.size > 0
