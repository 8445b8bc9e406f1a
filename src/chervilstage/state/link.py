"""The link that an entry sends on, and what it has been given."""

from __future__ import annotations

from math import inf

from .histograms import Histogram
from .link_queue import LinkQueue

BYTES_PER_MEGABIT = 125_000
# Preamble, Ethernet header and checksum, gap between frames, IPv4 and UDP headers.
DATAGRAM_OVERHEAD_BYTES = 66
# Messages with the control replicas and the fabric take the rest.
CALLERS_SHARE = 0.95


class LinkTraffic:
    """What an entry has sent since its last report.

    ``data_packets`` carried bytes of callers, ``repeated_packets`` of them bytes that
    had been relayed here before. ``ahead_seconds`` is the most that the link was given
    ahead of its rate, ``waited_seconds`` the longest wait of a packet for the link.
    """

    def __init__(self) -> None:
        self.packets = 0
        self.bytes = 0
        self.data_packets = 0
        self.repeated_packets = 0
        self.ahead_seconds = 0.0
        self.waited_seconds = 0.0


class Link:
    """The outgoing link of a VM.

    ``free_at`` is when the link will have carried all that it has been given, in
    seconds; what it is not given yet waits in ``queue``. ``expected_bytes`` is what the
    requests of ``expected_flows`` are likely to bring yet. ``repeat_seconds`` counts
    the times between two copies of relayed data.

    :param bytes_per_second: its rate, infinite if that is not known.
    """

    def __init__(self, *, bytes_per_second: float = inf) -> None:
        self.bytes_per_second = bytes_per_second
        self.free_at = -inf
        self.queue = LinkQueue()
        self.expected_bytes = 0.0
        self.expected_flows = 0
        self.traffic = LinkTraffic()
        self.repeat_seconds = Histogram()

    def ahead(self, now: float) -> float:
        """Return the seconds that the link needs for what it has been given."""
        return max(0.0, self.free_at - now)

    def give(self, size: int, now: float) -> None:
        """Take note of a datagram that is given to the link."""
        size += DATAGRAM_OVERHEAD_BYTES
        seconds = size / (CALLERS_SHARE * self.bytes_per_second)
        self.free_at = max(self.free_at, now) + seconds
        traffic = self.traffic
        traffic.packets += 1
        traffic.bytes += size
        if self.free_at - now > traffic.ahead_seconds:
            traffic.ahead_seconds = self.free_at - now

    def note_wait(self, seconds: float) -> None:
        """Take note of how long a packet has waited for the link."""
        self.traffic.waited_seconds = max(self.traffic.waited_seconds, seconds)

    def take_traffic(self) -> LinkTraffic:
        """Return what was sent since the last call."""
        traffic, self.traffic = self.traffic, LinkTraffic()
        return traffic
