"""The exchange of exceptions: each entry pulls the lists of its peers."""

from __future__ import annotations

from ..state.flow_messages import ListPage, ListRequest, PinItem
from ..state.flow_state import FlowKey, FlowState, PullPosition, ServiceBucket
from ..state.types import UpstreamId
from ..state.view import KEY_MASK, View
from .flow_effects import FlowEffect, SendPeer
from .pin_queries import take_told
from .view_change import acknowledge_view

# A page of 6 bytes a fingerprint fits an Ethernet frame with its envelope.
PAGE_ITEMS = 180
# The pace at which a peer's full pages are asked for: three peers that ask at this
# pace draw 9 KB/s from an entry, which leaves room for heartbeats and queries.
PAGE_SECONDS = 0.4
SMALL_PAGE_SECONDS = 0.02
RETRY_SECONDS = 0.3
# A request names few buckets where each fills a page.
FULL_PAGE_BUCKETS = 3

Missing = dict[str, set[int]]


def pull_lists(state: FlowState, now: float) -> list[FlowEffect]:
    """Return the list requests that are due."""
    if state.prepared is not None and not state.acknowledged:
        _finish_early(state)
    effects: list[FlowEffect] = []
    for peer in sorted(state.members.live_names):
        request = _next_request(state, peer, now)
        if request is not None:
            effects.append(SendPeer(peer=peer, message=request))
        elif state.members.members[peer].report.leaving:
            effects.extend(_release_peer(state, peer, now))
    return effects


def _release_peer(state: FlowState, peer: str, now: float) -> list[FlowEffect]:
    """Tell a leaving peer, now and then, that nothing of it is missing."""
    position = state.positions.get(peer, PullPosition())
    if any(state.missing.get(peer, {}).values()) or now < position.next_at:
        return []
    state.positions[peer] = position._replace(next_at=now + RETRY_SECONDS)
    return [SendPeer(peer=peer, message=nothing_missing(state))]


def _finish_early(state: FlowState) -> None:
    live = state.members.live_names
    if not any(any(b.values()) for n, b in state.early.items() if n in live):
        acknowledge_view(state)


def _next_request(state: FlowState, peer: str, now: float) -> ListRequest | None:
    early, missing, view = _wanted(state, peer)
    position = state.positions.get(peer, PullPosition())
    if view is None or now < position.next_at:
        return None
    service = min(name for name, buckets in missing.items() if buckets)
    order = _rotated(state, peer, missing[service])
    after = 0
    if position.service == service and position.bucket in missing[service]:
        order.remove(position.bucket)
        order.insert(0, position.bucket)
        after = position.after
    state.positions[peer] = position._replace(next_at=now + RETRY_SECONDS)
    return ListRequest(
        view=view.identity,
        service=service,
        buckets=tuple(order[:FULL_PAGE_BUCKETS] if position.full else order),
        after=after,
        early=early,
        whole=peer in state.whole and not early,
        had_early=peer in state.had_early,
    )


def _wanted(state: FlowState, peer: str) -> tuple[bool, Missing, View | None]:
    early = state.early.get(peer, {})
    if state.prepared is not None and not state.acknowledged and any(early.values()):
        return True, early, state.prepared
    missing = state.missing.get(peer, {})
    if state.prepared is None and any(missing.values()):
        return False, missing, state.view
    return False, {}, None


def _rotated(state: FlowState, peer: str, buckets: set[int]) -> list[int]:
    """Order buckets from a different place for each peer, to share the telling."""
    order = sorted(buckets)
    live = state.members.live()
    start = len(order) * live.index(peer) // len(live)
    return order[start:] + order[:start]


def answer_list(
    state: FlowState, sender: str, request: ListRequest
) -> list[FlowEffect]:
    """Answer a list request with a page; a view that is not known gets no answer."""
    view = _view_of(state, request)
    if not request.buckets:
        state.handed_to.add(sender)
        return []
    if view is None or request.service not in state.tables:
        return []
    counts = not request.whole and request.early == (state.prepared is not None)
    items: list[PinItem] = []
    done: list[int] = []
    after, partial = request.after, -1
    for bucket in request.buckets:
        told = _bucket_items(state, sender, request, bucket, view)
        rest = [item for item in told if item.key > after]
        room = PAGE_ITEMS - len(items)
        items.extend(rest[:room])
        is_done = len(rest) <= room
        if not is_done:
            partial = bucket
            after = rest[room - 1].key if room else after
        if counts:
            place = ServiceBucket(service=request.service, bucket=bucket)
            keys = [item.key for item in rest[:room]]
            state.exchange.tell(sender, place, keys, KEY_MASK if is_done else after)
        if not is_done:
            break
        done.append(bucket)
        after = 0
    page = ListPage(
        view=request.view,
        service=request.service,
        early=request.early,
        done=tuple(done),
        known_of=_known_of(state) if request.whole else (),
        partial=partial,
        after=after,
        items=tuple(items),
    )
    return [SendPeer(peer=sender, message=page)]


def _view_of(state: FlowState, request: ListRequest) -> View | None:
    if state.view.identity == request.view:
        return state.view
    held = state.prepared
    if request.early and held is not None and held.identity == request.view:
        return held
    return None


def _known_of(state: FlowState) -> tuple[str, ...]:
    if state.prepared is not None or not state.is_settled():
        return ()
    return tuple(sorted(state.members.live_names))


def _bucket_items(
    state: FlowState, sender: str, request: ListRequest, bucket: int, view: View
) -> list[PinItem]:
    """Return the exceptions of a bucket, in the order of their keys.

    An idle flow of a silent upstream is left out: it may have been placed anew.
    """
    service = request.service
    table = state.tables[service]
    chosen = view.buckets(service)[bucket]
    pins = {
        key: pin
        for key, pin in table.buckets[bucket].items()
        if pin.upstream != chosen and state.is_usable(pin.upstream)
    }
    if request.whole:
        pins = {**state.exceptions[service].buckets[bucket], **pins}
    else:
        is_left_out = state.exchange.is_left_out
        had_early = request.had_early and not request.early
        pins = {
            key: pin
            for key, pin in pins.items()
            if not is_left_out(sender, FlowKey(service=service, key=key), had_early)
        }
    return [
        PinItem(key=key, upstream=pins[key].upstream, number=pins[key].number)
        for key in sorted(pins)
        if not state.is_over(service, pins[key], state.ticked_at)
    ]


def take_page(
    state: FlowState, sender: str, page: ListPage, now: float
) -> list[FlowEffect]:
    """Take a page of a peer's exceptions."""
    early, missing, view = _wanted(state, sender)
    if view is None or view.identity != page.view or early != page.early:
        return []
    take_told(state, page.service, page.items)
    # A list may come before the configuration that names its service.
    items = page.items if page.service in state.tables else ()
    for item in items:
        if not _differs(state, page.service, item.key, item.upstream):
            state.exchange.hear(FlowKey(service=page.service, key=item.key))
    remaining = missing.get(page.service, set())
    remaining.difference_update(page.done)
    for peer in state.whole.intersection(page.known_of):
        known = state.missing.get(peer, {}).get(page.service, set())
        known.difference_update(page.done)
    full = len(page.items) >= PAGE_ITEMS
    wait = max(SMALL_PAGE_SECONDS, PAGE_SECONDS * len(page.items) / PAGE_ITEMS)
    state.positions[sender] = PullPosition(
        next_at=now + wait,
        service=page.service,
        bucket=page.partial,
        after=page.after,
        full=full,
    )
    if not any(missing.values()):
        if early:
            state.had_early.add(sender)
            _finish_early(state)
        else:
            state.whole.discard(sender)
    return []


def _differs(state: FlowState, service: str, key: int, upstream: UpstreamId) -> bool:
    pin = state.tables[service].get(key)
    return pin is not None and pin.upstream != upstream


def nothing_missing(state: FlowState) -> ListRequest:
    """Return the request that says that nothing of a leaving peer is missing."""
    return ListRequest(
        view=state.view.identity,
        service="",
        buckets=(),
        after=0,
        early=False,
        whole=False,
        had_early=False,
    )
