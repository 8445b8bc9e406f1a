"""A link that carries datagrams one after the other, with a small buffer."""

from __future__ import annotations

from chervilstage.state.link import DATAGRAM_OVERHEAD_BYTES
from testing.support.timeline import Action, Timeline


class SimulatedLink:
    """The outgoing link of a VM.

    ``lost_datagrams`` counts the datagrams dropped because the buffer was full.

    :param buffer_seconds: capacity of the buffer, in seconds at the link's rate.
    :param delay_seconds: propagation delay of a datagram after the link.
    """

    def __init__(
        self,
        *,
        timeline: Timeline,
        bytes_per_second: float,
        buffer_seconds: float,
        delay_seconds: float,
    ) -> None:
        self.timeline = timeline
        self.bytes_per_second = bytes_per_second
        self.buffer_seconds = buffer_seconds
        self.delay_seconds = delay_seconds
        self.free_at = 0.0
        self.carried_bytes = 0
        self.lost_datagrams = 0

    def send(self, size: int, on_delivered: Action) -> None:
        """Transmit a datagram, or drop it if the buffer is full.

        :param on_delivered: called when it has reached its receiver.
        """
        now = self.timeline.now
        if self.free_at - now > self.buffer_seconds:
            self.lost_datagrams += 1
            return
        size += DATAGRAM_OVERHEAD_BYTES
        self.free_at = max(self.free_at, now) + size / self.bytes_per_second
        self.carried_bytes += size
        self.timeline.call_later(self.free_at - now + self.delay_seconds, on_delivered)
