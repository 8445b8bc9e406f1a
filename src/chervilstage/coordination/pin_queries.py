"""Queries to the peers about flows without a pin, and the answers to them."""

from __future__ import annotations

from collections import defaultdict

from ..state.flow_messages import PinAnnouncement, PinAnswer, PinItem, PinQuery
from ..state.flow_state import Confirmation, FlowKey, FlowState
from ..state.flow_table import Pin
from ..state.types import UpstreamId
from ..state.view import bucket_of
from .flow_effects import FlowEffect, ReleasePackets, SendToPeer
from .flows import choose_bucket_upstream, place_flow, store_pin, successor_of
from .hand_over import adopt_pin, record_adopted_pins

# The longest time that a packet is held: within a lease of 1 s a peer either answers or
# counts as lost. Without the answer of a live peer a flow is not placed, as the peer
# may have its pin; a retransmission by the caller starts another query.
MAX_HOLD_SECONDS = 1.2
RESEND_INTERVAL_SECONDS = 0.3
# Queries are sent at this interval, so that one datagram carries many flows: with
# queries at each tick the headers alone would exceed the control budget.
QUERY_INTERVAL_SECONDS = 0.1
MAX_QUERY_ITEMS = 120
# Answers to older queries are ignored; their flows are queried again.
MAX_OPEN_QUERIES = 4_096
CONFIRM_TIMEOUT_SECONDS = 1.0
MAX_CONFIRM_ITEMS = 60


def send_queries(state: FlowState, now: float) -> list[FlowEffect]:
    """Return the queries that are due, many flows in each."""
    if now - state.last_query_at < QUERY_INTERVAL_SECONDS:
        return []
    due: defaultdict[tuple[str, str, bool], list[PinItem]] = defaultdict(list)
    for flow, pending in state.pending.items():
        if now - pending.asked_at < RESEND_INTERVAL_SECONDS:
            continue
        state.pending[flow] = pending._replace(asked_at=now)
        item = PinItem(key=flow.key, upstream=pending.proposal, number=pending.number)
        for peer in pending.awaited_peers:
            due[(peer, flow.service, pending.adopt)].append(item)
    if due:
        state.last_query_at = now
    effects: list[FlowEffect] = []
    for (peer, service, adopt), items in sorted(due.items()):
        for start in range(0, len(items), MAX_QUERY_ITEMS):
            chunk = tuple(items[start : start + MAX_QUERY_ITEMS])
            query = _create_query(state, service, chunk)._replace(adopt=adopt)
            effects.append(SendToPeer(peer=peer, message=query))
    return effects


def _create_query(
    state: FlowState, service: str, items: tuple[PinItem, ...]
) -> PinQuery:
    """Create a query and record its keys, so that its answer can be evaluated."""
    state.last_query_number += 1
    state.queried_keys[state.last_query_number] = tuple(item.key for item in items)
    while len(state.queried_keys) > MAX_OPEN_QUERIES:
        del state.queried_keys[next(iter(state.queried_keys))]
    return PinQuery(query=state.last_query_number, service=service, items=items)


def answer_query(
    state: FlowState, sender: str, query: PinQuery, now: float
) -> list[FlowEffect]:
    """Answer a query of a peer.

    If two entries query each other about one flow at the same time, both adopt the
    choice made under the newer view. If both were made under the same view, they adopt
    the choice of the entry with the lower name.
    """
    if query.service not in state.tables or sender not in state.members.live_names:
        # This entry does not query an entry that it counts as lost, so it must not let
        # that entry place flows either.
        return []
    if query.adopt and state.members.report.leaving:
        return []
    items = []
    for item in query.items:
        flow = FlowKey(service=query.service, key=item.key)
        if query.adopt:
            _adopt_flow(state, flow, item, now)
        known_item = known_pin(state, flow, now, not query.confirm)
        if known_item is None and not query.confirm and not query.adopt:
            known_item = _resolve_conflict(state, sender, flow, item)
        if known_item is not None:
            items.append(known_item)
    answer = PinAnswer(query=query.query, service=query.service, items=tuple(items))
    return [SendToPeer(peer=sender, message=answer)]


def _adopt_flow(state: FlowState, flow: FlowKey, item: PinItem, now: float) -> None:
    """Pin a flow for a leaving peer.

    If other peers must be queried first, the leaving peer repeats its query.
    """
    if state.tables[flow.service].get(flow.key) is None:
        if item.pinned:
            adopt_pin(state, flow, item, now)
        else:
            place_flow(state, flow.service, flow.key, now)


def known_pin(
    state: FlowState, flow: FlowKey, now: float, include_exceptions: bool
) -> PinItem | None:
    """Return the pin of a flow that this entry knows, if its upstream can be used.

    :param include_exceptions: whether to include exceptions that have no pin here.
    """
    table = state.tables[flow.service]
    pin = table.get(flow.key)
    if pin is not None and table.is_idle(pin, now):
        pin = None
    if pin is None and include_exceptions:
        pin = state.exceptions[flow.service].get(flow.key)
        if pin is not None and state.is_pin_stale(flow.service, pin, now):
            pin = None
    if pin is None or not state.is_usable(pin.upstream):
        return None
    return PinItem(key=flow.key, upstream=pin.upstream, number=pin.number, pinned=True)


def _resolve_conflict(
    state: FlowState, sender: str, flow: FlowKey, item: PinItem
) -> PinItem | None:
    """Return this entry's choice for a flow if it prevails over the sender's.

    If this entry queries its peers about the flow as well and the sender's choice
    prevails, it is stored as an answer.
    """
    own = state.pending.get(flow)
    if own is None:
        return _choose_under_newer_view(state, flow, item)
    if (-item.number, sender) < (-own.number, state.name):
        if not state.has_ended(item.upstream):
            _update_best_answer(state, flow, sender, item)
        return None
    return PinItem(key=flow.key, upstream=own.proposal, number=own.number)


def _choose_under_newer_view(
    state: FlowState, flow: FlowKey, item: PinItem
) -> PinItem | None:
    """Return this entry's choice if its view is newer than that of the sender."""
    number = state.view.identity.number
    if item.number >= number:
        return None
    upstream = choose_bucket_upstream(state, flow.service, bucket_of(flow.key))
    if upstream is None:
        return None
    return PinItem(key=flow.key, upstream=upstream, number=number)


def _update_best_answer(
    state: FlowState, flow: FlowKey, sender: str, item: PinItem
) -> None:
    """Store an answer if it ranks above the best one so far."""
    pending_flow = state.pending[flow]
    pin = Pin(upstream=item.upstream, used_at=pending_flow.since, number=item.number)
    if pending_flow.best_answer is not None:
        rank = _answer_rank(
            pending_flow.is_best_pinned,
            pending_flow.best_answer.number,
            pending_flow.best_sender,
        )
        if rank <= _answer_rank(item.pinned, item.number, sender):
            return
    state.pending[flow] = pending_flow._replace(
        best_answer=pin, is_best_pinned=item.pinned, best_sender=sender
    )


def _answer_rank(pinned: bool, number: int, name: str) -> tuple[bool, int, str]:
    """Return a sort key: the oldest pin first, then the choice of the newest view."""
    return (not pinned, number if pinned else -number, name)


def handle_pin_answer(
    state: FlowState, sender: str, answer: PinAnswer, now: float
) -> list[FlowEffect]:
    """Handle an answer; the peer does not know the queried flows that it omits."""
    items = {item.key: item for item in answer.items}
    record_adopted_pins(state, answer.service, answer.items)
    effects: list[FlowEffect] = []
    for key in state.queried_keys.pop(answer.query, ()):
        flow = FlowKey(service=answer.service, key=key)
        item = items.get(key)
        if flow in state.pending_confirmations:
            _handle_confirmation(state, sender, flow, item, now)
        pending = state.pending.get(flow)
        if pending is None or answer.query <= pending.last_ignored_query:
            continue
        if item is not None and not state.has_ended(item.upstream):
            _update_best_answer(state, flow, sender, item)
        pending = state.pending[flow]
        if pending.adopt and not pending.is_best_pinned:
            continue
        waiting = pending.awaited_peers - {sender}
        state.pending[flow] = pending._replace(awaited_peers=waiting)
        if not waiting:
            effects.extend(decide_pending(state, flow, now))
    return effects


def decide_pending(state: FlowState, flow: FlowKey, now: float) -> list[FlowEffect]:
    """Decide a pending flow by the answers that have arrived."""
    pending = state.pending.pop(flow)
    if flow.service not in state.tables:
        return []
    best = pending.best_answer
    upstream = best.upstream if best else pending.proposal
    is_undecided = pending.adopt and not pending.is_best_pinned
    # An open flow stays at a silent upstream, but no new flow is placed there.
    is_allowed = (
        state.is_usable if pending.is_best_pinned else state.can_accept_new_flows
    )
    if is_undecided or not is_allowed(upstream):
        state.counters.add("flows_undecided", flow.service)
        return [ReleasePackets(service=flow.service, key=flow.key, upstream=None)]
    release = ReleasePackets(service=flow.service, key=flow.key, upstream=upstream)
    if best and pending.is_best_pinned:
        # The entry that made the pin reports it to all entries. If this entry reported
        # it too, the other one would omit it from its lists, also for peers that have
        # already received the list of this entry.
        store_pin(state, flow, best._replace(used_at=now), now)
        state.exchange.record_announcement(flow)
        return [release]
    if successor_of(state, flow.service, bucket_of(flow.key)) and state.hand_over:
        state.hand_over.unacknowledged[flow] = None
    number = max(pending.number, best.number if best else 0)
    store_pin(state, flow, Pin(upstream=upstream, used_at=now, number=number), now)
    return [release, *announce_exception(state, flow, upstream)]


def announce_exception(
    state: FlowState, flow: FlowKey, upstream: UpstreamId
) -> list[FlowEffect]:
    """Return messages that report a new pin which differs from the view."""
    if upstream == state.view.buckets(flow.service)[bucket_of(flow.key)]:
        return []
    pin = state.tables[flow.service].get(flow.key)
    number = pin.number if pin else 0
    item = PinItem(key=flow.key, upstream=upstream, number=number, pinned=True)
    message = PinAnnouncement(service=flow.service, items=(item,))
    return [
        SendToPeer(peer=peer, message=message)
        for peer in sorted(state.members.live_names)
    ]


def restart_queries(state: FlowState) -> None:
    """Restart the queries for all pending flows after a view has come into force.

    An earlier answer may predate a pin that its sender made under the previous view,
    and an earlier choice may differ from the new view.
    """
    for flow, pending in list(state.pending.items()):
        bucket = bucket_of(flow.key)
        proposal = choose_bucket_upstream(state, flow.service, bucket)
        proposal = proposal or state.view.buckets(flow.service)[bucket]
        if proposal is None:
            continue
        state.pending[flow] = pending._replace(
            proposal=proposal,
            number=state.view.identity.number,
            awaited_peers=pending.awaited_peers.union(state.members.live_names),
            asked_at=float("-inf"),
            since=state.last_tick_at,
            last_ignored_query=state.last_query_number,
            best_answer=None,
            is_best_pinned=False,
        )


def expire_pending(state: FlowState, now: float) -> list[FlowEffect]:
    """Decide the flows that await no live peer, and those that were held too long.

    The packets of a flow that was held too long are dropped, unless a peer has reported
    a pin of it.
    """
    live = state.members.live_names.union(state.missing_buckets)
    effects: list[FlowEffect] = []
    for flow, pending in list(state.pending.items()):
        waiting = pending.awaited_peers & live
        has_timed_out = now - pending.since >= MAX_HOLD_SECONDS
        if waiting and not has_timed_out:
            continue
        if waiting and not pending.is_best_pinned:
            state.counters.add("flows_unanswered", flow.service)
            del state.pending[flow]
            effects.append(
                ReleasePackets(service=flow.service, key=flow.key, upstream=None)
            )
            continue
        effects.extend(decide_pending(state, flow, now))
    return effects


def store_reported_exceptions(
    state: FlowState, service: str, items: tuple[PinItem, ...]
) -> None:
    """Store the exceptions that a peer reports; the oldest pin wins."""
    table = state.tables.get(service)
    if table is None:
        return
    for item in items:
        if state.has_ended(item.upstream):
            continue
        flow = FlowKey(service=service, key=item.key)
        if flow in state.pending:
            _update_best_answer(state, flow, "", item._replace(pinned=True))
        pin = table.get(item.key)
        if pin is not None and state.has_ended(pin.upstream):
            table.remove(item.key)
            state.exchange.remove_flow(flow)
            pin = None
        reported_pin = Pin(
            upstream=item.upstream, used_at=state.last_tick_at, number=item.number
        )
        if pin is not None and pin.upstream == item.upstream:
            continue
        is_older = pin is not None and item.number < pin.number
        if pin is not None and is_older and state.is_usable(item.upstream):
            table.put(item.key, reported_pin._replace(used_at=pin.used_at))
            state.counters.add("flows_broken", "pins_differed")
            continue
        # Stored also if there is a pin: the upstream of that pin may have ended without
        # this entry knowing it.
        stored_pin = state.exceptions[service].get(item.key)
        stored_upstream_ended = stored_pin is not None and state.has_ended(
            stored_pin.upstream
        )
        if (
            stored_pin is None
            or stored_upstream_ended
            or stored_pin.number >= item.number
        ):
            state.exceptions[service].put(item.key, reported_pin)


def confirm_exceptions(state: FlowState, now: float) -> list[FlowEffect]:
    """Query peers about some exceptions that are idle here.

    An exception is removed once every peer has answered without confirming that its
    flow is in use.
    """
    for flow, confirmation in list(state.pending_confirmations.items()):
        if now - confirmation.since >= CONFIRM_TIMEOUT_SECONDS:
            # A peer that did not answer may have the flow: it is queried again later.
            del state.pending_confirmations[flow]
    if (
        state.pending_confirmations
        or not state.exception_count()
        or not state.is_settled()
    ):
        return []
    if not state.exception_sweep:
        state.exception_sweep = [
            FlowKey(service=service, key=key)
            for service, service_exceptions in state.exceptions.items()
            for key in list(service_exceptions.keys())
        ]
    live = sorted(state.members.live_names)
    due: defaultdict[str, list[PinItem]] = defaultdict(list)
    for _ in range(min(MAX_CONFIRM_ITEMS, len(state.exception_sweep))):
        flow = state.exception_sweep.pop()
        if flow.service not in state.tables:
            continue
        pin = state.exceptions[flow.service].get(flow.key)
        if pin is None or not state.tables[flow.service].is_idle(pin, now):
            continue
        if not live:
            state.exceptions[flow.service].pop(flow.key)
            continue
        state.pending_confirmations[flow] = Confirmation(
            awaited_peers=frozenset(live), since=now
        )
        due[flow.service].append(PinItem(key=flow.key, upstream=pin.upstream))
    return [
        SendToPeer(
            peer=peer,
            message=_create_query(state, service, tuple(items))._replace(confirm=True),
        )
        for service, items in due.items()
        for peer in live
    ]


def _handle_confirmation(
    state: FlowState, sender: str, flow: FlowKey, item: PinItem | None, now: float
) -> None:
    """Handle an answer about an idle exception.

    :param item: the pin of the peer, None if it does not know the flow.
    """
    confirmation = state.pending_confirmations.pop(flow)
    service_exceptions = state.exceptions[flow.service]
    if item is not None and item.pinned:
        stored_pin = service_exceptions.get(flow.key)
        if stored_pin is not None:
            service_exceptions.put(flow.key, stored_pin._replace(used_at=now))
        return
    waiting = confirmation.awaited_peers - {sender}
    if waiting:
        state.pending_confirmations[flow] = confirmation._replace(awaited_peers=waiting)
    else:
        service_exceptions.pop(flow.key)
        state.discard_from_exchange(flow.service, flow.key)
