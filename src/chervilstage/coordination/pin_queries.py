"""Questions to the peers about flows without a pin, and their answers."""

from __future__ import annotations

from collections import defaultdict

from ..state.flow_messages import PinAnswer, PinItem, PinQuery, PinTold
from ..state.flow_state import Confirmation, FlowKey, FlowState
from ..state.flow_table import Pin
from ..state.types import UpstreamId
from ..state.view import bucket_of
from .flow_effects import FlowEffect, Release, SendPeer
from .flows import choose_upstream_of, place_flow, put_pin, successor_of
from .hand_over import adopt_pin, take_adopted

# A packet is held for at most this long: within a lease of 1 s a peer answers or is
# counted as lost. Without the answer of a live peer a flow is not placed, as the peer
# may hold its pin; the caller's retransmission asks again.
HOLD_SECONDS = 1.2
RESEND_SECONDS = 0.3
# Queries leave at this interval, so that one datagram carries many flows: with one at
# each tick the headers alone exceed the control budget.
QUERY_SECONDS = 0.1
QUERY_ITEMS = 120
# Answers to older queries are ignored; the flows are asked about again.
MAXIMUM_QUERIES = 4_096
CONFIRM_SECONDS = 1.0
CONFIRM_ITEMS = 60


def send_queries(state: FlowState, now: float) -> list[FlowEffect]:
    """Return the queries that are due, many flows in each."""
    if now - state.queried_at < QUERY_SECONDS:
        return []
    due: defaultdict[tuple[str, str, bool], list[PinItem]] = defaultdict(list)
    for flow, pending in state.pending.items():
        if now - pending.asked_at < RESEND_SECONDS:
            continue
        state.pending[flow] = pending._replace(asked_at=now)
        item = PinItem(key=flow.key, upstream=pending.proposal, number=pending.number)
        for peer in pending.waiting:
            due[(peer, flow.service, pending.adopt)].append(item)
    if due:
        state.queried_at = now
    effects: list[FlowEffect] = []
    for (peer, service, adopt), items in sorted(due.items()):
        for start in range(0, len(items), QUERY_ITEMS):
            part = tuple(items[start : start + QUERY_ITEMS])
            query = _query(state, service, part)._replace(adopt=adopt)
            effects.append(SendPeer(peer=peer, message=query))
    return effects


def _query(state: FlowState, service: str, items: tuple[PinItem, ...]) -> PinQuery:
    state.queries += 1
    state.asked[state.queries] = tuple(item.key for item in items)
    while len(state.asked) > MAXIMUM_QUERIES:
        del state.asked[next(iter(state.asked))]
    return PinQuery(query=state.queries, service=service, items=items)


def answer_query(
    state: FlowState, sender: str, query: PinQuery, now: float
) -> list[FlowEffect]:
    """Answer a peer's query.

    Of two entries that ask about one flow at once both take the choice under the newer
    view, and the lower name's choice under the same view.
    """
    if query.service not in state.tables or sender not in state.members.live_names:
        # This entry asks nothing of an entry that it counts as lost, so it must not
        # let that entry place flows either.
        return []
    if query.adopt and state.members.report.leaving:
        return []
    items = []
    for item in query.items:
        flow = FlowKey(service=query.service, key=item.key)
        if query.adopt:
            _adopt(state, flow, item, now)
        known = known_pin(state, flow, now, not query.confirm)
        if known is None and not query.confirm and not query.adopt:
            known = _meet_choice(state, sender, flow, item)
        if known is not None:
            items.append(known)
    answer = PinAnswer(query=query.query, service=query.service, items=tuple(items))
    return [SendPeer(peer=sender, message=answer)]


def _adopt(state: FlowState, flow: FlowKey, item: PinItem, now: float) -> None:
    """Pin a flow for a leaving peer; one that has to be asked about comes again."""
    if state.tables[flow.service].get(flow.key) is None:
        if item.pinned:
            adopt_pin(state, flow, item, now)
        else:
            place_flow(state, flow.service, flow.key, now)


def known_pin(
    state: FlowState, flow: FlowKey, now: float, exceptions: bool
) -> PinItem | None:
    """Return what this entry holds of a flow, if its upstream can be used.

    :param exceptions: whether an exception without a pin counts.
    """
    table = state.tables[flow.service]
    pin = table.get(flow.key)
    if pin is not None and table.is_idle(pin, now):
        pin = None
    if pin is None and exceptions:
        pin = state.exceptions[flow.service].get(flow.key)
        if pin is not None and state.is_over(flow.service, pin, now):
            pin = None
    if pin is None or not state.is_usable(pin.upstream):
        return None
    return PinItem(key=flow.key, upstream=pin.upstream, number=pin.number, pinned=True)


def _meet_choice(
    state: FlowState, sender: str, flow: FlowKey, item: PinItem
) -> PinItem | None:
    own = state.pending.get(flow)
    if own is None:
        return _newer_choice(state, flow, item)
    if (-item.number, sender) < (-own.number, state.name):
        if not state.has_ended(item.upstream):
            _improve(state, flow, sender, item)
        return None
    return PinItem(key=flow.key, upstream=own.proposal, number=own.number)


def _newer_choice(state: FlowState, flow: FlowKey, item: PinItem) -> PinItem | None:
    """Return this entry's choice if its view is newer than that of the asker."""
    number = state.view.identity.number
    if item.number >= number:
        return None
    upstream = choose_upstream_of(state, flow.service, bucket_of(flow.key))
    if upstream is None:
        return None
    return PinItem(key=flow.key, upstream=upstream, number=number)


def _improve(state: FlowState, flow: FlowKey, sender: str, item: PinItem) -> None:
    """Keep an answer if it is better than the best so far."""
    held = state.pending[flow]
    pin = Pin(upstream=item.upstream, used_at=held.since, number=item.number)
    if held.best is not None:
        rank = _rank(held.best_pinned, held.best.number, held.best_from)
        if rank <= _rank(item.pinned, item.number, sender):
            return
    state.pending[flow] = held._replace(
        best=pin, best_pinned=item.pinned, best_from=sender
    )


def _rank(pinned: bool, number: int, name: str) -> tuple[bool, int, str]:
    """Order answers: the oldest pin first, then the choice under the newest view."""
    return (not pinned, number if pinned else -number, name)


def take_answer(
    state: FlowState, sender: str, answer: PinAnswer, now: float
) -> list[FlowEffect]:
    """Take an answer; flows of its query that it leaves out the peer does not know."""
    items = {item.key: item for item in answer.items}
    take_adopted(state, answer.service, answer.items)
    effects: list[FlowEffect] = []
    for key in state.asked.pop(answer.query, ()):
        flow = FlowKey(service=answer.service, key=key)
        item = items.get(key)
        if flow in state.confirming:
            _take_confirmation(state, sender, flow, item, now)
        pending = state.pending.get(flow)
        if pending is None or answer.query <= pending.older:
            continue
        if item is not None and not state.has_ended(item.upstream):
            _improve(state, flow, sender, item)
        pending = state.pending[flow]
        if pending.adopt and not pending.best_pinned:
            continue
        waiting = pending.waiting - {sender}
        state.pending[flow] = pending._replace(waiting=waiting)
        if not waiting:
            effects.extend(decide_pending(state, flow, now))
    return effects


def decide_pending(state: FlowState, flow: FlowKey, now: float) -> list[FlowEffect]:
    """Pin a flow after the answers that have come."""
    pending = state.pending.pop(flow)
    if flow.service not in state.tables:
        return []
    best = pending.best
    upstream = best.upstream if best else pending.proposal
    undecided = pending.adopt and not pending.best_pinned
    # An open flow stays with a silent upstream; none is placed there anew.
    can_go = state.is_usable if pending.best_pinned else state.takes_new_flows
    if undecided or not can_go(upstream):
        state.counters.add("flows_undecided", flow.service)
        return [Release(service=flow.service, key=flow.key, upstream=None)]
    released = Release(service=flow.service, key=flow.key, upstream=upstream)
    if best and pending.best_pinned:
        # Whoever made the pin tells all entries of it; telling it here too would make
        # that entry leave it out for peers that have this entry's list already.
        put_pin(state, flow, best._replace(used_at=now), now)
        state.exchange.hear(flow)
        return [released]
    if successor_of(state, flow.service, bucket_of(flow.key)) and state.hand_over:
        state.hand_over.unacknowledged[flow] = None
    number = max(pending.number, best.number if best else 0)
    put_pin(state, flow, Pin(upstream=upstream, used_at=now, number=number), now)
    return [released, *tell_exception(state, flow, upstream)]


def tell_exception(
    state: FlowState, flow: FlowKey, upstream: UpstreamId
) -> list[FlowEffect]:
    """Tell the peers of a new pin that they would not choose by the view."""
    if upstream == state.view.buckets(flow.service)[bucket_of(flow.key)]:
        return []
    pin = state.tables[flow.service].get(flow.key)
    number = pin.number if pin else 0
    item = PinItem(key=flow.key, upstream=upstream, number=number, pinned=True)
    message = PinTold(service=flow.service, items=(item,))
    return [
        SendPeer(peer=peer, message=message)
        for peer in sorted(state.members.live_names)
    ]


def ask_again(state: FlowState) -> None:
    """Ask anew about every flow after a view has come in force.

    An earlier answer may be older than a pin that its sender made under the view
    before, and an earlier choice may differ from the new view.
    """
    for flow, pending in list(state.pending.items()):
        bucket = bucket_of(flow.key)
        proposal = choose_upstream_of(state, flow.service, bucket)
        proposal = proposal or state.view.buckets(flow.service)[bucket]
        if proposal is None:
            continue
        state.pending[flow] = pending._replace(
            proposal=proposal,
            number=state.view.identity.number,
            waiting=pending.waiting.union(state.members.live_names),
            asked_at=float("-inf"),
            since=state.ticked_at,
            older=state.queries,
            best=None,
            best_pinned=False,
        )


def expire_pending(state: FlowState, now: float) -> list[FlowEffect]:
    """Decide the flows that have been held for as long as is allowed."""
    live = state.members.live_names.union(state.missing)
    effects: list[FlowEffect] = []
    for flow, pending in list(state.pending.items()):
        waiting = pending.waiting & live
        late = now - pending.since >= HOLD_SECONDS
        if waiting and not late:
            continue
        if waiting and not pending.best_pinned:
            state.counters.add("flows_unanswered", flow.service)
            del state.pending[flow]
            effects.append(Release(service=flow.service, key=flow.key, upstream=None))
            continue
        effects.extend(decide_pending(state, flow, now))
    return effects


def take_told(state: FlowState, service: str, items: tuple[PinItem, ...]) -> None:
    """Keep the exceptions that a peer tells of; the oldest pin wins."""
    table = state.tables.get(service)
    if table is None:
        return
    for item in items:
        if state.has_ended(item.upstream):
            continue
        flow = FlowKey(service=service, key=item.key)
        if flow in state.pending:
            _improve(state, flow, "", item._replace(pinned=True))
        pin = table.get(item.key)
        if pin is not None and state.has_ended(pin.upstream):
            table.remove(item.key)
            state.exchange.forget(flow)
            pin = None
        told = Pin(upstream=item.upstream, used_at=state.ticked_at, number=item.number)
        if pin is not None and pin.upstream == item.upstream:
            continue
        older = pin is not None and item.number < pin.number
        if pin is not None and older and state.is_usable(item.upstream):
            table.put(item.key, told._replace(used_at=pin.used_at))
            state.counters.add("flows_broken", "pins_differed")
            continue
        # Also kept beside a pin: that pin's upstream may be gone without this entry
        # having heard of it.
        held = state.exceptions[service].get(item.key)
        ended = held is not None and state.has_ended(held.upstream)
        if held is None or ended or held.number >= item.number:
            state.exceptions[service].put(item.key, told)


def confirm_exceptions(state: FlowState, now: float) -> list[FlowEffect]:
    """Ask about some exceptions that are idle here, and drop unconfirmed ones."""
    for flow, confirmation in list(state.confirming.items()):
        if now - confirmation.since >= CONFIRM_SECONDS:
            # A peer that did not answer may hold the flow: it is asked again later.
            del state.confirming[flow]
    if state.confirming or not state.exceptions_known() or not state.is_settled():
        return []
    if not state.exception_sweep:
        state.exception_sweep = [
            FlowKey(service=service, key=key)
            for service, known in state.exceptions.items()
            for key in list(known.keys())
        ]
    live = sorted(state.members.live_names)
    due: defaultdict[str, list[PinItem]] = defaultdict(list)
    for _ in range(min(CONFIRM_ITEMS, len(state.exception_sweep))):
        flow = state.exception_sweep.pop()
        if flow.service not in state.tables:
            continue
        pin = state.exceptions[flow.service].get(flow.key)
        if pin is None or not state.tables[flow.service].is_idle(pin, now):
            continue
        if not live:
            state.exceptions[flow.service].pop(flow.key)
            continue
        state.confirming[flow] = Confirmation(waiting=frozenset(live), since=now)
        due[flow.service].append(PinItem(key=flow.key, upstream=pin.upstream))
    return [
        SendPeer(
            peer=peer,
            message=_query(state, service, tuple(items))._replace(confirm=True),
        )
        for service, items in due.items()
        for peer in live
    ]


def _take_confirmation(
    state: FlowState, sender: str, flow: FlowKey, item: PinItem | None, now: float
) -> None:
    confirmation = state.confirming.pop(flow)
    known = state.exceptions[flow.service]
    if item is not None and item.pinned:
        held = known.get(flow.key)
        if held is not None:
            known.put(flow.key, held._replace(used_at=now))
        return
    waiting = confirmation.waiting - {sender}
    if waiting:
        state.confirming[flow] = confirmation._replace(waiting=waiting)
    else:
        known.pop(flow.key)
        state.forget_told(flow.service, flow.key)
