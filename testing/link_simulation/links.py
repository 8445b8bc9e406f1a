"""A link that carries datagrams one after the other and keeps few that wait."""

from __future__ import annotations

from chervilstage.state.link import DATAGRAM_OVERHEAD_BYTES
from testing.support.timeline import Action, Timeline


class SimulatedLink:
    """The outgoing link of a VM.

    ``lost`` counts the datagrams that found its buffer full.

    :param buffer_seconds: the most that waits for it, in seconds of its rate.
    :param delay_seconds: how long a datagram travels behind the link.
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
        self.lost = 0

    def send(self, size: int, arrive: Action) -> None:
        """Carry a datagram, or lose it.

        :param arrive: called when it has come to its receiver.
        """
        now = self.timeline.now
        if self.free_at - now > self.buffer_seconds:
            self.lost += 1
            return
        size += DATAGRAM_OVERHEAD_BYTES
        self.free_at = max(self.free_at, now) + size / self.bytes_per_second
        self.carried_bytes += size
        self.timeline.after(self.free_at - now + self.delay_seconds, arrive)
