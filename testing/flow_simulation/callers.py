"""Callers that open a flow, send requests on it and retransmit unanswered packets."""

from __future__ import annotations

from functools import partial

from chervilstage.state.flow_packets import SEQUENCE_SPACE
from chervilstage.state.types import Address, UpstreamPhase

from .paths import Answer, Caller, Packet, is_flow_counted, send
from .simulation import Simulation, Upstream

# Delays of the opening packet and its copies.
COPY_DELAYS_SECONDS = (0.0, 0.2, 0.6)
ATTEMPT_TIMEOUT_SECONDS = 1.4
FIRST_RETRANSMIT_SECONDS = 0.2
MAX_RETRANSMIT_SECONDS = 1.6
REQUEST_DEADLINE_SECONDS = 6.0
THINK_TIMES_SECONDS = (0.0, 0.05, 0.2, 0.4, 1.0, 4.0)
REQUEST_SIZES_BYTES = (50, 1200)
ANSWER_BYTES = 400


def start_caller(
    simulation: Simulation, *, port: int, front: Address, closes_at: float
) -> None:
    """Send an opening packet and its copies until one is answered.

    :param closes_at: when the caller closes its flow, in seconds.
    """
    caller = Caller(
        simulation,
        port=port,
        front=front,
        closes_at=closes_at,
        on_answer=lambda caller, answer: _handle_answer(simulation, caller, answer),
    )
    for copy, seconds in enumerate(COPY_DELAYS_SECONDS):
        simulation.timeline.call_later(
            seconds, partial(_send_opening, simulation, caller, copy)
        )
    simulation.timeline.call_later(
        ATTEMPT_TIMEOUT_SECONDS, lambda: _time_out_attempt(simulation, caller)
    )


def _send_opening(simulation: Simulation, caller: Caller, copy: int) -> None:
    if caller.upstream is not None or caller.is_done:
        return
    packet = Packet(
        caller=caller,
        upstream=None,
        token=0,
        sequence=caller.initial_sequence,
        acknowledged=copy,
        copy=copy,
        is_opening=True,
    )
    send(simulation, packet)


def _time_out_attempt(simulation: Simulation, caller: Caller) -> None:
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


def _handle_answer(simulation: Simulation, caller: Caller, answer: Answer) -> None:
    """Store the token of an answer, and send a request or the next one.

    The first answer to an opening packet determines the upstream of the flow.
    """
    if caller.is_done:
        return
    caller.token = answer.token
    if answer.request is not None:
        _send_next_request(simulation, caller, answer.upstream, answer.request)
    elif caller.upstream is None:
        caller.upstream = answer.upstream
        _send_request(simulation, caller)


def _send_next_request(
    simulation: Simulation, caller: Caller, upstream: Upstream, request: Packet
) -> None:
    """Send the next request after a think time, or close a flow that is over."""
    if caller.requested_at is None or request.sequence != caller.next_byte:
        return
    caller.requested_at = None
    caller.next_byte = (caller.next_byte + request.size) % SEQUENCE_SPACE
    caller.acknowledged = (caller.acknowledged + ANSWER_BYTES) % SEQUENCE_SPACE
    is_over = simulation.timeline.now > caller.closes_at
    if is_over or upstream.phase is UpstreamPhase.LEAVING:
        _send_packet(simulation, caller, is_ending=True)
        caller.is_done = True
        return
    if simulation.rng.random() < 0.5:
        _send_packet(simulation, caller)
    think_time = simulation.rng.choice(THINK_TIMES_SECONDS)
    simulation.timeline.call_later(
        think_time, lambda: _send_request(simulation, caller)
    )


def _send_request(simulation: Simulation, caller: Caller) -> None:
    if caller.is_done:
        return
    caller.requested_at = simulation.timeline.now
    caller.request_size = simulation.rng.randint(*REQUEST_SIZES_BYTES)
    _retransmit(simulation, caller, caller.requested_at, FIRST_RETRANSMIT_SECONDS)


def _retransmit(
    simulation: Simulation, caller: Caller, requested_at: float, seconds: float
) -> None:
    """Send a request, again until it is answered or its deadline has passed."""
    if caller.is_done or caller.requested_at != requested_at:
        return
    if simulation.timeline.now - requested_at > REQUEST_DEADLINE_SECONDS:
        _abandon_flow(simulation, caller, requested_at)
        return
    _send_packet(simulation, caller, size=caller.request_size)
    next_seconds = min(2 * seconds, MAX_RETRANSMIT_SECONDS)
    simulation.timeline.call_later(
        seconds, lambda: _retransmit(simulation, caller, requested_at, next_seconds)
    )


def _abandon_flow(simulation: Simulation, caller: Caller, requested_at: float) -> None:
    """Close a flow whose request timed out; count it if its upstream is alive.

    A late control update since the request is counted apart, as a possible cause.
    """
    if (
        caller.upstream is not None
        and caller.upstream.is_alive
        and is_flow_counted(simulation, caller)
    ):
        is_open = caller.has_open_flow()
        kind = "open" if is_open else "opening"
        timing = "late" if simulation.last_late_update_at > requested_at else "in_time"
        simulation.counts[f"given_up_{kind}_news_{timing}"] += 1
    caller.is_done = True
