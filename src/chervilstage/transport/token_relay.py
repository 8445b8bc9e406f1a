"""Relays the packets of callers to upstreams by flow token."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..coordination.flow_tokens import names_another
from ..coordination.link_schedule import due_at, note_sent, waited_seconds
from ..coordination.relay_directory import forget_old
from ..coordination.token_relay import relay_packet, sweep_flows
from ..errors import ChervilstageError
from ..state.counters import Counters
from ..state.flow_packets import FlowPacket
from ..state.link_queue import QueuedPacket
from ..state.packet_decisions import DropPacket, Forward, ResetFlow
from ..state.routing import Endpoint
from ..state.token_flows import TokenRelayState
from ..state.types import Address
from .application import Hooks
from .arrival_bound import STALL_SECONDS, ArrivalBound
from .clock import replica_clock
from .datagrams import (
    RECEIVE_BUFFER_BYTES,
    open_datagram_socket,
    receive_datagrams,
    send_datagram,
)
from .paced_sender import PacedSender
from .relay_log import RelayLog

SWEEP_SECONDS = 1.0
LINK_REPORT_SECONDS = 5.0
LATENESS_CHECK_SECONDS = 0.2
# What arrives before the first directory waits for it, no longer than a caller waits
# before it repeats a packet.
HELD_SECONDS = 0.3
HELD_PACKETS = 512
HELD_REASONS = frozenset(
    {
        "ahead_of_first",
        "no_routing",
        "no_upstreams_known",
        "routing_behind",
        "unknown_token",
    }
)
# A planned stop may end once no packet has come for this long.
QUIET_SECONDS = 0.7
# The fabric needs two unanswered readiness checks to send its packets elsewhere.
ROTATION_SECONDS = 1.3


class PacketCodec(NamedTuple):
    """How a front end encodes packets.

    ``decode`` raises ``MalformedPacketError``. ``forward`` returns the datagram for an
    upstream from the caller's datagram, the label and the token, None to keep the
    caller's. ``reset`` returns the datagram and its destination from the caller, the
    front-end address and the sequence to give.
    """

    decode: Callable[[bytes], FlowPacket]
    forward: Callable[[bytes, int, int | None], bytes]
    reset: Callable[[Endpoint, Endpoint, int], tuple[bytes, tuple[str, int]]]


class ReceivedDatagram(NamedTuple):
    """A datagram, when it was read, and how long it may have waited before."""

    data: bytes
    read_at: float
    waited_seconds: float


class TokenRelay:
    """The datagram socket of callers' packets.

    :param address: where the fabric sends callers' packets.
    """

    def __init__(
        self,
        *,
        address: Address,
        state: TokenRelayState,
        codec: PacketCodec,
        counters: Counters,
    ) -> None:
        self.state = state
        self.codec = codec
        self.counters = counters
        self.rng = Random()
        self.log = RelayLog(counters=counters)
        self.held: deque[ReceivedDatagram] = deque(maxlen=HELD_PACKETS)
        self.received_at = replica_clock()
        self.sock = open_datagram_socket(*address)
        self.sender = PacedSender(
            link=state.link, queue=state.link.queue, give=self.give, counters=counters
        )
        self.arrivals = ArrivalBound(
            now=self.received_at, buffer_bytes=RECEIVE_BUFFER_BYTES
        )

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Relay one datagram."""
        now = replica_clock()
        self.received_at = now
        waited = self.arrivals.note_read(len(data), now)
        try:
            packet = self.codec.decode(data)
        except ChervilstageError as error:
            self.counters.add("packets_refused", error.code)
            self.log.refused(sender, error, now)
            return
        datagram = ReceivedDatagram(data=data, read_at=now, waited_seconds=waited)
        self.relay(datagram, packet, now)

    def relay(self, datagram: ReceivedDatagram, packet: FlowPacket, now: float) -> None:
        """Carry out the decision on a packet, or hold it for what it lacks."""
        waited = datagram.waited_seconds + now - datagram.read_at
        decision = relay_packet(self.state, packet, now, self.rng, waited)
        if isinstance(decision, Forward):
            self.forward(datagram, packet, decision, now)
        elif isinstance(decision, ResetFlow):
            self.reset(packet.caller, packet.front, decision, now)
        elif decision.reason in HELD_REASONS:
            self.hold(datagram)
            return
        else:
            self.counters.add("packets_dropped", decision.reason)
        self.note(packet, decision, now)
        if isinstance(decision, Forward) and decision.has_opened and self.held:
            self.release_held()

    def forward(
        self,
        datagram: ReceivedDatagram,
        packet: FlowPacket,
        decision: Forward,
        now: float,
    ) -> None:
        """Send a packet on to its upstream."""
        out = self.codec.forward(datagram.data, decision.label, decision.token)
        waited = datagram.waited_seconds + now - datagram.read_at
        if self.sender.has_room(now):
            self.send(out, decision.address, packet, now, waited)
            return
        key = packet.caller + packet.front
        self.sender.keep(
            QueuedPacket(
                flow=key,
                datagram=out,
                address=decision.address,
                queued_at=now,
                waited=waited,
                due_at=due_at(self.state, key, packet),
                packet=packet,
            )
        )

    def give(self, queued: QueuedPacket, now: float) -> None:
        """Send a packet that has waited for the link."""
        assert queued.packet is not None
        waited = waited_seconds(queued, now)
        self.state.link.note_wait(now - queued.queued_at)
        self.send(queued.datagram, queued.address, queued.packet, now, waited)

    def send(
        self,
        data: bytes,
        to: tuple[str, int],
        packet: FlowPacket,
        now: float,
        waited: float,
    ) -> None:
        """Send a datagram to an upstream.

        :param packet: the caller's packet in it.
        :param waited: the seconds that the packet may have waited here.
        """
        if send_datagram(self.sock, data, to):
            self.state.link.give(len(data), now)
            note_sent(self.state, packet, now, waited)
        else:
            self.counters.add("packets_unsent", "upstream")

    def hold(self, datagram: ReceivedDatagram) -> None:
        """Keep a datagram for a moment; the oldest one gives way."""
        if len(self.held) == HELD_PACKETS:
            self.counters.add("packets_dropped", "hold_buffer_full")
        self.held.append(datagram)

    def reset(
        self, caller: Endpoint, front: Endpoint, decision: ResetFlow, now: float
    ) -> None:
        """Tell a caller that its flow is closed."""
        out, to = self.codec.reset(caller, front, decision.sequence)
        if send_datagram(self.sock, out, to):
            self.state.link.give(len(out), now)
        else:
            self.counters.add("packets_unsent", "caller")
        self.counters.add("flows_reset", decision.reason)

    def note(
        self, packet: FlowPacket, decision: Forward | ResetFlow | DropPacket, now: float
    ) -> None:
        """Count a decision and log those that settle or move a flow."""
        if isinstance(decision, ResetFlow):
            self.log.decided(self.state, packet, decision, now)
        elif packet.is_opening:
            self.counters.add("opening_packets", type(decision).__name__)
            self.log.decided(self.state, packet, decision, now)
        elif isinstance(decision, Forward):
            self.note_move(packet, decision, now)

    def note_move(self, packet: FlowPacket, decision: Forward, now: float) -> None:
        """Count a token that is replaced, and log that a flow has moved."""
        is_other = False
        if decision.token is not None:
            is_other = names_another(packet.token, decision.token)
            kind = "other_upstream" if is_other else "provisional"
            self.counters.add("tokens_replaced", kind)
        if decision.is_found or is_other:
            self.log.moved(self.state, packet, decision, now)

    def release_held(self) -> None:
        """Relay the packets that waited, unless what they lack is not there yet.

        Those that have waited too long are dropped.
        """
        now = replica_clock()
        for held in [self.held.popleft() for _ in range(len(self.held))]:
            if now - held.read_at > HELD_SECONDS:
                self.counters.add("packets_dropped", "held_too_long")
            else:
                packet = self.codec.decode(held.data)
                self.relay(held, packet, now)

    async def watch_lateness(self) -> None:
        """Note how late timers run until cancelled."""
        while True:
            started = replica_clock()
            due = started + LATENESS_CHECK_SECONDS
            await anyio.sleep(LATENESS_CHECK_SECONDS)
            now = replica_clock()
            self.log.lateness.note(due, now)
            if now - due < STALL_SECONDS and self.received_at < started:
                # The loop ran on time and found nothing to read.
                self.arrivals.note_drained(now)
            else:
                self.arrivals.note_timer(due, now)

    def note_drained(self) -> None:
        """Take note that no datagram waits in the socket."""
        self.arrivals.note_drained(replica_clock())

    async def sweep(self) -> None:
        """Forget old flows and upstreams until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = replica_clock()
            sweep_flows(self.state, now)
            forget_old(self.state, now)
            self.release_held()
            self.log.flush()

    async def report_link(self) -> None:
        """Count and log what was sent, every few seconds until cancelled."""
        while True:
            started = replica_clock()
            await anyio.sleep(LINK_REPORT_SECONDS)
            traffic = self.state.link.take_traffic()
            repeated = traffic.repeated_packets
            self.counters.add("data_packets", "repeated", repeated)
            self.counters.add("data_packets", "first", traffic.data_packets - repeated)
            self.counters.add("sent_bytes", count=traffic.bytes)
            if traffic.packets:
                self.log.sent(self.state, traffic, replica_clock() - started)

    async def start(self, group: TaskGroup) -> None:
        """Begin to relay."""
        group.start_soon(receive_datagrams, self.sock, self.receive, self.note_drained)
        group.start_soon(self.sweep)
        group.start_soon(self.watch_lateness)
        group.start_soon(self.report_link)
        group.start_soon(self.sender.run)

    async def drain(self) -> None:
        """Relay on until the fabric sends its packets elsewhere."""
        await anyio.sleep(ROTATION_SECONDS)
        while True:
            quiet = replica_clock() - self.received_at
            if quiet >= QUIET_SECONDS:
                break
            await anyio.sleep(QUIET_SECONDS - quiet)
        await self.sender.finish()

    async def stop(self) -> None:
        """Close the socket."""
        self.log.flush()
        self.sock.close()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(
            name="token_relay", start=self.start, drain=self.drain, stop=self.stop
        )
