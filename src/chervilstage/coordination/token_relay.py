"""Route the packets of flows whose callers return flow tokens.

An opening packet is forwarded to a selected upstream together with that upstream's
token. A copy of it, retransmitted by the caller, may reach a second upstream, and both
may answer. The flow opens at the upstream whose token is in the first packet after the
opening one. The entry that receives this packet sends the caller the plain token. The
caller returns it in all later packets, so that any entry can relay them. Once this
entry has seen a flow open, the flow stays at its upstream whatever token later packets
carry. Other entries relay no packet by the provisional token of an opening packet.

An open flow is reset only when its route is removed or its upstream has ended. An
upstream that does not answer gets no new flows, but its open flows are kept: an entry
sees only the callers' packets and can't tell packet loss from a failed upstream.
"""

from __future__ import annotations

from random import Random

from ..state.flow_packets import SEQUENCE_SPACE, FlowPacket
from ..state.packet_decisions import DropPacket, Forward, PacketDecision, ResetFlow
from ..state.registry import has_same_label
from ..state.token_flows import TokenFlow, TokenRelayState
from .flow_accounting import (
    account_packet,
    add_opening_flow,
    finish_request,
    load_of_run,
    remove_opening_flow,
)
from .flow_tokens import PROVISIONAL_BIT, flow_token, is_provisional, provisional_token
from .link_admission import (
    add_expected_request,
    can_admit_request,
    remove_expected_request,
)
from .link_schedule import is_copy_queued
from .opening_copies import (
    has_opening_timed_out,
    is_ahead_of_first,
    is_first_after_opening,
    is_only_copy,
    record_copy,
)
from .placement import choose_service, choose_upstream
from .suspicion import record_missing_answer, record_upstream_answer

# Callers retransmit an opening packet after 200 ms. Copies that arrive closer together
# were delayed by the network and don't indicate an unresponsive upstream.
MINIMUM_COPY_GAP_SECONDS = 0.12
# A later routing table that contains the route again may take this long to arrive.
REMOVED_ROUTE_GRACE_SECONDS = 3.0
# An upstream that ends may still answer its outstanding requests for a short time.
ENDED_UPSTREAM_GRACE_SECONDS = 0.3
# Callers start flows at arbitrary sequence numbers. Other entries may have relayed up
# to this many bytes of the same flow since its last packet here.
MAXIMUM_SEQUENCE_GAP_BYTES = 1 << 20
CLOSING_TIMEOUT_SECONDS = 3.0
# Within this many announcement intervals each upstream has announced itself once.
STARTUP_ANNOUNCEMENT_INTERVALS = 1.25
OPENING_TIMEOUT_SECONDS = 2.0
# A flow that is expired too early can be found again by its token.
DEFAULT_IDLE_TIMEOUT_SECONDS = 60.0


def relay_packet(
    state: TokenRelayState,
    packet: FlowPacket,
    now: float,
    rng: Random,
    wait_seconds: float = 0.0,
) -> PacketDecision:
    """Decide where a caller's packet goes.

    :param wait_seconds: upper bound of the time that the packet has waited here.
    """
    if packet.is_opening:
        if has_opening_timed_out(packet, wait_seconds):
            return DropPacket(reason="attempt_over")
        return _handle_opening_packet(state, packet, now, rng, wait_seconds)
    key = packet.caller + packet.front
    flow = _current_flow(state, key, packet)
    is_found = flow is None
    has_opened = False
    if flow is None or not flow.is_open:
        if is_provisional(packet.token) and not is_first_after_opening(
            flow, packet, now, wait_seconds
        ):
            is_ahead = is_ahead_of_first(flow, packet, now)
            return DropPacket(
                reason="ahead_of_first" if is_ahead else "provisional_token"
            )
        resolved = _resolve_token(state, packet, flow, now)
        if not isinstance(resolved, TokenFlow):
            return resolved
        has_opened = flow is not None
        flow = state.flows[key] = resolved
    elif _is_route_removed(state, packet, now):
        return _reset_flow(state, key, flow, packet, "route_removed")
    if _has_upstream_ended(state, flow, now):
        return _reset_flow(state, key, flow, packet, "upstream_ended")
    if is_copy_queued(state.link, key, packet):
        flow.last_seen_at = now
        return DropPacket(reason="copy_waits")
    account_packet(state, flow, packet, now)
    record = flow.upstream
    return Forward(
        address=record.identity.address,
        label=record.label,
        token=None if packet.token == flow.token else flow.token,
        is_found=is_found,
        has_opened=has_opened,
    )


def _is_route_removed(state: TokenRelayState, packet: FlowPacket, now: float) -> bool:
    """Return whether a route is removed permanently, as far as this entry knows."""
    removed_at = state.removed_at.get(packet.front)
    if removed_at is None or not state.has_newest_routing():
        return False
    return now - removed_at > REMOVED_ROUTE_GRACE_SECONDS


def _current_flow(
    state: TokenRelayState, key: bytes, packet: FlowPacket
) -> TokenFlow | None:
    """Return the flow of a packet; remove a flow whose caller port was reused."""
    flow = state.flows.get(key)
    if flow is None or _is_same_flow(flow, packet):
        return flow
    _remove_flow(state, key, flow)
    return None


def _is_same_flow(flow: TokenFlow, packet: FlowPacket) -> bool:
    """Return whether a packet's sequence is close enough to belong to a flow."""
    distance = (packet.sequence - flow.sent_up_to) % SEQUENCE_SPACE
    return min(distance, SEQUENCE_SPACE - distance) <= MAXIMUM_SEQUENCE_GAP_BYTES


def expire_flows(state: TokenRelayState, now: float) -> None:
    """Remove idle and closed flows, and give up requests that are not answered."""
    routing = state.routing
    idle_seconds = (
        routing.flow_idle_seconds if routing else DEFAULT_IDLE_TIMEOUT_SECONDS
    )
    for key, flow in list(state.flows.items()):
        since_last_packet = now - flow.last_seen_at
        if not flow.is_open:
            timeout_seconds = OPENING_TIMEOUT_SECONDS
        else:
            timeout_seconds = (
                CLOSING_TIMEOUT_SECONDS if flow.is_closing else idle_seconds
            )
        if since_last_packet > timeout_seconds:
            _remove_flow(state, key, flow)
        elif flow.busy_since is not None and now - flow.busy_since > idle_seconds:
            finish_request(state, flow)


def _handle_opening_packet(
    state: TokenRelayState,
    packet: FlowPacket,
    now: float,
    rng: Random,
    wait_seconds: float,
) -> PacketDecision:
    route = state.routes.get(packet.front)
    if route is None:
        if state.routing is None:
            return DropPacket(reason="no_routing")
        if not state.has_newest_routing():
            return DropPacket(reason="routing_behind")
        if not is_only_copy(packet, wait_seconds):
            return DropPacket(reason="no_route_for_copy")
        return ResetFlow(sequence=0, reason="no_route")
    key = packet.caller + packet.front
    flow = _current_flow(state, key, packet)
    if flow is None:
        if is_only_copy(packet, wait_seconds) and not can_admit_request(
            state, packet.front, route
        ):
            return ResetFlow(sequence=0, reason="link_full")
        service = choose_service(route, rng)
        record = choose_upstream(state, service, frozenset(), now, rng)
        if record is None:
            return _reject_flow(state, packet, now, wait_seconds)
        flow = state.flows[key] = TokenFlow(upstream=record, service=service, now=now)
        flow.opening_sequence = packet.sequence
        flow.sent_up_to = (packet.sequence + 1) % SEQUENCE_SPACE
        add_opening_flow(state, flow, now)
        add_expected_request(state, flow, packet.front)
    elif flow.is_open:
        return DropPacket(reason="late_copy")
    elif is_copy_queued(state.link, key, packet):
        record_copy(flow, packet, wait_seconds)
        return DropPacket(reason="copy_waits")
    elif now - flow.opening_sent_at >= MINIMUM_COPY_GAP_SECONDS:
        _reselect_upstream(state, key, flow, now, rng)
    flow.opening_sent_at = flow.last_seen_at = now
    record_copy(flow, packet, wait_seconds)
    identity = flow.upstream.identity
    return Forward(
        address=identity.address,
        label=flow.upstream.label,
        token=provisional_token(identity),
    )


def _reject_flow(
    state: TokenRelayState, packet: FlowPacket, now: float, wait_seconds: float
) -> PacketDecision:
    """Reject a flow immediately, so that the caller can retry at another entry.

    The packet is dropped instead while the set of upstreams may still be incomplete:
    control replicas that have just started learn of upstreams one by one.
    """
    if not is_only_copy(packet, wait_seconds):
        return DropPacket(reason="no_upstream_for_copy")
    known_since = state.upstreams_known_since
    startup_seconds = STARTUP_ANNOUNCEMENT_INTERVALS * state.announcement_seconds
    if known_since is None or now - known_since < startup_seconds:
        return DropPacket(reason="no_upstreams_known")
    return ResetFlow(sequence=0, reason="no_upstream")


def _reselect_upstream(
    state: TokenRelayState, key: bytes, flow: TokenFlow, now: float, rng: Random
) -> None:
    """Select another upstream for a flow whose opening packet was not answered."""
    record_missing_answer(state, flow.upstream, now)
    flow.tried_addresses |= {flow.upstream.identity.address}
    record = choose_upstream(state, flow.service, flow.tried_addresses, now, rng)
    if record is None:
        return
    remove_opening_flow(state, flow)
    flow.upstream = record
    add_opening_flow(state, flow, now)


def _resolve_token(
    state: TokenRelayState, packet: FlowPacket, flow: TokenFlow | None, now: float
) -> TokenFlow | PacketDecision:
    """Return the open flow that a packet's token identifies, else a decision."""
    services = state.services_by_front.get(packet.front)
    if services is None:
        return DropPacket(reason="unknown_route" if state.routing else "no_routing")
    if packet.front not in state.routes:
        # A later table, not announced to this entry yet, may contain the route again.
        is_newest = state.has_newest_routing()
        return DropPacket(reason="route_removed" if is_newest else "routing_behind")
    token = packet.token & ~PROVISIONAL_BIT
    record = state.tokens.get(token)
    if record is None:
        return _relay_to_ended_upstream(state, packet, services, now)
    if record.identity.service not in services:
        return DropPacket(reason="foreign_token")
    if flow is None:
        flow = TokenFlow(upstream=record, service=record.identity.service, now=now)
        flow.sent_up_to = packet.sequence
        flow.is_open = True
    else:
        remove_opening_flow(state, flow)
        flow.upstream = record
        _mark_open(state, flow, now)
    flow.token = token
    state.load_of(record).flows += 1
    return flow


def _relay_to_ended_upstream(
    state: TokenRelayState, packet: FlowPacket, services: frozenset[str], now: float
) -> PacketDecision:
    """Relay or reject a packet whose token belongs to no registered upstream."""
    ended = state.ended.get(packet.token & ~PROVISIONAL_BIT)
    if ended is None:
        return DropPacket(reason="unknown_token")
    if now - ended.ended_at > ENDED_UPSTREAM_GRACE_SECONDS:
        if is_provisional(packet.token):
            return DropPacket(reason="provisional_token")
        # The flow may be open although this entry has no state for it.
        return ResetFlow(
            sequence=packet.acknowledged, reason="upstream_ended", is_open=True
        )
    identity = ended.record.identity
    if identity.service not in services:
        return DropPacket(reason="foreign_token")
    return Forward(address=identity.address, label=ended.record.label, token=None)


def _mark_open(state: TokenRelayState, flow: TokenFlow, now: float) -> None:
    """Mark a flow open: its upstream answered the opening packet from this entry."""
    flow.is_open = True
    state.open_seconds.observe(now - flow.opening_sent_at)
    record_upstream_answer(state, flow.upstream, now)


def _has_upstream_ended(state: TokenRelayState, flow: TokenFlow, now: float) -> bool:
    """Return whether the upstream of a flow ended longer ago than the grace time."""
    current = state.registry.records.get(flow.upstream.identity.address)
    if current is not None and has_same_label(flow.upstream, current):
        return False
    ended = state.ended.get(flow_token(flow.upstream.identity))
    return ended is not None and now - ended.ended_at > ENDED_UPSTREAM_GRACE_SECONDS


def _reset_flow(
    state: TokenRelayState, key: bytes, flow: TokenFlow, packet: FlowPacket, reason: str
) -> PacketDecision:
    _remove_flow(state, key, flow)
    return ResetFlow(
        sequence=packet.acknowledged, reason=reason, is_open=True, flow=flow
    )


def _remove_flow(state: TokenRelayState, key: bytes, flow: TokenFlow) -> None:
    del state.flows[key]
    remove_expected_request(state.link, flow)
    if flow.busy_since is not None:
        load_of_run(state, flow).in_flight -= 1
    if flow.is_open:
        load_of_run(state, flow).flows -= 1
    else:
        remove_opening_flow(state, flow)
