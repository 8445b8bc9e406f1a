"""Handles the messages by which a coordinator activates a view in two steps."""

from __future__ import annotations

from collections import defaultdict

from ..state.flow_messages import BucketMove, ViewActivate, ViewPrepare, ViewPrepared
from ..state.flow_state import FlowKey, FlowState
from ..state.types import UpstreamId
from ..state.view import EMPTY_MAP, View, ViewId, bucket_of, changed_buckets
from .flow_effects import FlowEffect, SendToPeer
from .pin_queries import restart_queries

NO_VIEW = View()


def view_moves(before: View, after: View) -> tuple[BucketMove, ...]:
    """Return the moves that turn one view into another."""
    moves: list[BucketMove] = []
    for service, buckets in sorted(changed_buckets(before, after).items()):
        target = after.buckets(service)
        by_upstream: defaultdict[UpstreamId | None, list[int]] = defaultdict(list)
        for bucket in sorted(buckets):
            by_upstream[target[bucket]].append(bucket)
        moves.extend(
            BucketMove(service=service, upstream=upstream, buckets=tuple(numbers))
            for upstream, numbers in by_upstream.items()
        )
    return tuple(moves)


def apply_moves(identity: ViewId, base: View, moves: tuple[BucketMove, ...]) -> View:
    """Return the view that results from applying moves to a base."""
    maps = {service: list(buckets) for service, buckets in base.services.items()}
    for move in moves:
        buckets = maps.setdefault(move.service, list(EMPTY_MAP))
        for bucket in move.buckets:
            buckets[bucket] = move.upstream
    services = {service: tuple(buckets) for service, buckets in maps.items()}
    return View(identity=identity, services=services)


def handle_prepare(
    state: FlowState, sender: str, prepare: ViewPrepare, now: float
) -> list[FlowEffect]:
    """Prepare a view, unless a newer one is prepared or in force here."""
    view_id = prepare.view
    state.highest_view_number = max(state.highest_view_number, view_id.number)
    if view_id == state.view.identity:
        return [_create_acknowledgement(state, sender)]
    prepared_id = state.prepared_view.identity if state.prepared_view else ViewId()
    if view_id == prepared_id:
        if prepare.urgent and not state.prepared_urgent:
            acknowledge_without_lists(state)
        return (
            [_create_acknowledgement(state, sender)]
            if state.is_view_acknowledged
            else []
        )
    if not view_id.supersedes(state.view.identity) or not view_id.supersedes(
        prepared_id
    ):
        return []
    base = NO_VIEW
    if prepare.base != ViewId():
        base = state.view
        if prepare.base != base.identity:
            answer = ViewPrepared(view=view_id, needs_full_view=True)
            return [SendToPeer(peer=sender, message=answer)]
    prepare_view(state, apply_moves(view_id, base, prepare.moves), prepare.urgent)
    return (
        [_create_acknowledgement(state, sender)] if state.is_view_acknowledged else []
    )


def prepare_view(state: FlowState, view: View, urgent: bool) -> None:
    """Start a change of view.

    Unless the change is urgent, the early lists of pins are exchanged before the view
    is acknowledged. Buckets that differ from the view in force here are unsettled from
    the acknowledgement on.
    """
    state.prepared_view = view
    report = state.members.report
    state.members.report = report._replace(newest_view=view.identity)
    state.prepared_urgent = urgent
    state.is_view_acknowledged = False
    if state.is_round_finished:
        shared_flows = state.exchange.keys_known_to_all()
        state.exchange.known_to_all |= {
            f for f in shared_flows if is_exception(state, f)
        }
    state.exchange.begin()
    state.is_round_finished = False
    state.pull_positions.clear()
    state.peers_with_early_lists.clear()
    changed = changed_buckets(state.view, view)
    state.missing_early_buckets = {
        peer: {service: set(buckets) for service, buckets in changed.items()}
        for peer in state.members.live_names
    }
    if urgent or not any(state.missing_early_buckets.values()):
        acknowledge_without_lists(state)


def is_exception(state: FlowState, flow: FlowKey) -> bool:
    """Return whether the pin of a flow differs from the view in force."""
    if flow.service not in state.tables:
        return False
    pin = state.tables[flow.service].get(flow.key)
    pin = pin or state.exceptions[flow.service].get(flow.key)
    chosen = state.view.buckets(flow.service)[bucket_of(flow.key)]
    return pin is not None and pin.upstream != chosen


def acknowledge_without_lists(state: FlowState) -> None:
    """Acknowledge the prepared view without waiting for the missing early lists."""
    state.missing_early_buckets = {}
    acknowledge_view(state)


def acknowledge_view(state: FlowState) -> None:
    """Mark the prepared view as acknowledged and its moving buckets as unsettled."""
    if state.prepared_view is None or state.is_view_acknowledged:
        return
    state.is_view_acknowledged = True
    changed = changed_buckets(state.view, state.prepared_view)
    for peer in state.members.live_names:
        state.mark_missing(peer, changed)


def _create_acknowledgement(state: FlowState, coordinator: str) -> SendToPeer:
    if state.prepared_view is not None:
        answer = ViewPrepared(view=state.prepared_view.identity)
    else:
        answer = ViewPrepared(view=state.view.identity, settled=state.is_settled())
    return SendToPeer(peer=coordinator, message=answer)


def handle_activate(
    state: FlowState, sender: str, activate: ViewActivate
) -> list[FlowEffect]:
    """Put a prepared view in force."""
    if state.view.identity == activate.view:
        return (
            [_create_acknowledgement(state, sender)]
            if state.prepared_view is None
            else []
        )
    if state.prepared_view is None or state.prepared_view.identity != activate.view:
        if not activate.view.supersedes(state.view.identity):
            return []
        answer = ViewPrepared(view=activate.view, needs_full_view=True)
        return [SendToPeer(peer=sender, message=answer)]
    activate_view(state)
    return [_create_acknowledgement(state, sender)]


def activate_view(state: FlowState) -> None:
    """Put the prepared view in force."""
    if state.prepared_view is None:
        return
    acknowledge_without_lists(state)
    state.view = state.prepared_view
    state.prepared_view = None
    state.exchange.activate()
    state.has_differing_views = False
    restart_queries(state)
    report = state.members.report
    state.members.report = report._replace(view_number=state.view.identity.number)
