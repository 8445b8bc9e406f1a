"""Measure control traffic at 300,000 open flows and 3,000 new ones per second.

There are four entries. The bytes counted are those of the encoded, authenticated
datagrams with 28 bytes of IP and UDP headers each, for heartbeats and all messages
about flows. The figure is that of the entry that sends most. Announcements and requests
are not included.
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

SERVICE = "alley-desk"
ENTRY_NAMES = ["e1", "e2", "e3", "e4"]
KEY = b"k" * 32
DATAGRAM_HEADER_BYTES = 28
OPEN_FLOWS = 300_000
NEW_FLOWS_PER_TICK = 60
TICKS_PER_SECOND = 50


class MeteredGroup:
    """A settled group with many open flows that counts the bytes its entries send."""

    def __init__(self) -> None:
        self.sent_bytes: Counter[str] = Counter()
        self.rng = Random(5)
        self.next_flow = OPEN_FLOWS
        self.pending_packets: list[tuple[str, int]] = []
        self.group = FlowGroup(
            names=ENTRY_NAMES,
            rng=Random(5),
            delay=0.003,
            services=[SERVICE],
            on_send=self.record_message,
        )
        for port in range(7):
            self.group.add_upstream(SERVICE, port)
        for name in ENTRY_NAMES:
            self.group.start_entry(name)
        self.group.run_until_settled()
        self.pin_open_flows()

    def record_message(self, sender: str, message: object) -> None:
        """Add the encoded size of a message to the bytes of its sender."""
        if isinstance(message, Heartbeat):
            kind, body = Kind.HEARTBEAT, encode_heartbeat(message)
        else:
            kind = KINDS[type(message)]  # type: ignore[index]
            body = encode_flow_message(message)  # type: ignore[arg-type]
        envelope = Envelope(kind=kind, sender=f"entry-{sender}", body=body)
        self.sent_bytes[sender] += (
            len(encode_envelope(envelope, KEY)) + DATAGRAM_HEADER_BYTES
        )

    def pin_open_flows(self) -> None:
        """Store a pin for each open flow on every entry."""
        flow_states = [node.state for node in self.group.nodes.values()]
        now = self.group.clock.now
        for flow_number in range(OPEN_FLOWS):
            key = flow_key(self.group.seeds[SERVICE], flow_number.to_bytes(6, "big"))
            upstream = flow_states[0].view.buckets(SERVICE)[bucket_of(key)]
            assert upstream is not None
            pin = Pin(upstream=upstream, used_at=now, number=1)
            for flow_state in flow_states:
                flow_state.tables[SERVICE].put(key, pin)

    def run(self, seconds: float) -> float:
        """Advance time; packets of each new flow reach every entry within about 2 s.

        :returns: bytes per second of the entry that sent most.
        """
        self.sent_bytes.clear()
        for _ in range(round(seconds * TICKS_PER_SECOND)):
            for _ in range(NEW_FLOWS_PER_TICK):
                self.next_flow += 1
                entries = self.rng.sample(ENTRY_NAMES, len(ENTRY_NAMES))
                self.send_packet(entries[0], self.next_flow)
                self.pending_packets.extend(
                    (entry, self.next_flow) for entry in entries[1:]
                )
            due_count = len(self.pending_packets) // TICKS_PER_SECOND
            for _ in range(due_count):
                index = self.rng.randrange(len(self.pending_packets))
                self.pending_packets[index], self.pending_packets[-1] = (
                    self.pending_packets[-1],
                    self.pending_packets[index],
                )
                self.send_packet(*self.pending_packets.pop())
            self.group.tick()
        return max(self.sent_bytes.values()) / seconds

    def send_packet(self, entry: str, flow: int) -> None:
        """Deliver a packet if the entry is running."""
        if entry in self.group.nodes:
            self.group.receive_packet(entry, SERVICE, flow)


def measure_control_bytes() -> Iterator[Figure]:
    """Yield bytes per second, steady and in the busiest of three kinds of change."""
    metered_group = MeteredGroup()
    steady_rate = metered_group.run(10.0)
    yield Figure(name="control.bytes_steady", value=steady_rate, how="decisions")
    rates_by_change: dict[str, float] = {}
    metered_group.group.add_upstream(SERVICE, 7)
    rates_by_change["upstream_joins"] = metered_group.run(12.0)
    metered_group.group.stop_entry("e4")
    rates_by_change["entry_stops"] = max(metered_group.run(5.0) for _ in range(2))
    metered_group.group.add_upstream(SERVICE, 2, phase=UpstreamPhase.LEAVING)
    rates_by_change["upstream_leaves"] = max(metered_group.run(5.0) for _ in range(2))
    yield Figure(
        name="control.bytes_change",
        value=max(rates_by_change.values()),
        how="decisions",
    )
    for variant, value in rates_by_change.items():
        yield Figure(
            name="control.bytes_change", value=value, how="decisions", variant=variant
        )
