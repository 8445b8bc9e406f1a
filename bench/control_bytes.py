"""Control traffic of an entry of four at 300,000 flows held and 3,000 new a second.

Bytes are those of the encoded, authenticated datagrams with 28 bytes of IP and UDP
headers each: heartbeats and all that concerns flows. The figure is that of the entry
that sends most. Announcements and requests are not part of it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from random import Random

from chervilstage.protocol.envelope import Envelope, encode_envelope
from chervilstage.protocol.flow_messages import KINDS, encode_flow_message
from chervilstage.protocol.kinds import Kind
from chervilstage.protocol.membership_messages import encode_heartbeat
from chervilstage.state.flow_table import Pin
from chervilstage.state.members import Heartbeat
from chervilstage.state.types import UpstreamPhase
from chervilstage.state.view import bucket_of, flow_key
from testing.support.flow_group import FlowGroup

from .figures import Figure

NAME = "alley-desk"
NAMES = ["e1", "e2", "e3", "e4"]
KEY = b"k" * 32
HEADER_BYTES = 28
HELD = 300_000
NEW_PER_TICK = 60
TICKS_PER_SECOND = 50


class MeteredGroup:
    """A settled group that holds many flows and counts the bytes that it sends."""

    def __init__(self) -> None:
        self.sent: Counter[str] = Counter()
        self.rng = Random(5)
        self.next_flow = HELD
        self.later: list[tuple[str, int]] = []
        self.group = FlowGroup(
            names=NAMES,
            rng=Random(5),
            delay=0.003,
            services=[NAME],
            on_send=self.count,
        )
        for port in range(7):
            self.group.add_upstream(NAME, port)
        for name in NAMES:
            self.group.start_entry(name)
        self.group.settle()
        self.fill()

    def count(self, sender: str, message: object) -> None:
        """Add the bytes of a message."""
        if isinstance(message, Heartbeat):
            kind, body = Kind.HEARTBEAT, encode_heartbeat(message)
        else:
            kind = KINDS[type(message)]  # type: ignore[index]
            body = encode_flow_message(message)  # type: ignore[arg-type]
        envelope = Envelope(kind=kind, sender=f"entry-{sender}", body=body)
        self.sent[sender] += len(encode_envelope(envelope, KEY)) + HEADER_BYTES

    def fill(self) -> None:
        """Pin the flows that are held on every entry."""
        states = [node.state for node in self.group.nodes.values()]
        now = self.group.clock.now
        for number in range(HELD):
            key = flow_key(self.group.seeds[NAME], number.to_bytes(6, "big"))
            upstream = states[0].view.buckets(NAME)[bucket_of(key)]
            assert upstream is not None
            pin = Pin(upstream=upstream, used_at=now, number=1)
            for state in states:
                state.tables[NAME].put(key, pin)

    def run(self, seconds: float) -> float:
        """Let time pass with new flows that reach every entry in two seconds.

        :returns: bytes a second of the entry that sent most.
        """
        self.sent.clear()
        for _ in range(round(seconds * TICKS_PER_SECOND)):
            for _ in range(NEW_PER_TICK):
                self.next_flow += 1
                names = self.rng.sample(NAMES, len(NAMES))
                self.packet(names[0], self.next_flow)
                self.later.extend((name, self.next_flow) for name in names[1:])
            due = len(self.later) // TICKS_PER_SECOND
            for _ in range(due):
                place = self.rng.randrange(len(self.later))
                self.later[place], self.later[-1] = self.later[-1], self.later[place]
                self.packet(*self.later.pop())
            self.group.tick()
        return max(self.sent.values()) / seconds

    def packet(self, name: str, flow: int) -> None:
        """Let a packet arrive if the entry is there."""
        if name in self.group.nodes:
            self.group.packet(name, NAME, flow)


def measure_bytes() -> Iterator[Figure]:
    """Yield bytes a second, steady and in the busiest of three kinds of change."""
    metered = MeteredGroup()
    steady = metered.run(10.0)
    yield Figure(name="control.bytes_steady", value=steady, how="decisions")
    changes: dict[str, float] = {}
    metered.group.add_upstream(NAME, 7)
    changes["upstream_joins"] = metered.run(12.0)
    metered.group.stop_entry("e4")
    changes["entry_stops"] = max(metered.run(5.0) for _ in range(2))
    metered.group.add_upstream(NAME, 2, phase=UpstreamPhase.LEAVING)
    changes["upstream_leaves"] = max(metered.run(5.0) for _ in range(2))
    yield Figure(
        name="control.bytes_change", value=max(changes.values()), how="decisions"
    )
    for variant, value in changes.items():
        yield Figure(
            name="control.bytes_change", value=value, how="decisions", variant=variant
        )
