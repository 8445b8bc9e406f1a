"""The way of callers' packets through entries to upstreams, and of the answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from chervilstage.state.flow_packets import (
    NUMBER_SPACE,
    DropPacket,
    Forward,
    ResetFlow,
)
from chervilstage.state.types import Address
from chervilstage.transport.token_relay import HELD_REASONS
from testing.support.token_relays import RelayDriver

from .world import Entry, FindingKind, HeldPacket, Upstream, World

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
        world: World,
        *,
        port: int,
        front: Address,
        until: float,
        take: Callable[[Caller, Answer], None],
    ) -> None:
        rng = world.rng
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
        self.opened_at = world.timeline.now
        self.has_route = world.routes(front)

    def holds_open_flow(self) -> bool:
        """Tell whether its flow is open at an upstream that lives."""
        upstream = self.upstream
        if self.is_done or upstream is None or not upstream.is_alive:
            return False
        return self.port in upstream.open


def counts_flow(world: World, caller: Caller) -> bool:
    """Tell whether the rule counts a flow: not if a configuration drops its route."""
    return caller.has_route and world.keeps_route(caller.front, caller.opened_at)


def send(world: World, packet: Packet) -> None:
    """Send a packet through the entry that the fabric selects now."""
    rng, conditions = world.rng, world.conditions
    entry = world.rotation[packet.caller.hash % len(world.rotation)]
    seconds = PATH_SECONDS
    if rng.random() < conditions.delayed:
        seconds += rng.random() * LATE_SECONDS
    if rng.random() < conditions.reordered:
        seconds += rng.random() * REORDER_SECONDS
    world.timeline.after(seconds, lambda: _reach_entry(world, entry, packet))


def _reach_entry(world: World, entry: Entry, packet: Packet) -> None:
    """Relay a packet, or let it wait while the entry stands still."""
    now, driver = world.timeline.now, entry.driver
    if driver is None:
        return
    if now >= entry.still_until:
        _relay(world, entry, driver, packet, 0.0)
        return
    since = entry.still_since

    def resume() -> None:
        if entry.driver is driver:
            _relay(world, entry, driver, packet, world.timeline.now - since)

    world.timeline.after(entry.still_until - now, resume)


def _relay(
    world: World, entry: Entry, driver: RelayDriver, packet: Packet, waited: float
) -> None:
    driver.now = world.timeline.now
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
    after = world.timeline.after
    if isinstance(decision, ResetFlow):
        reason = decision.reason
        after(PATH_SECONDS, lambda: _take_reset(world, entry, caller, reason))
    elif isinstance(decision, DropPacket) and decision.reason in HELD_REASONS:
        _hold(world, entry, driver, packet, waited)
    elif isinstance(decision, DropPacket):
        world.counts[f"dropped_{decision.reason}"] += 1
    else:
        after(PATH_SECONDS, lambda: _reach_upstream(world, entry, packet, decision))


def _hold(
    world: World, entry: Entry, driver: RelayDriver, packet: Packet, waited: float
) -> None:
    at = world.timeline.now

    def relay() -> None:
        longer = waited + world.timeline.now - at
        _relay(world, entry, driver, packet, longer)

    entry.held.append(HeldPacket(at=at, relay=relay))


def _take_reset(world: World, entry: Entry, caller: Caller, reason: str) -> None:
    if caller.holds_open_flow() and counts_flow(world, caller):
        world.find(FindingKind.RESET, reason, entry, caller.port)
    caller.is_done = True


def _reach_upstream(
    world: World, entry: Entry, packet: Packet, decision: Forward
) -> None:
    """Take a packet as the run at the address does; others than the named ignore it."""
    caller = packet.caller
    upstream = _run_at(world, decision.address)
    if not upstream.is_alive:
        return
    token = packet.token if decision.token is None else decision.token
    if packet.is_opening:
        if upstream.label == decision.label:
            _answer_opening(world, upstream, caller, token)
        return
    is_stray = upstream is not caller.upstream
    if is_stray and caller.holds_open_flow() and counts_flow(world, caller):
        kind = "half open" if caller.port in upstream.half else "unknown"
        world.find(FindingKind.STRAYED, kind, entry, caller.port)
    if upstream.label != decision.label:
        return
    if not is_stray and caller.port in upstream.half:
        upstream.open[caller.port] = upstream.half.pop(caller.port)
        caller.opened_at = world.timeline.now
        caller.has_route = world.routes(caller.front)
        world.counts["opened"] += 1
    if caller.port in upstream.open and not is_stray:
        _take_packet(world, upstream, packet, token)
    elif not packet.is_ending:
        upstream.half.pop(caller.port, None)
        caller.is_done = True


def _run_at(world: World, address: Address) -> Upstream:
    return next(
        upstream
        for upstream in world.upstreams.values()
        if upstream.record().identity.address == address
    )


def _answer_opening(
    world: World, upstream: Upstream, caller: Caller, token: int
) -> None:
    """Answer an opening packet until the flow opens here."""
    port = caller.port
    if port in upstream.half or port in upstream.open:
        return
    upstream.half[port] = token
    seconds = OPENING_ANSWER_SECONDS
    if world.rng.random() < world.conditions.slow:
        seconds = world.rng.uniform(*SLOW_ANSWER_SECONDS)

    def repeat() -> None:
        if upstream.is_alive and port in upstream.half:
            answer = Answer(upstream=upstream, token=upstream.half[port], request=None)
            caller.take(caller, answer)

    for later in ANSWER_SECONDS:
        world.timeline.after(seconds + later, repeat)


def _take_packet(world: World, upstream: Upstream, packet: Packet, token: int) -> None:
    caller = packet.caller
    upstream.open[caller.port] = token
    if packet.is_ending:
        del upstream.open[caller.port]
    elif packet.size:
        world.timeline.after(SERVICE_SECONDS, lambda: _answer_request(upstream, packet))


def _answer_request(upstream: Upstream, packet: Packet) -> None:
    caller = packet.caller
    if upstream.is_alive and caller.port in upstream.open:
        token = upstream.open[caller.port]
        caller.take(caller, Answer(upstream=upstream, token=token, request=packet))
