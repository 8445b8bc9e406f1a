"""Exchanges exceptions: each entry pulls the lists of its peers.

Early lists are pulled while a view is prepared, before it is acknowledged, and the
other lists once it is in force.
"""

from __future__ import annotations

from ..state.flow_messages import PinItem, PinListPage, PinListRequest
from ..state.flow_state import FlowKey, FlowState, PullPosition, ServiceBucket
from ..state.types import UpstreamId
from ..state.view import KEY_MASK, View
from .flow_effects import FlowEffect, SendToPeer
from .pin_queries import store_reported_exceptions
from .view_change import acknowledge_view

# With 6 bytes per fingerprint, a page and its envelope fit into an Ethernet frame.
ITEMS_PER_PAGE = 180
# The interval between requests for full pages of a peer: three peers that request at
# this rate cost an entry 9 KB/s, which leaves room for heartbeats and queries.
PAGE_INTERVAL_SECONDS = 0.4
MIN_PAGE_INTERVAL_SECONDS = 0.02
RETRY_INTERVAL_SECONDS = 0.3
# After a full page, a request names few buckets, as each may fill a page.
MAX_BUCKETS_AFTER_FULL_PAGE = 3

BucketsByService = dict[str, set[int]]


def pull_lists(state: FlowState, now: float) -> list[FlowEffect]:
    """Return the list requests that are due."""
    if state.prepared_view is not None and not state.is_view_acknowledged:
        _acknowledge_after_early_lists(state)
    effects: list[FlowEffect] = []
    for peer in sorted(state.members.live_names):
        request = _next_request(state, peer, now)
        if request is not None:
            effects.append(SendToPeer(peer=peer, message=request))
        elif state.members.members[peer].report.leaving:
            effects.extend(_confirm_leaving_peer(state, peer, now))
    return effects


def _confirm_leaving_peer(state: FlowState, peer: str, now: float) -> list[FlowEffect]:
    """Confirm to a leaving peer, at intervals, that none of its lists is missing."""
    position = state.pull_positions.get(peer, PullPosition())
    if any(state.missing_buckets.get(peer, {}).values()) or now < position.next_at:
        return []
    state.pull_positions[peer] = position._replace(next_at=now + RETRY_INTERVAL_SECONDS)
    return [SendToPeer(peer=peer, message=nothing_missing_request(state))]


def _acknowledge_after_early_lists(state: FlowState) -> None:
    """Acknowledge the prepared view if the early lists of all live peers are here."""
    live = state.members.live_names
    if not any(
        any(b.values()) for n, b in state.missing_early_buckets.items() if n in live
    ):
        acknowledge_view(state)


def _next_request(state: FlowState, peer: str, now: float) -> PinListRequest | None:
    early, missing, view = _expected_lists(state, peer)
    position = state.pull_positions.get(peer, PullPosition())
    if view is None or now < position.next_at:
        return None
    service = min(name for name, buckets in missing.items() if buckets)
    order = _rotate_buckets(state, peer, missing[service])
    after_key = 0
    if position.service == service and position.bucket in missing[service]:
        order.remove(position.bucket)
        order.insert(0, position.bucket)
        after_key = position.after_key
    state.pull_positions[peer] = position._replace(next_at=now + RETRY_INTERVAL_SECONDS)
    return PinListRequest(
        view=view.identity,
        service=service,
        buckets=tuple(
            order[:MAX_BUCKETS_AFTER_FULL_PAGE]
            if position.was_last_page_full
            else order
        ),
        after_key=after_key,
        early=early,
        is_full=peer in state.full_pull_peers and not early,
        has_early_lists=peer in state.peers_with_early_lists,
    )


def _expected_lists(
    state: FlowState, peer: str
) -> tuple[bool, BucketsByService, View | None]:
    """Return the lists to pull from a peer now.

    The result is whether they are early lists, their buckets, and their view, None if
    no list is missing.
    """
    early = state.missing_early_buckets.get(peer, {})
    if (
        state.prepared_view is not None
        and not state.is_view_acknowledged
        and any(early.values())
    ):
        return True, early, state.prepared_view
    missing = state.missing_buckets.get(peer, {})
    if state.prepared_view is None and any(missing.values()):
        return False, missing, state.view
    return False, {}, None


def _rotate_buckets(state: FlowState, peer: str, buckets: set[int]) -> list[int]:
    """Return buckets in an order that starts at a different one for each peer.

    So the peers divide the sending of exceptions that several of them know.
    """
    order = sorted(buckets)
    live = state.members.live()
    start = len(order) * live.index(peer) // len(live)
    return order[start:] + order[:start]


def answer_list_request(
    state: FlowState, sender: str, request: PinListRequest
) -> list[FlowEffect]:
    """Answer a list request with a page, or not at all if its view is unknown."""
    view = _find_requested_view(state, request)
    if not request.buckets:
        state.handed_over_to.add(sender)
        return []
    if view is None or request.service not in state.tables:
        return []
    is_recorded = not request.is_full and request.early == (
        state.prepared_view is not None
    )
    items: list[PinItem] = []
    complete_buckets: list[int] = []
    after_key, partial_bucket = request.after_key, -1
    for bucket in request.buckets:
        bucket_items = _bucket_items(state, sender, request, bucket, view)
        remaining_items = [item for item in bucket_items if item.key > after_key]
        free_items = ITEMS_PER_PAGE - len(items)
        items.extend(remaining_items[:free_items])
        is_done = len(remaining_items) <= free_items
        if not is_done:
            partial_bucket = bucket
            after_key = remaining_items[free_items - 1].key if free_items else after_key
        if is_recorded:
            service_bucket = ServiceBucket(service=request.service, bucket=bucket)
            keys = [item.key for item in remaining_items[:free_items]]
            state.exchange.record_sent(
                sender, service_bucket, keys, KEY_MASK if is_done else after_key
            )
        if not is_done:
            break
        complete_buckets.append(bucket)
        after_key = 0
    page = PinListPage(
        view=request.view,
        service=request.service,
        early=request.early,
        complete_buckets=tuple(complete_buckets),
        known_peers=_fully_known_peers(state) if request.is_full else (),
        partial_bucket=partial_bucket,
        after_key=after_key,
        items=tuple(items),
    )
    return [SendToPeer(peer=sender, message=page)]


def _find_requested_view(state: FlowState, request: PinListRequest) -> View | None:
    if state.view.identity == request.view:
        return state.view
    prepared_view = state.prepared_view
    if (
        request.early
        and prepared_view is not None
        and prepared_view.identity == request.view
    ):
        return prepared_view
    return None


def _fully_known_peers(state: FlowState) -> tuple[str, ...]:
    if state.prepared_view is not None or not state.is_settled():
        return ()
    return tuple(sorted(state.members.live_names))


def _bucket_items(
    state: FlowState, sender: str, request: PinListRequest, bucket: int, view: View
) -> list[PinItem]:
    """Return the exceptions of a bucket, in the order of their keys.

    Idle flows of silent upstreams are omitted: another entry may have placed such a
    flow anew.
    """
    service = request.service
    table = state.tables[service]
    chosen = view.buckets(service)[bucket]
    pins = {
        key: pin
        for key, pin in table.buckets[bucket].items()
        if pin.upstream != chosen and state.is_usable(pin.upstream)
    }
    if request.is_full:
        pins = {**state.exceptions[service].buckets[bucket], **pins}
    else:
        can_omit = state.exchange.can_omit
        has_early_lists = request.has_early_lists and not request.early
        pins = {
            key: pin
            for key, pin in pins.items()
            if not can_omit(sender, FlowKey(service=service, key=key), has_early_lists)
        }
    return [
        PinItem(key=key, upstream=pins[key].upstream, number=pins[key].number)
        for key in sorted(pins)
        if not state.is_pin_stale(service, pins[key], state.last_tick_at)
    ]


def handle_list_page(
    state: FlowState, sender: str, page: PinListPage, now: float
) -> list[FlowEffect]:
    """Store a page of a peer's exceptions."""
    early, missing, view = _expected_lists(state, sender)
    if view is None or view.identity != page.view or early != page.early:
        return []
    store_reported_exceptions(state, page.service, page.items)
    # A list may arrive before the configuration that contains its service.
    items = page.items if page.service in state.tables else ()
    for item in items:
        if not _is_pinned_to_other_upstream(
            state, page.service, item.key, item.upstream
        ):
            state.exchange.record_announcement(
                FlowKey(service=page.service, key=item.key)
            )
    missing_buckets = missing.get(page.service, set())
    missing_buckets.difference_update(page.complete_buckets)
    for peer in state.full_pull_peers.intersection(page.known_peers):
        known_buckets = state.missing_buckets.get(peer, {}).get(page.service, set())
        known_buckets.difference_update(page.complete_buckets)
    is_page_full = len(page.items) >= ITEMS_PER_PAGE
    interval = max(
        MIN_PAGE_INTERVAL_SECONDS,
        PAGE_INTERVAL_SECONDS * len(page.items) / ITEMS_PER_PAGE,
    )
    state.pull_positions[sender] = PullPosition(
        next_at=now + interval,
        service=page.service,
        bucket=page.partial_bucket,
        after_key=page.after_key,
        was_last_page_full=is_page_full,
    )
    if not any(missing.values()):
        if early:
            state.peers_with_early_lists.add(sender)
            _acknowledge_after_early_lists(state)
        else:
            state.full_pull_peers.discard(sender)
    return []


def _is_pinned_to_other_upstream(
    state: FlowState, service: str, key: int, upstream: UpstreamId
) -> bool:
    pin = state.tables[service].get(key)
    return pin is not None and pin.upstream != upstream


def nothing_missing_request(state: FlowState) -> PinListRequest:
    """Return the request that tells a leaving peer that no list is missing."""
    return PinListRequest(
        view=state.view.identity,
        service="",
        buckets=(),
        after_key=0,
        early=False,
        is_full=False,
        has_early_lists=False,
    )
