"""Coordinates changes of the view; each change is a round."""

from __future__ import annotations

from ..state.flow_messages import ViewActivate, ViewPrepare, ViewPrepared
from ..state.flow_state import FlowState, ViewRound
from ..state.types import UpstreamId, UpstreamPhase
from ..state.view import BUCKETS, View, ViewId, changed_buckets
from .flow_effects import FlowEffect, SendToPeer
from .flows import records_in_service
from .ramp import flow_weight
from .view import Weights, compute_view, has_misassigned_bucket
from .view_change import NO_VIEW, activate_view, prepare_view, view_moves

RESEND_INTERVAL_SECONDS = 0.2
# Used once the view is in force at every entry, while some lists are still missing.
IN_FORCE_RESEND_INTERVAL_SECONDS = 1.0
# The bytes that an entry may send for the lists of one batch: a few seconds of its
# control budget of 14 KB/s, of which heartbeats and queries need a part.
BATCH_BYTES = 24_000
FINGERPRINT_BYTES = 6


def is_coordinator(state: FlowState) -> bool:
    """Return whether this entry coordinates the views of its group.

    The coordinator is the entry with the lowest name among the live entries that are
    not leaving and have a view in force. An entry that has just started or was paused
    first waits for its peers.
    """
    if state.peer_wait_ends_at != float("inf"):
        return False
    members = state.members
    live = members.live()
    with_view = [name for name in live if _reported_view_number(state, name)] or live
    staying = [name for name in with_view if members.is_staying(name)] or with_view
    return staying[0] == state.name


def _reported_view_number(state: FlowState, name: str) -> int:
    if name == state.name:
        return state.view.identity.number
    return state.members.members[name].report.view_number


def view_weights(state: FlowState) -> dict[str, dict[UpstreamId, float]]:
    """Return the upstreams that may get new flows and their weights, by service.

    The weight of an upstream that has just started, or whose data centre has returned,
    grows in steps. An upstream in a data centre that is cut off stays in the view.
    """
    weights: dict[str, dict[UpstreamId, float]] = {}
    configuration = state.in_force.current
    ramp_base = state.registry.ramp_base
    for service in state.tables:
        records = records_in_service(
            state.registry.records_of_service(service), configuration
        )
        weights[service] = {
            record.identity: flow_weight(
                record, ramp_base.get(record.identity.address, 0)
            )
            for record in records
            if record.phase is UpstreamPhase.READY
        }
    return weights


def batch_size(state: FlowState) -> int:
    """Return how many buckets may move at once within the control budget.

    Each of the other entries receives every fingerprint of a bucket once, and the
    entries divide the sending among themselves.
    """
    entries = len(state.members.live())
    bytes_per_bucket = (
        state.pin_count() / BUCKETS * FINGERPRINT_BYTES * (entries - 1) / entries
    )
    return max(1, min(BUCKETS, int(BATCH_BYTES / max(bytes_per_bucket, 1.0))))


def run_rounds(state: FlowState, now: float) -> list[FlowEffect]:
    """Advance the round of this entry, or begin one if the view has to change."""
    if not is_coordinator(state):
        state.view_round = None
        return []
    if _is_view_outdated(state):
        state.has_differing_views = True
    weights = view_weights(state)
    urgent = (
        has_misassigned_bucket(weights, target_view(state)) or state.has_differing_views
    )
    if state.view_round is None or (
        urgent and _should_replace_target_view(state, weights)
    ):
        _begin_round(state, weights, urgent)
    if state.view_round is None:
        return _update_lagging_entries(state, now)
    return _advance_round(state, now)


def _is_view_outdated(state: FlowState) -> bool:
    """Return whether an entry has a view that this coordinator's view cannot replace.

    Such a view was prepared by a coordinator that is gone, or made while this entry
    counted as lost. An entry accepts no older view, and requests no lists while it has
    a prepared view that never comes into force.
    """
    view = target_view(state).identity
    reports = [state.members.members[n].report for n in state.members.live_names]
    newest_views = [report.newest_view for report in reports]
    if state.prepared_view is not None:
        newest_views.append(state.prepared_view.identity)
    return any(other.supersedes(view) for other in newest_views) or any(
        report.view_number > view.number for report in reports
    )


def target_view(state: FlowState) -> View:
    """Return the view of the current round, or else the view in force."""
    return state.view_round.view if state.view_round else state.view


def _should_replace_target_view(state: FlowState, weights: Weights) -> bool:
    """Return whether the target view is unsuitable and must be replaced."""
    view = target_view(state)
    return state.has_differing_views or has_misassigned_bucket(weights, view)


def _begin_round(state: FlowState, weights: Weights, urgent: bool) -> None:
    """Begin a round if the next view differs from the one in force."""
    if not state.is_settled() and not urgent:
        return
    inputs = (weights, state.view.identity, state.has_differing_views)
    if inputs == state.last_view_inputs:
        return
    # An urgent change includes a batch that has been prepared. Otherwise repeated
    # urgent changes would restart the batch for ever.
    is_prepared = state.prepared_view is not None
    batch = batch_size(state) if is_prepared or not urgent else 0
    view = compute_view(ViewId(), weights, state.view, batch)
    if not changed_buckets(state.view, view) and not state.has_differing_views:
        state.last_view_inputs = inputs
        return
    state.has_differing_views = False
    view = view._replace(identity=state.next_view_id())
    state.view_round = ViewRound(view=view, base=state.view, urgent=urgent)
    prepare_view(state, view, urgent)


def _advance_round(state: FlowState, now: float) -> list[FlowEffect]:
    """Activate the view once all live entries have prepared it, and end the round.

    The round ends once every live entry has put the view in force and has received
    every list.
    """
    round_ = state.view_round
    if round_ is None:
        return []
    live = state.members.live_names
    if not round_.active and state.is_view_acknowledged and live <= round_.prepared:
        if state.prepared_view is not None and state.prepared_view.identity == (
            round_.view.identity
        ):
            activate_view(state)
            round_ = round_._replace(active=True, sent_at=float("-inf"))
    elif not round_.active and (
        state.prepared_view is None
        or state.prepared_view.identity != round_.view.identity
    ):
        # The view of another coordinator has replaced the view of this round.
        state.view_round = None
        return []
    if round_.active and state.is_settled() and live <= round_.settled:
        state.is_round_finished = True
        state.view_round = None
        return []
    state.view_round = round_
    return _resend(state, now)


def _resend(state: FlowState, now: float) -> list[FlowEffect]:
    """Return, at intervals, the messages that peers have not acknowledged."""
    round_ = state.view_round
    if round_ is None:
        return []
    reported_numbers = {
        name: state.members.members[name].report.view_number
        for name in state.members.live_names
    }
    number = round_.view.identity.number
    is_in_force_everywhere = round_.active and all(
        n >= number for n in reported_numbers.values()
    )
    interval = (
        IN_FORCE_RESEND_INTERVAL_SECONDS
        if is_in_force_everywhere
        else RESEND_INTERVAL_SECONDS
    )
    if now - round_.sent_at < interval:
        return []
    state.view_round = round_._replace(sent_at=now)
    effects: list[FlowEffect] = []
    for peer in sorted(state.members.live_names):
        if not round_.active and peer not in round_.prepared:
            effects.append(_create_prepare_message(round_, peer))
        elif round_.active and peer not in round_.settled:
            message = ViewActivate(view=round_.view.identity)
            effects.append(SendToPeer(peer=peer, message=message))
    return effects


def _create_prepare_message(round_: ViewRound, peer: str) -> SendToPeer:
    base = NO_VIEW if peer in round_.needs_full_view else round_.base
    message = ViewPrepare(
        view=round_.view.identity,
        base=base.identity,
        urgent=round_.urgent,
        moves=view_moves(base, round_.view),
    )
    return SendToPeer(peer=peer, message=message)


def _update_lagging_entries(state: FlowState, now: float) -> list[FlowEffect]:
    """Begin a round that sends the view in force to entries with an older one."""
    number = state.view.identity.number
    lagging = {
        name
        for name in state.members.live_names
        if state.members.members[name].report.view_number < number
    }
    if lagging and number:
        live = frozenset(state.members.live_names)
        state.view_round = ViewRound(
            view=state.view,
            base=state.view,
            urgent=True,
            prepared=live - lagging,
            needs_full_view=frozenset(lagging),
            active=True,
        )
    return []


def handle_prepared(
    state: FlowState, sender: str, answer: ViewPrepared, now: float
) -> list[FlowEffect]:
    """Handle an acknowledgement of a peer."""
    round_ = state.view_round
    if round_ is None or answer.view != round_.view.identity:
        return []
    if answer.needs_full_view:
        state.view_round = round_._replace(
            needs_full_view=round_.needs_full_view | {sender},
            prepared=round_.prepared - {sender},
        )
        return [_create_prepare_message(state.view_round, sender)]
    prepared = round_.prepared | {sender}
    settled = round_.settled | {sender} if answer.settled else round_.settled
    state.view_round = round_._replace(prepared=prepared, settled=settled)
    if round_.active and not answer.settled and sender not in round_.prepared:
        message = ViewActivate(view=round_.view.identity)
        return [SendToPeer(peer=sender, message=message)]
    return run_rounds(state, now) if is_prepared_by_live_peers(state) else []


def is_prepared_by_live_peers(state: FlowState) -> bool:
    """Return whether every live peer has prepared the view of the round."""
    round_ = state.view_round
    return (
        round_ is not None
        and not round_.active
        and state.members.live_names <= round_.prepared
    )
