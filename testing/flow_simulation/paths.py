"""The way of callers' packets through entries to upstreams, and of the answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from chervilstage.state.flow_packets import NUMBER_SPACE
from chervilstage.state.packet_decisions import DropPacket, Forward, ResetFlow
from chervilstage.state.types import Address
from chervilstage.transport.token_relay import HELD_REASONS
from testing.support.token_relays import RelayDriver

from .news import release_held
from .simulation import Entry, FindingKind, HeldPacket, Simulation, Upstream

PATH_SECONDS = 0.001
LATE_SECONDS = 0.8
REORDER_SECONDS = 0.004
# An upstream repeats its answer to an opening packet eight times.
ANSWER_SECONDS = (0.0, 0.2, 0.6, 1.4, 3.0, 4.6, 6.2, 7.8, 9.4)
OPENING_ANSWER_SECONDS = 0.002
SLOW_ANSWER_SECONDS = (0.1, 0.9)
SERVICE_SECONDS = 0.01


class Answer(NamedTuple):
    """A packet of an upstream; ``request`` is what it answers, None the opening."""

    upstream: Upstream
    token: int
    request: Packet | None


class Packet(NamedTuple):
    """A packet of a caller; ``upstream`` is the one whose answer it acknowledges."""

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

    ``opened_at``, ``until`` and ``asked_at`` are in seconds; ``has_route`` tells that
    the newest table had its route when its flow opened.

    :param take: takes the answers of upstreams.
    """

    def __init__(
        self,
        simulation: Simulation,
        *,
        port: int,
        front: Address,
        until: float,
        take: Callable[[Caller, Answer], None],
    ) -> None:
        rng = simulation.rng
        self.port = port
        self.front = front
        self.until = until
        self.take = take
        self.hash = rng.getrandbits(30)
        self.opening = rng.getrandbits(32)
        self.next_byte = (self.opening + 1) % NUMBER_SPACE
        self.acknowledged = rng.getrandbits(32)
        self.token = 0
        self.upstream: Upstream | None = None
        self.asked_at: float | None = None
        self.request_size = 0
        self.is_done = False
        self.opened_at = simulation.timeline.now
        self.has_route = simulation.routes(front)

    def holds_open_flow(self) -> bool:
        """Tell whether its flow is open at an upstream that lives."""
        upstream = self.upstream
        if self.is_done or upstream is None or not upstream.is_alive:
            return False
        return self.port in upstream.open


def counts_flow(simulation: Simulation, caller: Caller) -> bool:
    """Tell whether the rule counts a flow: not if a configuration drops its route."""
    return caller.has_route and simulation.keeps_route(caller.front, caller.opened_at)


def send(simulation: Simulation, packet: Packet) -> None:
    """Send a packet through the entry that the fabric selects now."""
    rng, conditions = simulation.rng, simulation.conditions
    entry = simulation.rotation[packet.caller.hash % len(simulation.rotation)]
    seconds = PATH_SECONDS
    if rng.random() < conditions.delayed:
        seconds += rng.random() * LATE_SECONDS
    if rng.random() < conditions.reordered:
        seconds += rng.random() * REORDER_SECONDS
    simulation.timeline.after(seconds, lambda: _reach_entry(simulation, entry, packet))


def _reach_entry(simulation: Simulation, entry: Entry, packet: Packet) -> None:
    """Relay a packet, or let it wait while the entry stands still."""
    now, driver = simulation.timeline.now, entry.driver
    if driver is None:
        return
    if now >= entry.still_until:
        _relay(simulation, entry, driver, packet, 0.0)
        return
    since = entry.still_since

    def resume() -> None:
        if entry.driver is driver:
            _relay(simulation, entry, driver, packet, simulation.timeline.now - since)

    simulation.timeline.after(entry.still_until - now, resume)


def _relay(
    simulation: Simulation,
    entry: Entry,
    driver: RelayDriver,
    packet: Packet,
    waited: float,
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
        waited=waited,
    )
    after = simulation.timeline.after
    if isinstance(decision, ResetFlow):
        reason = decision.reason
        after(PATH_SECONDS, lambda: _take_reset(simulation, entry, caller, reason))
    elif isinstance(decision, DropPacket) and decision.reason in HELD_REASONS:
        _hold(simulation, entry, driver, packet, waited)
    elif isinstance(decision, DropPacket):
        simulation.counts[f"dropped_{decision.reason}"] += 1
    else:
        after(
            PATH_SECONDS, lambda: _reach_upstream(simulation, entry, packet, decision)
        )
        if decision.has_opened:
            release_held(simulation, entry)


def _hold(
    simulation: Simulation,
    entry: Entry,
    driver: RelayDriver,
    packet: Packet,
    waited: float,
) -> None:
    at = simulation.timeline.now

    def relay() -> None:
        longer = waited + simulation.timeline.now - at
        _relay(simulation, entry, driver, packet, longer)

    entry.held.append(HeldPacket(at=at, relay=relay))


def _take_reset(
    simulation: Simulation, entry: Entry, caller: Caller, reason: str
) -> None:
    if caller.holds_open_flow() and counts_flow(simulation, caller):
        simulation.find(FindingKind.RESET, reason, entry, caller.port)
    caller.is_done = True


def _reach_upstream(
    simulation: Simulation, entry: Entry, packet: Packet, decision: Forward
) -> None:
    """Take a packet as the run at the address does; others than the named ignore it."""
    caller = packet.caller
    upstream = _run_at(simulation, decision.address)
    if not upstream.is_alive:
        return
    token = packet.token if decision.token is None else decision.token
    if packet.is_opening:
        if upstream.label == decision.label:
            _answer_opening(simulation, upstream, caller, token)
        return
    is_stray = upstream is not caller.upstream
    if is_stray and caller.holds_open_flow() and counts_flow(simulation, caller):
        kind = "half open" if caller.port in upstream.half else "unknown"
        simulation.find(FindingKind.STRAYED, kind, entry, caller.port)
    if upstream.label != decision.label:
        return
    if not is_stray and caller.port in upstream.half:
        upstream.open[caller.port] = upstream.half.pop(caller.port)
        caller.opened_at = simulation.timeline.now
        caller.has_route = simulation.routes(caller.front)
        simulation.counts["opened"] += 1
    if caller.port in upstream.open and not is_stray:
        _take_packet(simulation, upstream, packet, token)
    elif not packet.is_ending:
        upstream.half.pop(caller.port, None)
        caller.is_done = True


def _run_at(simulation: Simulation, address: Address) -> Upstream:
    return next(
        upstream
        for upstream in simulation.upstreams.values()
        if upstream.record().identity.address == address
    )


def _answer_opening(
    simulation: Simulation, upstream: Upstream, caller: Caller, token: int
) -> None:
    """Answer an opening packet until the flow opens here."""
    port = caller.port
    if port in upstream.half or port in upstream.open:
        return
    upstream.half[port] = token
    seconds = OPENING_ANSWER_SECONDS
    if simulation.rng.random() < simulation.conditions.slow:
        seconds = simulation.rng.uniform(*SLOW_ANSWER_SECONDS)

    def repeat() -> None:
        if upstream.is_alive and port in upstream.half:
            answer = Answer(upstream=upstream, token=upstream.half[port], request=None)
            caller.take(caller, answer)

    for later in ANSWER_SECONDS:
        simulation.timeline.after(seconds + later, repeat)


def _take_packet(
    simulation: Simulation, upstream: Upstream, packet: Packet, token: int
) -> None:
    caller = packet.caller
    upstream.open[caller.port] = token
    if packet.is_ending:
        del upstream.open[caller.port]
    elif packet.size:
        simulation.timeline.after(
            SERVICE_SECONDS, lambda: _answer_request(upstream, packet)
        )


def _answer_request(upstream: Upstream, packet: Packet) -> None:
    caller = packet.caller
    if upstream.is_alive and caller.port in upstream.open:
        token = upstream.open[caller.port]
        caller.take(caller, Answer(upstream=upstream, token=token, request=packet))
