"""Delivery of callers' packets through entries to upstreams, and of the answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from chervilstage.state.flow_packets import SEQUENCE_SPACE
from chervilstage.state.packet_decisions import DropPacket, Forward, ResetFlow
from chervilstage.state.types import Address
from chervilstage.transport.token_relay import DEFERRED_REASONS
from testing.support.token_relays import RelayDriver

from .control_updates import retry_pending_packets
from .simulation import Entry, FindingKind, PendingPacket, Simulation, Upstream

PATH_DELAY_SECONDS = 0.001
MAX_EXTRA_DELAY_SECONDS = 0.8
MAX_REORDER_DELAY_SECONDS = 0.004
# An upstream repeats its answer to an opening packet eight times.
ANSWER_OFFSETS_SECONDS = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4)
OPENING_ANSWER_DELAY_SECONDS = 0.002
SLOW_ANSWER_DELAYS_SECONDS = (0.1, 0.9)
SERVICE_TIME_SECONDS = 0.01


class Answer(NamedTuple):
    """A packet of an upstream; ``request`` is None if it answers an opening packet."""

    upstream: Upstream
    token: int
    request: Packet | None


class Packet(NamedTuple):
    """A packet of a caller; ``upstream`` is the one whose answer it acknowledges.

    ``copy`` numbers the copies of an opening packet from 0; ``size`` is in bytes.
    """

    caller: Caller
    upstream: Upstream | None
    token: int
    sequence: int
    acknowledged: int
    size: int = 0
    copy: int = 0
    is_opening: bool = False
    is_ending: bool = False


class Caller:
    """A caller that opens one flow, and what it has sent and received.

    ``opened_at``, ``closes_at`` and ``requested_at`` are in seconds. ``has_route`` says
    whether the newest table had its route when its flow opened. The fabric selects an
    entry by ``hash``.

    :param on_answer: called with each answer of an upstream.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        port: int,
        front: Address,
        closes_at: float,
        on_answer: Callable[[Caller, Answer], None],
    ) -> None:
        rng = simulation.rng
        self.port = port
        self.front = front
        self.closes_at = closes_at
        self.on_answer = on_answer
        self.hash = rng.getrandbits(30)
        self.initial_sequence = rng.getrandbits(32)
        self.next_byte = (self.initial_sequence + 1) % SEQUENCE_SPACE
        self.acknowledged = rng.getrandbits(32)
        self.token = 0
        self.upstream: Upstream | None = None
        self.requested_at: float | None = None
        self.request_size = 0
        self.is_done = False
        self.opened_at = simulation.timeline.now
        self.has_route = simulation.has_route(front)

    def has_open_flow(self) -> bool:
        """Return whether its flow is open at an upstream that is alive."""
        upstream = self.upstream
        if self.is_done or upstream is None or not upstream.is_alive:
            return False
        return self.port in upstream.open_tokens


def is_flow_counted(simulation: Simulation, caller: Caller) -> bool:
    """Return whether the FLOW rule applies: the route stayed since the flow opened."""
    return caller.has_route and simulation.has_kept_route(
        caller.front, caller.opened_at
    )


def send(simulation: Simulation, packet: Packet) -> None:
    """Send a packet through the entry that the fabric selects now."""
    rng, conditions = simulation.rng, simulation.conditions
    entry = simulation.rotation[packet.caller.hash % len(simulation.rotation)]
    seconds = PATH_DELAY_SECONDS
    if rng.random() < conditions.delayed:
        seconds += rng.random() * MAX_EXTRA_DELAY_SECONDS
    if rng.random() < conditions.reordered:
        seconds += rng.random() * MAX_REORDER_DELAY_SECONDS
    simulation.timeline.call_later(
        seconds, lambda: _deliver_to_entry(simulation, entry, packet)
    )


def _deliver_to_entry(simulation: Simulation, entry: Entry, packet: Packet) -> None:
    """Relay a packet, once the entry is no longer paused."""
    now, driver = simulation.timeline.now, entry.driver
    if driver is None:
        return
    if now >= entry.paused_until:
        _relay_packet(simulation, entry, driver, packet, 0.0)
        return
    since = entry.paused_since

    def resume() -> None:
        if entry.driver is driver:
            _relay_packet(
                simulation, entry, driver, packet, simulation.timeline.now - since
            )

    simulation.timeline.call_later(entry.paused_until - now, resume)


def _relay_packet(
    simulation: Simulation,
    entry: Entry,
    driver: RelayDriver,
    packet: Packet,
    waited_seconds: float,
) -> None:
    driver.now = simulation.timeline.now
    caller = packet.caller
    decision = driver.send(
        caller.port,
        opening=packet.is_opening,
        ending=packet.is_ending,
        token=packet.token,
        sequence=packet.sequence,
        acknowledged=packet.acknowledged,
        size=packet.size,
        front=caller.front,
        copy=packet.copy,
        waited=waited_seconds,
    )
    after = simulation.timeline.call_later
    if isinstance(decision, ResetFlow):
        reason = decision.reason
        after(
            PATH_DELAY_SECONDS, lambda: _handle_reset(simulation, entry, caller, reason)
        )
    elif isinstance(decision, DropPacket) and decision.reason in DEFERRED_REASONS:
        _defer_packet(simulation, entry, driver, packet, waited_seconds)
    elif isinstance(decision, DropPacket):
        simulation.counts[f"dropped_{decision.reason}"] += 1
    else:
        after(
            PATH_DELAY_SECONDS,
            lambda: _deliver_to_upstream(simulation, entry, packet, decision),
        )
        if decision.has_opened:
            retry_pending_packets(simulation, entry)


def _defer_packet(
    simulation: Simulation,
    entry: Entry,
    driver: RelayDriver,
    packet: Packet,
    waited_seconds: float,
) -> None:
    pending_since = simulation.timeline.now

    def relay() -> None:
        total_seconds = waited_seconds + simulation.timeline.now - pending_since
        _relay_packet(simulation, entry, driver, packet, total_seconds)

    entry.pending_packets.append(
        PendingPacket(pending_since=pending_since, relay=relay)
    )


def _handle_reset(
    simulation: Simulation, entry: Entry, caller: Caller, reason: str
) -> None:
    if caller.has_open_flow() and is_flow_counted(simulation, caller):
        simulation.record_finding(FindingKind.RESET, reason, entry, caller.port)
    caller.is_done = True


def _deliver_to_upstream(
    simulation: Simulation, entry: Entry, packet: Packet, decision: Forward
) -> None:
    """Handle a packet at the upstream that has the chosen address now.

    The upstream ignores a packet that is addressed to another label.
    """
    caller = packet.caller
    upstream = _upstream_at(simulation, decision.address)
    if not upstream.is_alive:
        return
    token = packet.token if decision.token is None else decision.token
    if packet.is_opening:
        if upstream.label == decision.label:
            _answer_opening(simulation, upstream, caller, token)
        return
    is_wrong_upstream = upstream is not caller.upstream
    if (
        is_wrong_upstream
        and caller.has_open_flow()
        and is_flow_counted(simulation, caller)
    ):
        kind = "half open" if caller.port in upstream.half_open_tokens else "unknown"
        simulation.record_finding(FindingKind.WRONG_UPSTREAM, kind, entry, caller.port)
    if upstream.label != decision.label:
        return
    if not is_wrong_upstream and caller.port in upstream.half_open_tokens:
        upstream.open_tokens[caller.port] = upstream.half_open_tokens.pop(caller.port)
        caller.opened_at = simulation.timeline.now
        caller.has_route = simulation.has_route(caller.front)
        simulation.counts["opened"] += 1
    if caller.port in upstream.open_tokens and not is_wrong_upstream:
        _accept_packet(simulation, upstream, packet, token)
    elif not packet.is_ending:
        upstream.half_open_tokens.pop(caller.port, None)
        caller.is_done = True


def _upstream_at(simulation: Simulation, address: Address) -> Upstream:
    return next(
        upstream
        for upstream in simulation.upstreams.values()
        if upstream.current_record().identity.address == address
    )


def _answer_opening(
    simulation: Simulation, upstream: Upstream, caller: Caller, token: int
) -> None:
    """Answer an opening packet, and repeat the answer until the flow opens here."""
    port = caller.port
    if port in upstream.half_open_tokens or port in upstream.open_tokens:
        return
    upstream.half_open_tokens[port] = token
    seconds = OPENING_ANSWER_DELAY_SECONDS
    if simulation.rng.random() < simulation.conditions.slow:
        seconds = simulation.rng.uniform(*SLOW_ANSWER_DELAYS_SECONDS)

    def send_answer() -> None:
        if upstream.is_alive and port in upstream.half_open_tokens:
            answer = Answer(
                upstream=upstream, token=upstream.half_open_tokens[port], request=None
            )
            caller.on_answer(caller, answer)

    for offset in ANSWER_OFFSETS_SECONDS:
        simulation.timeline.call_later(seconds + offset, send_answer)


def _accept_packet(
    simulation: Simulation, upstream: Upstream, packet: Packet, token: int
) -> None:
    caller = packet.caller
    upstream.open_tokens[caller.port] = token
    if packet.is_ending:
        del upstream.open_tokens[caller.port]
    elif packet.size:
        simulation.timeline.call_later(
            SERVICE_TIME_SECONDS, lambda: _answer_request(upstream, packet)
        )


def _answer_request(upstream: Upstream, packet: Packet) -> None:
    caller = packet.caller
    if upstream.is_alive and caller.port in upstream.open_tokens:
        token = upstream.open_tokens[caller.port]
        caller.on_answer(caller, Answer(upstream=upstream, token=token, request=packet))
