"""Accounts for the flows and requests in flight at each upstream."""

from __future__ import annotations

from ..state.flow_packets import SEQUENCE_SPACE, FlowPacket, is_after
from ..state.link import Link
from ..state.token_flows import TokenFlow, TokenRelayState, UpstreamLoad
from .link_admission import (
    add_expected_request,
    remove_expected_request,
    subtract_request_bytes,
    update_request_size,
)
from .locality import record_data_centre_latency
from .suspicion import (
    record_expected_answer,
    record_missing_answer,
    record_upstream_answer,
)

# Data that is retransmitted after this time counts as a missing answer, unless the
# upstream has answered another flow since. An answer to an opening packet takes a few
# milliseconds.
STALL_SECONDS = 0.35
# Callers have at most 16 packets of 1,200 bytes in flight.
WINDOW_BYTES = 16 * 1200
# Bounds the size of ``TokenFlow.relayed_at``: twice the packets of a window.
MAX_RELAYED_ENTRIES = 32


def account_packet(
    state: TokenRelayState, flow: TokenFlow, packet: FlowPacket, now: float
) -> None:
    """Update the requests in flight from a packet that the caller sent."""
    flow.last_seen_at = now
    load = state.load_of(flow.upstream)
    if flow.busy_since is not None and is_after(
        packet.acknowledged, flow.answered_up_to
    ):
        latency_seconds = now - flow.busy_since
        state.latencies.observe(latency_seconds)
        load.record_latency(latency_seconds)
        record_data_centre_latency(state, flow.upstream, latency_seconds)
        update_request_size(state, flow, packet.front)
        finish_request(state, flow)
        record_upstream_answer(state, flow.upstream, now)
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
    """Update the request in flight from a packet with data.

    A caller sends beyond its window only after acknowledgements, so such bytes show
    that the upstream answers.
    """
    end = (packet.sequence + packet.size) % SEQUENCE_SPACE
    if is_after(end, flow.sent_up_to):
        if flow.busy_since is None:
            flow.request_start_sequence = flow.sent_up_to
            flow.relayed_at.clear()
            flow.busy_since = now
            flow.answered_up_to = packet.acknowledged
            load.in_flight += 1
            record_expected_answer(state, flow.upstream, now)
            if not flow.expected_bytes:
                add_expected_request(state, flow, packet.front)
        elif (end - flow.request_start_sequence) % SEQUENCE_SPACE > WINDOW_BYTES:
            record_upstream_answer(state, flow.upstream, now)
        subtract_request_bytes(
            state.link, flow, (end - flow.sent_up_to) % SEQUENCE_SPACE
        )
        flow.sent_up_to = end
    elif flow.busy_since is not None and _is_stalled(flow, load, now):
        record_missing_answer(state, flow.upstream, now)


def record_relayed_data(
    link: Link, flow: TokenFlow, packet: FlowPacket, now: float
) -> None:
    """Count relayed data and distinguish retransmissions from new data.

    A request starts when its first data leaves: an upstream cannot answer data that
    is still queued here for the link.
    """
    if flow.busy_since is not None and not flow.relayed_at:
        flow.busy_since = now
    link.traffic.data_packets += 1
    previous_at = flow.relayed_at.get(packet.sequence)
    if previous_at is not None:
        link.traffic.repeated_packets += 1
        link.repeat_seconds.observe(now - previous_at)
    flow.relayed_at[packet.sequence] = now
    if len(flow.relayed_at) > MAX_RELAYED_ENTRIES:
        _remove_old_entries(flow)


def _remove_old_entries(flow: TokenFlow) -> None:
    """Remove entries older than a window: callers do not retransmit such data."""
    flow.relayed_at = {
        sequence: at
        for sequence, at in flow.relayed_at.items()
        if (flow.sent_up_to - sequence) % SEQUENCE_SPACE <= WINDOW_BYTES
    }


def is_bulk(flow: TokenFlow) -> bool:
    """Return whether a flow sends a request of more than a window."""
    if flow.busy_since is None:
        return False
    return (
        flow.sent_up_to - flow.request_start_sequence
    ) % SEQUENCE_SPACE > WINDOW_BYTES


def _is_stalled(flow: TokenFlow, load: UpstreamLoad, now: float) -> bool:
    """Return whether an upstream has left a request unanswered for too long."""
    started_at = flow.busy_since or now
    return now - max(started_at, load.answered_at) > STALL_SECONDS


def finish_request(state: TokenRelayState, flow: TokenFlow) -> None:
    """Record that no request of a flow is in flight any more."""
    remove_expected_request(state.link, flow)
    if flow.busy_since is not None:
        flow.busy_since = None
        load_of_run(state, flow).in_flight -= 1


def add_opening_flow(state: TokenRelayState, flow: TokenFlow, now: float) -> None:
    """Count a flow that waits for its upstream to accept it."""
    state.load_of(flow.upstream).in_flight += 1
    record_expected_answer(state, flow.upstream, now)


def remove_opening_flow(state: TokenRelayState, flow: TokenFlow) -> None:
    """Stop counting a flow among those that wait for their upstream to accept them."""
    load_of_run(state, flow).in_flight -= 1


def load_of_run(state: TokenRelayState, flow: TokenFlow) -> UpstreamLoad:
    """Return the load of the run of a flow's upstream.

    For a run that has ended, returns a new object that nothing else uses.
    """
    address, incarnation, _ = flow.upstream.identity
    load = state.loads.get(address)
    if load is None or load.incarnation != incarnation:
        return UpstreamLoad(incarnation=incarnation)
    return load
