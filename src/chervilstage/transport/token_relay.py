"""Relays callers' packets to upstreams by flow token."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..coordination.flow_tokens import is_different_upstream
from ..coordination.link_schedule import record_sent, request_deadline, waited_seconds
from ..coordination.relay_directory import expire_upstreams
from ..coordination.token_relay import expire_flows, relay_packet
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

SWEEP_INTERVAL_SECONDS = 1.0
LINK_REPORT_INTERVAL_SECONDS = 5.0
LATENESS_CHECK_INTERVAL_SECONDS = 0.2
# How long a packet that cannot be decided yet stays pending, for example before the
# first routing table; no longer than a caller waits before it repeats a packet.
MAXIMUM_PENDING_SECONDS = 0.3
MAXIMUM_PENDING_PACKETS = 512
DEFERRED_REASONS = frozenset(
    {
        "ahead_of_first",
        "no_routing",
        "no_upstreams_known",
        "routing_behind",
        "unknown_token",
    }
)
# A planned stop may end once no packet has arrived for this time.
DRAIN_IDLE_SECONDS = 0.7
# The fabric sends its packets elsewhere after two unanswered readiness checks.
REROUTE_SECONDS = 1.3


class PacketCodec(NamedTuple):
    """The packet encoding of a front end.

    ``decode`` raises ``MalformedPacketError``. ``forward`` returns the datagram for an
    upstream from the caller's datagram, the upstream's label and the token; a token of
    None keeps the caller's. ``reset`` returns the datagram and its destination from
    the caller, the front-end address and the sequence number of the reset.
    """

    decode: Callable[[bytes], FlowPacket]
    forward: Callable[[bytes, int, int | None], bytes]
    reset: Callable[[Endpoint, Endpoint, int], tuple[bytes, tuple[str, int]]]


class ReceivedDatagram(NamedTuple):
    """A datagram, when it was read, and how long it may have waited before that.

    ``waited_seconds`` is an upper bound on its time in the receive buffer.
    """

    data: bytes
    read_at: float
    waited_seconds: float


class TokenRelay:
    """The relay of callers' packets on one datagram socket.

    :param address: the address that the fabric sends callers' packets to.
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
        self.pending: deque[ReceivedDatagram] = deque(maxlen=MAXIMUM_PENDING_PACKETS)
        self.received_at = replica_clock()
        self.sock = open_datagram_socket(*address)
        self.sender = PacedSender(
            link=state.link,
            queue=state.link.queue,
            send_queued=self.send_queued,
            counters=counters,
        )
        self.arrivals = ArrivalBound(
            now=self.received_at, buffer_bytes=RECEIVE_BUFFER_BYTES
        )

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Relay one datagram."""
        now = replica_clock()
        self.received_at = now
        waited = self.arrivals.record_read(len(data), now)
        try:
            packet = self.codec.decode(data)
        except ChervilstageError as error:
            self.counters.add("packets_refused", error.code)
            self.log.log_refused_packet(sender, error, now)
            return
        datagram = ReceivedDatagram(data=data, read_at=now, waited_seconds=waited)
        self.relay(datagram, packet, now)

    def relay(self, datagram: ReceivedDatagram, packet: FlowPacket, now: float) -> None:
        """Carry out the decision on a packet, or defer it until it can be decided."""
        waited = datagram.waited_seconds + now - datagram.read_at
        decision = relay_packet(self.state, packet, now, self.rng, waited)
        if isinstance(decision, Forward):
            self.forward(datagram, packet, decision, now)
        elif isinstance(decision, ResetFlow):
            self.reset(packet.caller, packet.front, decision, now)
        elif decision.reason in DEFERRED_REASONS:
            self.defer(datagram)
            return
        else:
            self.counters.add("packets_dropped", decision.reason)
        self.record_decision(packet, decision, now)
        if isinstance(decision, Forward) and decision.has_opened and self.pending:
            self.retry_pending()

    def forward(
        self,
        datagram: ReceivedDatagram,
        packet: FlowPacket,
        decision: Forward,
        now: float,
    ) -> None:
        """Send a packet to its upstream, or queue it until the link has room."""
        encoded = self.codec.forward(datagram.data, decision.label, decision.token)
        waited = datagram.waited_seconds + now - datagram.read_at
        if self.sender.has_room(now):
            self.send(encoded, decision.address, packet, now, waited)
            return
        key = packet.caller + packet.front
        self.sender.enqueue(
            QueuedPacket(
                flow=key,
                datagram=encoded,
                address=decision.address,
                queued_at=now,
                waited_seconds=waited,
                due_at=request_deadline(self.state, key, packet),
                packet=packet,
            )
        )

    def send_queued(self, queued: QueuedPacket, now: float) -> None:
        """Send a packet that was queued for the link."""
        assert queued.packet is not None
        waited = waited_seconds(queued, now)
        self.state.link.record_wait(now - queued.queued_at)
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
            self.state.link.record_sent(len(data), now)
            record_sent(self.state, packet, now, waited)
        else:
            self.counters.add("packets_unsent", "upstream")

    def defer(self, datagram: ReceivedDatagram) -> None:
        """Store a datagram for a later attempt; a full buffer drops the oldest one."""
        if len(self.pending) == MAXIMUM_PENDING_PACKETS:
            self.counters.add("packets_dropped", "hold_buffer_full")
        self.pending.append(datagram)

    def reset(
        self, caller: Endpoint, front: Endpoint, decision: ResetFlow, now: float
    ) -> None:
        """Send a reset to a caller whose flow is closed."""
        encoded, to = self.codec.reset(caller, front, decision.sequence)
        if send_datagram(self.sock, encoded, to):
            self.state.link.record_sent(len(encoded), now)
        else:
            self.counters.add("packets_unsent", "caller")
        self.counters.add("flows_reset", decision.reason)

    def record_decision(
        self, packet: FlowPacket, decision: Forward | ResetFlow | DropPacket, now: float
    ) -> None:
        """Count a decision, and log it if it opens, closes or moves a flow."""
        if isinstance(decision, ResetFlow):
            self.log.log_decision(self.state, packet, decision, now)
        elif packet.is_opening:
            self.counters.add("opening_packets", type(decision).__name__)
            self.log.log_decision(self.state, packet, decision, now)
        elif isinstance(decision, Forward):
            self.record_move(packet, decision, now)

    def record_move(self, packet: FlowPacket, decision: Forward, now: float) -> None:
        """Count a replaced token, and log a flow that has moved."""
        is_other_upstream = False
        if decision.token is not None:
            is_other_upstream = is_different_upstream(packet.token, decision.token)
            kind = "other_upstream" if is_other_upstream else "provisional"
            self.counters.add("tokens_replaced", kind)
        if decision.is_found or is_other_upstream:
            self.log.log_move(self.state, packet, decision, now)

    def retry_pending(self) -> None:
        """Relay the pending packets; those that cannot be decided yet stay pending.

        Packets that have waited too long are dropped.
        """
        now = replica_clock()
        for pending_datagram in [
            self.pending.popleft() for _ in range(len(self.pending))
        ]:
            if now - pending_datagram.read_at > MAXIMUM_PENDING_SECONDS:
                self.counters.add("packets_dropped", "held_too_long")
            else:
                packet = self.codec.decode(pending_datagram.data)
                self.relay(pending_datagram, packet, now)

    async def measure_lateness(self) -> None:
        """Measure the lateness of timers until cancelled."""
        while True:
            started = replica_clock()
            due = started + LATENESS_CHECK_INTERVAL_SECONDS
            await anyio.sleep(LATENESS_CHECK_INTERVAL_SECONDS)
            now = replica_clock()
            self.log.lateness.record_delay(due, now)
            if now - due < STALL_SECONDS and self.received_at < started:
                # The event loop ran on time and found nothing to read.
                self.arrivals.record_drained(now)
            else:
                self.arrivals.record_timer(due, now)

    def on_socket_drained(self) -> None:
        """Record that the receive buffer of the socket is empty."""
        self.arrivals.record_drained(replica_clock())

    async def sweep(self) -> None:
        """Remove expired flows and upstreams until cancelled."""
        while True:
            await anyio.sleep(SWEEP_INTERVAL_SECONDS)
            now = replica_clock()
            expire_flows(self.state, now)
            expire_upstreams(self.state, now)
            self.retry_pending()
            self.log.flush()

    async def report_link(self) -> None:
        """Count and log what was sent, every few seconds until cancelled."""
        while True:
            started = replica_clock()
            await anyio.sleep(LINK_REPORT_INTERVAL_SECONDS)
            traffic = self.state.link.pop_traffic()
            repeated = traffic.repeated_packets
            self.counters.add("data_packets", "repeated", repeated)
            self.counters.add("data_packets", "first", traffic.data_packets - repeated)
            self.counters.add("sent_bytes", count=traffic.bytes)
            if traffic.packets:
                self.log.log_link_load(self.state, traffic, replica_clock() - started)

    async def start(self, group: TaskGroup) -> None:
        """Start relaying."""
        group.start_soon(
            receive_datagrams, self.sock, self.receive, self.on_socket_drained
        )
        group.start_soon(self.sweep)
        group.start_soon(self.measure_lateness)
        group.start_soon(self.report_link)
        group.start_soon(self.sender.run)

    async def drain(self) -> None:
        """Continue to relay until the fabric sends its packets elsewhere."""
        await anyio.sleep(REROUTE_SECONDS)
        while True:
            idle_seconds = replica_clock() - self.received_at
            if idle_seconds >= DRAIN_IDLE_SECONDS:
                break
            await anyio.sleep(DRAIN_IDLE_SECONDS - idle_seconds)
        await self.sender.wait_until_sent()

    async def stop(self) -> None:
        """Close the socket."""
        self.log.flush()
        self.sock.close()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(
            name="token_relay", start=self.start, drain=self.drain, stop=self.stop
        )
