"""Relays the packets of callers to upstreams by flow token."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..coordination.flow_tokens import is_provisional
from ..coordination.relay_directory import forget_old
from ..coordination.token_relay import relay_packet, sweep_flows
from ..errors import ChervilstageError
from ..state.counters import Counters
from ..state.flow_packets import DropPacket, FlowPacket, Forward, ResetFlow
from ..state.routing import Endpoint
from ..state.token_flows import TokenRelayState
from ..state.types import Address
from .application import Hooks
from .clock import replica_clock
from .datagrams import open_datagram_socket, receive_datagrams, send_datagram
from .relay_log import RelayLog

SWEEP_SECONDS = 1.0
LATENESS_CHECK_SECONDS = 0.2
# What arrives before the first directory waits for it, no longer than a caller waits
# before it repeats a packet.
HELD_SECONDS = 0.3
HELD_PACKETS = 512
HELD_REASONS = frozenset(
    {"no_routing", "no_upstreams_known", "routing_behind", "unknown_token"}
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


class HeldDatagram(NamedTuple):
    """A datagram that waits for the directory, and when it came."""

    data: bytes
    at: float


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
        self.held: deque[HeldDatagram] = deque(maxlen=HELD_PACKETS)
        self.received_at = replica_clock()
        self.sock = open_datagram_socket(*address)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Relay one datagram."""
        now = replica_clock()
        self.received_at = now
        try:
            packet = self.codec.decode(data)
        except ChervilstageError as error:
            self.counters.add("packets_refused", error.code)
            self.log.refused(sender, error, now)
            return
        self.relay(data, packet, now, received_at=now)

    def relay(
        self, data: bytes, packet: FlowPacket, now: float, received_at: float
    ) -> None:
        """Carry out the decision on a packet, or hold it for what it lacks."""
        decision = relay_packet(self.state, packet, now, self.rng)
        if isinstance(decision, Forward):
            if decision.token is not None and not packet.is_opening:
                kind = "provisional" if is_provisional(packet.token) else "plain"
                self.counters.add("tokens_replaced", kind)
            out = self.codec.forward(data, decision.label, decision.token)
            if not send_datagram(self.sock, out, decision.address):
                self.counters.add("packets_unsent", "upstream")
        elif isinstance(decision, ResetFlow):
            self.reset(packet.caller, packet.front, decision)
        elif decision.reason in HELD_REASONS:
            self.hold(HeldDatagram(data=data, at=received_at))
            return
        else:
            self.counters.add("packets_dropped", decision.reason)
        self.note(packet, decision, now)

    def hold(self, datagram: HeldDatagram) -> None:
        """Keep a datagram for a moment; the oldest one gives way."""
        if len(self.held) == HELD_PACKETS:
            self.counters.add("packets_dropped", "hold_buffer_full")
        self.held.append(datagram)

    def reset(self, caller: Endpoint, front: Endpoint, decision: ResetFlow) -> None:
        """Tell a caller that its flow is closed."""
        out, to = self.codec.reset(caller, front, decision.sequence)
        if not send_datagram(self.sock, out, to):
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
        elif isinstance(decision, Forward) and (
            decision.is_found or decision.token is not None
        ):
            self.log.moved(self.state, packet, decision, now)

    def release_held(self) -> None:
        """Relay the packets that waited, unless what they lack is not there yet.

        Those that have waited too long are dropped.
        """
        now = replica_clock()
        for held in [self.held.popleft() for _ in range(len(self.held))]:
            if now - held.at > HELD_SECONDS:
                self.counters.add("packets_dropped", "held_too_long")
            else:
                packet = self.codec.decode(held.data)
                self.relay(held.data, packet, now, received_at=held.at)

    async def watch_lateness(self) -> None:
        """Note how late timers run until cancelled."""
        while True:
            due = replica_clock() + LATENESS_CHECK_SECONDS
            await anyio.sleep(LATENESS_CHECK_SECONDS)
            self.log.lateness.note(due, replica_clock())

    async def sweep(self) -> None:
        """Forget old flows and upstreams until cancelled."""
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = replica_clock()
            sweep_flows(self.state, now)
            forget_old(self.state, now)
            self.release_held()
            self.log.flush()

    async def start(self, group: TaskGroup) -> None:
        """Begin to relay."""
        group.start_soon(receive_datagrams, self.sock, self.receive)
        group.start_soon(self.sweep)
        group.start_soon(self.watch_lateness)

    async def drain(self) -> None:
        """Relay on until the fabric sends its packets elsewhere."""
        await anyio.sleep(ROTATION_SECONDS)
        while True:
            quiet = replica_clock() - self.received_at
            if quiet >= QUIET_SECONDS:
                return
            await anyio.sleep(QUIET_SECONDS - quiet)

    async def stop(self) -> None:
        """Close the socket."""
        self.log.flush()
        self.sock.close()

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(
            name="token_relay", start=self.start, drain=self.drain, stop=self.stop
        )
