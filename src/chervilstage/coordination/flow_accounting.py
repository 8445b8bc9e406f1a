"""What an entry counts of the flows and requests at each upstream."""

from __future__ import annotations

from ..state.flow_packets import NUMBER_SPACE, FlowPacket, is_after
from ..state.link import Link
from ..state.token_flows import TokenFlow, TokenRelayState, UpstreamLoad
from .link_admission import (
    expect_request,
    forget_request,
    learn_size,
    note_request_bytes,
)
from .locality import note_latency
from .suspicion import note_answer, note_question, note_silence

# An answer to an opening packet takes a few milliseconds; data that is repeated after
# this time is a sign of silence unless another flow there has been answered.
STALL_SECONDS = 0.35
# Callers have at most 16 packets of 1,200 bytes in flight.
WINDOW_BYTES = 16 * 1200
# Twice the packets of a window.
KEPT_COPIES = 32


def account_packet(
    state: TokenRelayState, flow: TokenFlow, packet: FlowPacket, now: float
) -> None:
    """Follow the requests in flight by the caller's half of the flow."""
    flow.seen_at = now
    load = state.load_of(flow.upstream)
    if flow.busy_since is not None and is_after(
        packet.acknowledged, flow.answered_up_to
    ):
        seconds = now - flow.busy_since
        state.latencies.observe(seconds)
        load.note_latency(seconds)
        note_latency(state, flow.upstream, seconds)
        learn_size(state, flow, packet.front)
        finish_request(state, flow)
        note_answer(state, flow.upstream, now)
    if packet.size:
        _account_data(state, flow, packet, load, now)
    if packet.is_ending or packet.is_reset:
        flow.is_closing = True
        finish_request(state, flow)


def _account_data(
    state: TokenRelayState,
    flow: TokenFlow,
    packet: FlowPacket,
    load: UpstreamLoad,
    now: float,
) -> None:
    """Follow the bytes of a request; those beyond a window prove an upstream alive."""
    end = (packet.sequence + packet.size) % NUMBER_SPACE
    if is_after(end, flow.highest):
        if flow.busy_since is None:
            flow.began_at = flow.highest
            flow.relayed.clear()
            flow.busy_since = now
            flow.answered_up_to = packet.acknowledged
            load.in_flight += 1
            note_question(state, flow.upstream, now)
            if not flow.expected_bytes:
                expect_request(state, flow, packet.front)
        elif (end - flow.began_at) % NUMBER_SPACE > WINDOW_BYTES:
            note_answer(state, flow.upstream, now)
        note_request_bytes(state.link, flow, (end - flow.highest) % NUMBER_SPACE)
        flow.highest = end
    elif flow.busy_since is not None and _is_stalled(flow, load, now):
        note_silence(state, flow.upstream, now)


def note_relayed(link: Link, flow: TokenFlow, packet: FlowPacket, now: float) -> None:
    """Count data that is sent on, and tell copies from what was not sent before.

    A request begins when its first data leaves: an upstream cannot answer what waits
    here for the link.
    """
    if flow.busy_since is not None and not flow.relayed:
        flow.busy_since = now
    link.traffic.data_packets += 1
    before = flow.relayed.get(packet.sequence)
    if before is not None:
        link.traffic.repeated_packets += 1
        link.repeat_seconds.observe(now - before)
    flow.relayed[packet.sequence] = now
    if len(flow.relayed) > KEPT_COPIES:
        _forget_acknowledged(flow)


def _forget_acknowledged(flow: TokenFlow) -> None:
    """Forget data more than a window before the newest; it is not sent again."""
    flow.relayed = {
        sequence: at
        for sequence, at in flow.relayed.items()
        if (flow.highest - sequence) % NUMBER_SPACE <= WINDOW_BYTES
    }


def is_bulk(flow: TokenFlow) -> bool:
    """Tell whether a flow sends a request of more than a window."""
    if flow.busy_since is None:
        return False
    return (flow.highest - flow.began_at) % NUMBER_SPACE > WINDOW_BYTES


def _is_stalled(flow: TokenFlow, load: UpstreamLoad, now: float) -> bool:
    started = flow.busy_since or now
    return now - max(started, load.answered_at) > STALL_SECONDS


def finish_request(state: TokenRelayState, flow: TokenFlow) -> None:
    """Take note that no request of a flow waits any more."""
    forget_request(state.link, flow)
    if flow.busy_since is not None:
        flow.busy_since = None
        load_of_run(state, flow).in_flight -= 1


def take_upstream(state: TokenRelayState, flow: TokenFlow, now: float) -> None:
    """Count a flow that waits for its upstream to open it."""
    state.load_of(flow.upstream).in_flight += 1
    note_question(state, flow.upstream, now)


def release_upstream(state: TokenRelayState, flow: TokenFlow) -> None:
    """Count a flow no longer that its upstream has opened, or has left alone."""
    load_of_run(state, flow).in_flight -= 1


def load_of_run(state: TokenRelayState, flow: TokenFlow) -> UpstreamLoad:
    """Return the load of the run that a flow belongs to, a spare one if it is over."""
    address, incarnation, _ = flow.upstream.identity
    load = state.loads.get(address)
    if load is None or load.incarnation != incarnation:
        return UpstreamLoad(incarnation=incarnation)
    return load
