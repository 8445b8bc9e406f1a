"""Hands over the pins of an entry to its peers during a planned stop.

Each pin that only the leaving entry has is sent to one peer. The peer first reports its
own pins by 24 bits of each fingerprint, so that only the missing ones are sent: where
packets of a flow reach several entries, the peers already have its pin.
"""

from __future__ import annotations

from collections import defaultdict

from ..state.flow_messages import PinItem, PinnedKeysPage, PinnedKeysRequest, PinQuery
from ..state.flow_state import FlowKey, FlowState, PinHandover
from ..state.flow_table import Pin
from ..state.view import bucket_of
from .flow_effects import FlowEffect, SendToPeer
from .flows import non_leaving_peers, store_pin, successor_of

DIGEST_MASK = (1 << 24) - 1
# A page contains whole buckets and ends after the bucket that fills it.
DIGESTS_PER_PAGE = 300
MAX_REQUEST_BUCKETS = 64
RETRY_INTERVAL_SECONDS = 0.3
# The interval between full pages of 1.2 KB that one peer sends. It keeps the peer
# within its control budget of 14 KB/s.
PAGE_INTERVAL_SECONDS = 0.1
MIN_PAGE_INTERVAL_SECONDS = 0.02
MAX_QUERY_ITEMS = 120


def hand_over_pins(state: FlowState, now: float) -> list[FlowEffect]:
    """Return the messages of the hand-over that are due while this entry leaves."""
    if not state.members.report.leaving:
        return []
    if state.hand_over is None:
        state.hand_over = PinHandover(remaining_buckets=state.all_buckets())
    hand_over = state.hand_over
    peers = non_leaving_peers(state)
    if not peers:
        hand_over.remaining_buckets.clear()
        hand_over.unacknowledged.clear()
        return []
    effects: list[FlowEffect] = []
    for index, peer in enumerate(peers):
        if now < hand_over.next_request_at.get(peer, now):
            continue
        request = _next_request(hand_over, index, len(peers))
        if request is not None:
            hand_over.next_request_at[peer] = now + RETRY_INTERVAL_SECONDS
            effects.append(SendToPeer(peer=peer, message=request))
    return effects + _send_pins(state, hand_over, now)


def _next_request(
    hand_over: PinHandover, peer_index: int, peer_count: int
) -> PinnedKeysRequest | None:
    """Return the next request to one of the peers, None if it has answered for all."""
    for service, buckets in sorted(hand_over.remaining_buckets.items()):
        peer_buckets = sorted(b for b in buckets if b % peer_count == peer_index)
        if peer_buckets:
            return PinnedKeysRequest(
                service=service, buckets=tuple(peer_buckets[:MAX_REQUEST_BUCKETS])
            )
    return None


def _send_pins(
    state: FlowState, hand_over: PinHandover, now: float
) -> list[FlowEffect]:
    """Return messages with the unacknowledged pins, for the peers that take them over.

    Pins that have ended, or that no peer can take over, are no longer tracked.
    """
    if now < hand_over.next_send_at:
        return []
    due: defaultdict[tuple[str, str], list[PinItem]] = defaultdict(list)
    for flow in list(hand_over.unacknowledged):
        pin = state.tables[flow.service].get(flow.key)
        successor = successor_of(state, flow.service, bucket_of(flow.key))
        if pin is None or successor is None:
            del hand_over.unacknowledged[flow]
            continue
        items = due[(successor, flow.service)]
        if len(items) < MAX_QUERY_ITEMS:
            items.append(
                PinItem(
                    key=flow.key, upstream=pin.upstream, number=pin.number, pinned=True
                )
            )
    if due:
        hand_over.next_send_at = now + PAGE_INTERVAL_SECONDS
    return [
        SendToPeer(
            peer=peer,
            message=PinQuery(query=0, service=service, items=tuple(items), adopt=True),
        )
        for (peer, service), items in sorted(due.items())
    ]


def answer_pinned_keys_request(
    state: FlowState, sender: str, request: PinnedKeysRequest
) -> list[FlowEffect]:
    """Return a page with the digests of the flows pinned here, for a leaving peer.

    An entry that is leaving too sends none, because neither of the two could rely on
    the other to keep a pin.
    """
    table = state.tables.get(request.service)
    if table is None or state.members.report.leaving:
        return []
    buckets: list[int] = []
    digests: list[tuple[int, ...]] = []
    count = 0
    for bucket in request.buckets:
        if count >= DIGESTS_PER_PAGE:
            break
        bucket_digests = tuple(
            key & DIGEST_MASK
            for key, pin in table.buckets[bucket].items()
            if state.is_usable(pin.upstream)
        )
        buckets.append(bucket)
        digests.append(bucket_digests)
        count += len(bucket_digests)
    page = PinnedKeysPage(
        service=request.service, buckets=tuple(buckets), digests=tuple(digests)
    )
    return [SendToPeer(peer=sender, message=page)]


def handle_pinned_keys_page(
    state: FlowState, sender: str, page: PinnedKeysPage, now: float
) -> None:
    """Queue the pins that the peer does not have, so that they are sent to it.

    From now on, the peer places the new flows of the buckets in the page.
    """
    hand_over = state.hand_over
    table = state.tables.get(page.service)
    if hand_over is None or table is None:
        return
    count = 0
    for bucket, digests in zip(page.buckets, page.digests, strict=True):
        known_digests = set(digests)
        count += len(known_digests)
        for key, pin in table.buckets[bucket].items():
            is_open = not table.is_idle(pin, now) and state.is_usable(pin.upstream)
            if is_open and key & DIGEST_MASK not in known_digests:
                flow = FlowKey(service=page.service, key=key)
                hand_over.unacknowledged[flow] = None
        hand_over.remaining_buckets.get(page.service, set()).discard(bucket)
    interval = PAGE_INTERVAL_SECONDS * count / DIGESTS_PER_PAGE
    hand_over.next_request_at[sender] = now + max(MIN_PAGE_INTERVAL_SECONDS, interval)


def adopt_pin(state: FlowState, flow: FlowKey, item: PinItem, now: float) -> None:
    """Store a pin that a leaving peer hands over."""
    if not state.is_usable(item.upstream):
        return
    pin = Pin(upstream=item.upstream, used_at=now, number=item.number)
    store_pin(state, flow, pin, now)


def record_adopted_pins(
    state: FlowState, service: str, items: tuple[PinItem, ...]
) -> None:
    """Record the pins that a peer has taken over."""
    if state.hand_over is None:
        return
    for item in items:
        if not item.pinned:
            continue
        flow = FlowKey(service=service, key=item.key)
        state.hand_over.unacknowledged.pop(flow, None)


def is_hand_over_complete(state: FlowState) -> bool:
    """Return whether this entry is leaving and its peers have all its pins."""
    hand_over = state.hand_over
    return (
        hand_over is not None
        and not any(hand_over.remaining_buckets.values())
        and not hand_over.unacknowledged
        and not state.pending
        and state.members.live_names <= state.handed_over_to
    )
