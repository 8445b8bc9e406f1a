"""Where each packet of a flow goes when callers return flow tokens.

An opening packet goes to a chosen upstream and carries its token, and a copy of it may
go to a second one; both may answer. The flow opens at the upstream whose token comes
with the first packets after that. The entry that sees this gives the caller the plain
token, which it returns in all later packets, so that any entry can relay them. A flow
that this entry has seen open stays at its upstream whatever later packets carry, and
other entries relay no packet by the token of an opening packet.

An open flow is closed only when its route is removed or its upstream has ended.
Silence keeps new flows away from an upstream and closes none: an entry sees only the
callers' packets, and lost ones look the same as an upstream that has died.
"""

from __future__ import annotations

from random import Random

from ..state.flow_packets import NUMBER_SPACE, FlowPacket
from ..state.packet_decisions import DropPacket, Forward, PacketDecision, ResetFlow
from ..state.registry import shares_label
from ..state.token_flows import TokenFlow, TokenRelayState
from .flow_accounting import (
    account_packet,
    finish_request,
    load_of_run,
    release_upstream,
    take_upstream,
)
from .flow_tokens import PROVISIONAL, flow_token, is_provisional, provisional_token
from .link_admission import expect_request, forget_request, has_room
from .link_schedule import is_waiting
from .opening_copies import (
    is_given_up,
    is_only_copy,
    note_copy,
    opens_flow,
    overtakes_first,
)
from .placement import choose_service, choose_upstream
from .suspicion import note_answer, note_silence

# Callers repeat an opening packet after 200 ms; copies that arrive closer together
# were held up on the way and say nothing of the upstream.
COPY_SECONDS = 0.12
# A later table that has the route again may be on its way to this entry so long.
REMOVED_ROUTE_SECONDS = 3.0
# An upstream that ends may still answer what it has in hand for a moment.
ENDING_SECONDS = 0.3
# Callers begin flows anywhere in the number space; other entries may have relayed as
# much of the same flow since its last packet here.
SAME_FLOW_BYTES = 1 << 20
CLOSING_SECONDS = 3.0
# After this many intervals each upstream has announced itself once.
GATHERING_ANNOUNCEMENTS = 1.25
OPENING_SECONDS = 2.0
# An idle flow that was forgotten too early is found again by its token.
DEFAULT_IDLE_SECONDS = 60.0


def relay_packet(
    state: TokenRelayState,
    packet: FlowPacket,
    now: float,
    rng: Random,
    waited: float = 0.0,
) -> PacketDecision:
    """Decide where a caller's packet goes.

    :param waited: the seconds that the packet may have waited at this entry.
    """
    if packet.is_opening:
        if is_given_up(packet, waited):
            return DropPacket(reason="attempt_over")
        return _open_flow(state, packet, now, rng, waited)
    key = packet.caller + packet.front
    flow = _held_flow(state, key, packet)
    is_found = flow is None
    has_opened = False
    if flow is None or not flow.is_open:
        if is_provisional(packet.token) and not opens_flow(flow, packet, now, waited):
            is_ahead = overtakes_first(flow, packet, now)
            return DropPacket(
                reason="ahead_of_first" if is_ahead else "provisional_token"
            )
        found = _flow_of_token(state, packet, flow, now)
        if not isinstance(found, TokenFlow):
            return found
        has_opened = flow is not None
        flow = state.flows[key] = found
    elif _is_route_gone(state, packet, now):
        return _end_flow(state, key, flow, packet, "route_removed")
    if _has_ended(state, flow, now):
        return _end_flow(state, key, flow, packet, "upstream_ended")
    if is_waiting(state.link, key, packet):
        flow.seen_at = now
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


def _is_route_gone(state: TokenRelayState, packet: FlowPacket, now: float) -> bool:
    """Tell whether a route is gone for good, as far as this entry can know."""
    removed_at = state.removed_at.get(packet.front)
    if removed_at is None or not state.has_newest_routing():
        return False
    return now - removed_at > REMOVED_ROUTE_SECONDS


def _held_flow(
    state: TokenRelayState, key: bytes, packet: FlowPacket
) -> TokenFlow | None:
    """Return the flow of a packet, and forget one whose caller's port is used again."""
    flow = state.flows.get(key)
    if flow is None or _continues(flow, packet):
        return flow
    _forget(state, key, flow)
    return None


def _continues(flow: TokenFlow, packet: FlowPacket) -> bool:
    """Tell whether a packet's sequence is near that of a flow."""
    distance = (packet.sequence - flow.highest) % NUMBER_SPACE
    return min(distance, NUMBER_SPACE - distance) <= SAME_FLOW_BYTES


def sweep_flows(state: TokenRelayState, now: float) -> None:
    """Forget the flows that have ended, and the requests that will not be answered."""
    routing = state.routing
    idle_seconds = routing.flow_idle_seconds if routing else DEFAULT_IDLE_SECONDS
    for key, flow in list(state.flows.items()):
        quiet = now - flow.seen_at
        if not flow.is_open:
            limit = OPENING_SECONDS
        else:
            limit = CLOSING_SECONDS if flow.is_closing else idle_seconds
        if quiet > limit:
            _forget(state, key, flow)
        elif flow.busy_since is not None and now - flow.busy_since > idle_seconds:
            finish_request(state, flow)


def _open_flow(
    state: TokenRelayState, packet: FlowPacket, now: float, rng: Random, waited: float
) -> PacketDecision:
    route = state.routes.get(packet.front)
    if route is None:
        if state.routing is None:
            return DropPacket(reason="no_routing")
        if not state.has_newest_routing():
            return DropPacket(reason="routing_behind")
        if not is_only_copy(packet, waited):
            return DropPacket(reason="no_route_for_copy")
        return ResetFlow(sequence=0, reason="no_route")
    key = packet.caller + packet.front
    flow = _held_flow(state, key, packet)
    if flow is None:
        if is_only_copy(packet, waited) and not has_room(state, packet.front, route):
            return ResetFlow(sequence=0, reason="link_full")
        service = choose_service(route, rng)
        record = choose_upstream(state, service, frozenset(), now, rng)
        if record is None:
            return _refuse(state, packet, now, waited)
        flow = state.flows[key] = TokenFlow(upstream=record, service=service, now=now)
        flow.opening = packet.sequence
        flow.highest = (packet.sequence + 1) % NUMBER_SPACE
        take_upstream(state, flow, now)
        expect_request(state, flow, packet.front)
    elif flow.is_open:
        return DropPacket(reason="late_copy")
    elif is_waiting(state.link, key, packet):
        note_copy(flow, packet, waited)
        return DropPacket(reason="copy_waits")
    elif now - flow.sent_at >= COPY_SECONDS:
        _try_another(state, key, flow, now, rng)
    flow.sent_at = flow.seen_at = now
    note_copy(flow, packet, waited)
    identity = flow.upstream.identity
    return Forward(
        address=identity.address,
        label=flow.upstream.label,
        token=provisional_token(identity),
    )


def _refuse(
    state: TokenRelayState, packet: FlowPacket, now: float, waited: float
) -> PacketDecision:
    """Refuse a flow at once; the caller may then try again elsewhere.

    Control replicas that have just started hear of upstreams one after the other.
    """
    if not is_only_copy(packet, waited):
        return DropPacket(reason="no_upstream_for_copy")
    known_from = state.upstreams_from
    gathering = GATHERING_ANNOUNCEMENTS * state.announcement_seconds
    if known_from is None or now - known_from < gathering:
        return DropPacket(reason="no_upstreams_known")
    return ResetFlow(sequence=0, reason="no_upstream")


def _try_another(
    state: TokenRelayState, key: bytes, flow: TokenFlow, now: float, rng: Random
) -> None:
    """Move a flow whose opening packet was not answered to another upstream."""
    note_silence(state, flow.upstream, now)
    flow.tried |= {flow.upstream.identity.address}
    record = choose_upstream(state, flow.service, flow.tried, now, rng)
    if record is None:
        return
    release_upstream(state, flow)
    flow.upstream = record
    take_upstream(state, flow, now)


def _flow_of_token(
    state: TokenRelayState, packet: FlowPacket, flow: TokenFlow | None, now: float
) -> TokenFlow | PacketDecision:
    """Return the open flow of a packet by the token that its caller returns."""
    services = state.services_of.get(packet.front)
    if services is None:
        return DropPacket(reason="unknown_route" if state.routing else "no_routing")
    if packet.front not in state.routes:
        # The route may have been added again by a table that is not told of here yet.
        is_newest = state.has_newest_routing()
        return DropPacket(reason="route_removed" if is_newest else "routing_behind")
    token = packet.token & ~PROVISIONAL
    record = state.tokens.get(token)
    if record is None:
        return _relay_to_ended(state, packet, services, now)
    if record.identity.service not in services:
        return DropPacket(reason="foreign_token")
    if flow is None:
        flow = TokenFlow(upstream=record, service=record.identity.service, now=now)
        flow.highest = packet.sequence
        flow.is_open = True
    else:
        release_upstream(state, flow)
        flow.upstream = record
        _open(state, flow, now)
    flow.token = token
    state.load_of(record).flows += 1
    return flow


def _relay_to_ended(
    state: TokenRelayState, packet: FlowPacket, services: frozenset[str], now: float
) -> PacketDecision:
    """Relay a packet by the token of an upstream that is not known to be alive."""
    ended = state.ended.get(packet.token & ~PROVISIONAL)
    if ended is None:
        return DropPacket(reason="unknown_token")
    if now - ended.at > ENDING_SECONDS:
        if is_provisional(packet.token):
            return DropPacket(reason="provisional_token")
        # The flow may be open although this entry does not hold it.
        return ResetFlow(
            sequence=packet.acknowledged, reason="upstream_ended", is_open=True
        )
    identity = ended.record.identity
    if identity.service not in services:
        return DropPacket(reason="foreign_token")
    return Forward(address=identity.address, label=ended.record.label, token=None)


def _open(state: TokenRelayState, flow: TokenFlow, now: float) -> None:
    """Take note that the upstream has answered the opening packet of this entry."""
    flow.is_open = True
    state.open_seconds.observe(now - flow.sent_at)
    note_answer(state, flow.upstream, now)


def _has_ended(state: TokenRelayState, flow: TokenFlow, now: float) -> bool:
    current = state.registry.records.get(flow.upstream.identity.address)
    if current is not None and shares_label(flow.upstream, current):
        return False
    ended = state.ended.get(flow_token(flow.upstream.identity))
    return ended is not None and now - ended.at > ENDING_SECONDS


def _end_flow(
    state: TokenRelayState, key: bytes, flow: TokenFlow, packet: FlowPacket, reason: str
) -> PacketDecision:
    _forget(state, key, flow)
    return ResetFlow(
        sequence=packet.acknowledged, reason=reason, is_open=True, flow=flow
    )


def _forget(state: TokenRelayState, key: bytes, flow: TokenFlow) -> None:
    del state.flows[key]
    forget_request(state.link, flow)
    if flow.busy_since is not None:
        load_of_run(state, flow).in_flight -= 1
    if flow.is_open:
        load_of_run(state, flow).flows -= 1
    else:
        release_upstream(state, flow)
