"""Handles peer messages, timers and membership changes for flows."""

from __future__ import annotations

from ..state.flow_messages import (
    FlowMessage,
    PinAnnouncement,
    PinAnswer,
    PinListPage,
    PinListRequest,
    PinnedKeysPage,
    PinnedKeysRequest,
    PinQuery,
    ViewActivate,
    ViewPrepare,
    ViewPrepared,
)
from ..state.flow_state import FlowState
from ..state.view import bucket_of
from .flow_effects import FlowEffect
from .hand_over import (
    answer_pinned_keys_request,
    hand_over_pins,
    handle_pinned_keys_page,
)
from .membership import MemberEvent, MemberEventKind
from .pin_lists import answer_list_request, handle_list_page, pull_lists
from .pin_queries import (
    answer_query,
    confirm_exceptions,
    expire_pending,
    handle_pin_answer,
    send_queries,
    store_reported_exceptions,
)
from .view_change import handle_activate, handle_prepare
from .view_rounds import handle_prepared, run_rounds

TICK_SECONDS = 0.02
# The loop wakes less often while idle: 50 wake-ups a second cost over 1 % of a core, of
# the 3.5 % that an entry may spend on control.
IDLE_TICK_SECONDS = 0.1


def handle_flow_message(
    state: FlowState, sender: str, message: FlowMessage, now: float
) -> list[FlowEffect]:
    """Handle a message of a peer and return the effects."""
    match message:
        case ViewPrepare():
            return handle_prepare(state, sender, message, now)
        case ViewPrepared():
            return handle_prepared(state, sender, message, now)
        case ViewActivate():
            return handle_activate(state, sender, message)
        case PinQuery():
            return answer_query(state, sender, message, now)
        case PinAnswer():
            return handle_pin_answer(state, sender, message, now)
        case PinAnnouncement():
            store_reported_exceptions(state, message.service, message.items)
            return []
        case PinListRequest():
            return answer_list_request(state, sender, message)
        case PinListPage():
            return handle_list_page(state, sender, message, now)
        case PinnedKeysRequest():
            return answer_pinned_keys_request(state, sender, message)
        case PinnedKeysPage():
            handle_pinned_keys_page(state, sender, message, now)
            return []


def is_idle(state: FlowState) -> bool:
    """Return whether no query, exchange or change of view is in progress."""
    activities = (
        state.pending,
        state.pending_confirmations,
        state.prepared_view,
        state.view_round,
        state.members.report.leaving,
    )
    return not any(activities) and state.is_settled()


def run_flow_timers(state: FlowState, now: float) -> list[FlowEffect]:
    """Run the timers that are due and return the effects.

    Called every ``TICK_SECONDS``, and less often while idle.
    """
    _detect_pause(state, now)
    state.last_tick_at = now
    effects = run_rounds(state, now)
    effects += pull_lists(state, now)
    effects += hand_over_pins(state, now)
    effects += send_queries(state, now)
    effects += expire_pending(state, now)
    effects += confirm_exceptions(state, now)
    return effects


def _detect_pause(state: FlowState, now: float) -> None:
    """Mark the lists of all peers as missing after a start or a long pause.

    Half a lease without a tick counts as a long pause: the peers may have declared
    this entry lost meanwhile and continued without it. ``stale_until`` is infinite
    except for one lease after a start or a long pause.
    """
    lease = state.members.lease_seconds
    if now - state.last_tick_at >= lease / 2:
        state.peer_wait_ends_at = now + lease
        for peer in state.members.members:
            state.mark_all_missing(peer)
    if now >= state.peer_wait_ends_at:
        state.peer_wait_ends_at = float("inf")
        for peer in set(state.missing_buckets) - state.members.live_names:
            state.remove_peer(peer)


def handle_member_event(
    state: FlowState, event: MemberEvent, now: float
) -> list[FlowEffect]:
    """Handle a change of the members of the group."""
    report = state.members.members[event.name].report
    match event.kind:
        case MemberEventKind.LOST:
            _remove_lost_peer(state, event.name)
        case MemberEventKind.JOINED | MemberEventKind.RESTARTED:
            if event.kind is MemberEventKind.RESTARTED:
                _remove_lost_peer(state, event.name)
            # An entry that never had a view has no pins.
            if report.view_number:
                state.mark_all_missing(event.name)
                state.has_differing_views = True
        case MemberEventKind.REPORTED:
            if report.leaving and event.name not in state.leaving_peers:
                state.leaving_peers.add(event.name)
                state.mark_missing(event.name, state.all_buckets())
    return []


def _remove_lost_peer(state: FlowState, peer: str) -> None:
    """Request from the other peers the lists that the lost one has not sent.

    The other peers omitted from their lists what the lost one had reported to them.
    """
    unknown_buckets = {
        service: state.missing_buckets.get(peer, {}).get(service, set())
        | state.missing_early_buckets.get(peer, {}).get(service, set())
        for service in state.tables
    }
    state.remove_peer(peer)
    if state.view_round is not None:
        # A later run of the peer does not have the view.
        state.view_round = state.view_round._replace(
            prepared=state.view_round.prepared - {peer},
            settled=state.view_round.settled - {peer},
        )
    state.exchange.announced_by_peers.clear()
    if any(unknown_buckets.values()):
        for other in sorted(state.members.live_names):
            state.mark_missing(other, unknown_buckets)
            state.full_pull_peers.add(other)
    for flow, pending in list(state.pending.items()):
        if peer in pending.awaited_peers:
            others = state.peers_with_missing_lists(flow.service, bucket_of(flow.key))
            waiting = pending.awaited_peers.difference({peer}).union(others)
            state.pending[flow] = pending._replace(awaited_peers=waiting)
