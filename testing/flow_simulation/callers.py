"""Callers that open a flow, send requests on it and repeat what is not answered."""

from __future__ import annotations

from functools import partial

from chervilstage.state.flow_packets import NUMBER_SPACE
from chervilstage.state.types import Address, UpstreamPhase

from .paths import Answer, Caller, Packet, counts_flow, send
from .simulation import Simulation, Upstream

COPY_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_SECONDS = 1.4
FIRST_REPEAT_SECONDS = 0.2
LONGEST_REPEAT_SECONDS = 1.6
DEADLINE_SECONDS = 6.0
PAUSES = (0.0, 0.05, 0.2, 0.4, 1.0, 4.0)
REQUEST_BYTES = (50, 1200)
ANSWER_BYTES = 400


def start_caller(
    simulation: Simulation, *, port: int, front: Address, until: float
) -> None:
    """Send an opening packet and its copies until one is answered.

    :param until: when the caller closes its flow, in seconds.
    """
    caller = Caller(
        simulation,
        port=port,
        front=front,
        until=until,
        take=lambda caller, answer: _take_answer(simulation, caller, answer),
    )
    for copy, seconds in enumerate(COPY_SECONDS):
        simulation.timeline.after(
            seconds, partial(_send_opening, simulation, caller, copy)
        )
    simulation.timeline.after(ATTEMPT_SECONDS, lambda: _end_attempt(simulation, caller))


def _send_opening(simulation: Simulation, caller: Caller, copy: int) -> None:
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
    send(simulation, packet)


def _end_attempt(simulation: Simulation, caller: Caller) -> None:
    if caller.upstream is None and not caller.is_done:
        caller.is_done = True
        simulation.counts["attempts_unanswered"] += 1


def _send_packet(
    simulation: Simulation, caller: Caller, *, size: int = 0, is_ending: bool = False
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
    send(simulation, packet)


def _take_answer(simulation: Simulation, caller: Caller, answer: Answer) -> None:
    """Take an answer and its token; the first one to an opening tells the upstream."""
    if caller.is_done:
        return
    caller.token = answer.token
    if answer.request is not None:
        _go_on(simulation, caller, answer.upstream, answer.request)
    elif caller.upstream is None:
        caller.upstream = answer.upstream
        _send_request(simulation, caller)


def _go_on(
    simulation: Simulation, caller: Caller, upstream: Upstream, request: Packet
) -> None:
    """Send the next request after a pause, unless the flow is over."""
    if caller.asked_at is None or request.sequence != caller.next_byte:
        return
    caller.asked_at = None
    caller.next_byte = (caller.next_byte + request.size) % NUMBER_SPACE
    caller.acknowledged = (caller.acknowledged + ANSWER_BYTES) % NUMBER_SPACE
    is_over = simulation.timeline.now > caller.until
    if is_over or upstream.phase is UpstreamPhase.LEAVING:
        _send_packet(simulation, caller, is_ending=True)
        caller.is_done = True
        return
    if simulation.rng.random() < 0.5:
        _send_packet(simulation, caller)
    pause = simulation.rng.choice(PAUSES)
    simulation.timeline.after(pause, lambda: _send_request(simulation, caller))


def _send_request(simulation: Simulation, caller: Caller) -> None:
    if caller.is_done:
        return
    caller.asked_at = simulation.timeline.now
    caller.request_size = simulation.rng.randint(*REQUEST_BYTES)
    _repeat(simulation, caller, caller.asked_at, FIRST_REPEAT_SECONDS)


def _repeat(
    simulation: Simulation, caller: Caller, asked_at: float, seconds: float
) -> None:
    """Send a request until it is answered or its deadline is over."""
    if caller.is_done or caller.asked_at != asked_at:
        return
    if simulation.timeline.now - asked_at > DEADLINE_SECONDS:
        _give_up(simulation, caller, asked_at)
        return
    _send_packet(simulation, caller, size=caller.request_size)
    following = min(2 * seconds, LONGEST_REPEAT_SECONDS)
    simulation.timeline.after(
        seconds, lambda: _repeat(simulation, caller, asked_at, following)
    )


def _give_up(simulation: Simulation, caller: Caller, asked_at: float) -> None:
    """Count a flow that waited in vain though its upstream lives."""
    if (
        caller.upstream is not None
        and caller.upstream.is_alive
        and counts_flow(simulation, caller)
    ):
        is_open = caller.holds_open_flow()
        kind = "open" if is_open else "opening"
        news = "late" if simulation.news_late_at > asked_at else "in_time"
        simulation.counts[f"given_up_{kind}_news_{news}"] += 1
    caller.is_done = True
