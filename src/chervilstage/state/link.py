"""The outgoing link of an entry and the traffic on it."""

from __future__ import annotations

from math import inf

from .histograms import Histogram
from .link_queue import LinkQueue

BYTES_PER_MEGABIT = 125_000
# Preamble, Ethernet header and checksum, interframe gap, IPv4 and UDP headers.
DATAGRAM_OVERHEAD_BYTES = 66
# The remaining share is for messages to the control replicas and the network fabric.
CALLER_TRAFFIC_SHARE = 0.95


class LinkTraffic:
    """The traffic that an entry has sent since its last report.

    ``data_packets`` counts the packets with bytes of callers, and ``repeated_packets``
    those of them whose bytes had been relayed here before. ``max_backlog_seconds`` is
    the largest backlog of the link, in seconds at its rate, and ``max_wait_seconds``
    the longest time that a packet was queued for the link.
    """

    def __init__(self) -> None:
        self.packets = 0
        self.bytes = 0
        self.data_packets = 0
        self.repeated_packets = 0
        self.max_backlog_seconds = 0.0
        self.max_wait_seconds = 0.0


class Link:
    """The outgoing link of a VM.

    ``free_at`` is when the link will have sent all datagrams passed to it, in seconds;
    later packets wait in ``queue``. ``expected_bytes`` estimates the bytes yet to
    arrive for unfinished requests, and ``expected_flows`` is the number of their flows.
    ``repeat_seconds`` is the histogram of times between two copies of relayed data.

    :param bytes_per_second: the rate of the link, infinite if it is unknown.
    """

    def __init__(self, *, bytes_per_second: float = inf) -> None:
        self.bytes_per_second = bytes_per_second
        self.free_at = -inf
        self.queue = LinkQueue()
        self.expected_bytes = 0.0
        self.expected_flows = 0
        self.traffic = LinkTraffic()
        self.repeat_seconds = Histogram()

    def backlog_seconds(self, now: float) -> float:
        """Return the seconds that the link needs to send its backlog."""
        return max(0.0, self.free_at - now)

    def record_sent(self, size: int, now: float) -> None:
        """Account for a datagram that is passed to the link."""
        size += DATAGRAM_OVERHEAD_BYTES
        seconds = size / (CALLER_TRAFFIC_SHARE * self.bytes_per_second)
        self.free_at = max(self.free_at, now) + seconds
        traffic = self.traffic
        traffic.packets += 1
        traffic.bytes += size
        if self.free_at - now > traffic.max_backlog_seconds:
            traffic.max_backlog_seconds = self.free_at - now

    def record_wait(self, seconds: float) -> None:
        """Record how long a packet was queued for the link."""
        self.traffic.max_wait_seconds = max(self.traffic.max_wait_seconds, seconds)

    def pop_traffic(self) -> LinkTraffic:
        """Return the traffic since the last call and reset it."""
        traffic, self.traffic = self.traffic, LinkTraffic()
        return traffic
