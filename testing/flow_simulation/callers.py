"""Callers that open a flow, send requests on it and repeat what is not answered."""

from __future__ import annotations

from functools import partial

from chervilstage.state.flow_packets import NUMBER_SPACE
from chervilstage.state.types import Address, UpstreamPhase

from .paths import Answer, Caller, Packet, counts_flow, send
from .world import Upstream, World

COPY_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
DEADLINE_SECONDS = 6.0
PAUSES = (0.0, 0.05, 0.2, 0.4, 1.0, 4.0)
REQUEST_BYTES = (50, 1200)
ANSWER_BYTES = 400


def start_caller(world: World, *, port: int, front: Address, until: float) -> None:
    """Send an opening packet and its copies until one is answered.

    :param until: when the caller closes its flow, in seconds.
    """
    caller = Caller(
        world,
        port=port,
        front=front,
        until=until,
        take=lambda caller, answer: _take_answer(world, caller, answer),
    )
    for copy, seconds in enumerate(COPY_SECONDS):
        world.timeline.after(seconds, partial(_send_opening, world, caller, copy))
    world.timeline.after(ATTEMPT_SECONDS, lambda: _end_attempt(world, caller))


def _send_opening(world: World, caller: Caller, copy: int) -> None:
    if caller.upstream is not None or caller.is_done:
        return
    packet = Packet(
        caller=caller,
        upstream=None,
        token=0,
        sequence=caller.opening,
        acknowledged=copy,
        copy=copy,
        is_opening=True,
    )
    send(world, packet)


def _end_attempt(world: World, caller: Caller) -> None:
    if caller.upstream is None and not caller.is_done:
        caller.is_done = True
        world.counts["attempts_unanswered"] += 1


def _send_packet(
    world: World, caller: Caller, *, size: int = 0, is_ending: bool = False
) -> None:
    packet = Packet(
        caller=caller,
        upstream=caller.upstream,
        token=caller.token,
        sequence=caller.next_byte,
        acknowledged=caller.acknowledged,
        size=size,
        is_ending=is_ending,
    )
    send(world, packet)


def _take_answer(world: World, caller: Caller, answer: Answer) -> None:
    """Take an answer and its token; the first one to an opening tells the upstream."""
    if caller.is_done:
        return
    caller.token = answer.token
    if answer.request is not None:
        _go_on(world, caller, answer.upstream, answer.request)
    elif caller.upstream is None:
        caller.upstream = answer.upstream
        _send_request(world, caller)


def _go_on(world: World, caller: Caller, upstream: Upstream, request: Packet) -> None:
    """Send the next request after a pause, unless the flow is over."""
    if caller.asked_at is None or request.sequence != caller.next_byte:
        return
    caller.asked_at = None
    caller.next_byte = (caller.next_byte + request.size) % NUMBER_SPACE
    caller.acknowledged = (caller.acknowledged + ANSWER_BYTES) % NUMBER_SPACE
    is_over = world.timeline.now > caller.until
    if is_over or upstream.phase is UpstreamPhase.LEAVING:
        _send_packet(world, caller, is_ending=True)
        caller.is_done = True
        return
    if world.rng.random() < 0.5:
        _send_packet(world, caller)
    pause = world.rng.choice(PAUSES)
    world.timeline.after(pause, lambda: _send_request(world, caller))


def _send_request(world: World, caller: Caller) -> None:
    if caller.is_done:
        return
    caller.asked_at = world.timeline.now
    caller.request_size = world.rng.randint(*REQUEST_BYTES)
    _repeat(world, caller, caller.asked_at, FIRST_REPEAT_SECONDS)


def _repeat(world: World, caller: Caller, asked_at: float, seconds: float) -> None:
    """Send a request until it is answered or its deadline is over."""
    if caller.is_done or caller.asked_at != asked_at:
        return
    if world.timeline.now - asked_at > DEADLINE_SECONDS:
        _give_up(world, caller, asked_at)
        return
    _send_packet(world, caller, size=caller.request_size)
    following = min(2 * seconds, LONGEST_REPEAT_SECONDS)
    world.timeline.after(seconds, lambda: _repeat(world, caller, asked_at, following))


def _give_up(world: World, caller: Caller, asked_at: float) -> None:
    """Count a flow that waited in vain though its upstream lives."""
    if (
        caller.upstream is not None
        and caller.upstream.is_alive
        and counts_flow(world, caller)
    ):
        is_open = caller.holds_open_flow()
        kind = "open" if is_open else "opening"
        news = "late" if world.news_late_at > asked_at else "in_time"
        world.counts[f"given_up_{kind}_news_{news}"] += 1
    caller.is_done = True
