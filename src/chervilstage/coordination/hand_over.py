"""A planned stop: each pin that only the leaving entry holds goes to one peer.

The peer says what it holds by 24 bits of each fingerprint, so that only the rest has
to be told: a flow whose packets are sprayed is known to the peers already.
"""

from __future__ import annotations

from collections import defaultdict

from ..state.flow_messages import HeldPage, HeldRequest, PinItem, PinQuery
from ..state.flow_state import FlowKey, FlowState, HandOver
from ..state.flow_table import Pin
from ..state.view import bucket_of
from .flow_effects import FlowEffect, SendPeer
from .flows import put_pin, staying_peers, successor_of

DIGEST_MASK = (1 << 24) - 1
# A bucket is told whole; a page ends after the bucket that fills it.
PAGE_DIGESTS = 300
REQUEST_BUCKETS = 64
RETRY_SECONDS = 0.3
# Each peer answers at this pace and keeps to its budget of 14 KB/s: 1.2 KB a page.
PAGE_SECONDS = 0.1
SMALL_PAGE_SECONDS = 0.02
ITEMS = 120


def hand_over_pins(state: FlowState, now: float) -> list[FlowEffect]:
    """Go on with handing over once this entry leaves."""
    if not state.members.report.leaving:
        return []
    if state.hand_over is None:
        state.hand_over = HandOver(todo=state.all_buckets())
    hand_over = state.hand_over
    peers = staying_peers(state)
    if not peers:
        hand_over.todo.clear()
        hand_over.unacknowledged.clear()
        return []
    effects: list[FlowEffect] = []
    for place, peer in enumerate(peers):
        if now < hand_over.next_at.get(peer, now):
            continue
        request = _next_request(hand_over, place, len(peers))
        if request is not None:
            hand_over.next_at[peer] = now + RETRY_SECONDS
            effects.append(SendPeer(peer=peer, message=request))
    return effects + _send_pins(state, hand_over, now)


def _next_request(hand_over: HandOver, place: int, count: int) -> HeldRequest | None:
    for service, buckets in sorted(hand_over.todo.items()):
        share = sorted(b for b in buckets if b % count == place)
        if share:
            return HeldRequest(service=service, buckets=tuple(share[:REQUEST_BUCKETS]))
    return None


def _send_pins(state: FlowState, hand_over: HandOver, now: float) -> list[FlowEffect]:
    if now < hand_over.pins_at:
        return []
    due: defaultdict[tuple[str, str], list[PinItem]] = defaultdict(list)
    for flow in list(hand_over.unacknowledged):
        pin = state.tables[flow.service].get(flow.key)
        successor = successor_of(state, flow.service, bucket_of(flow.key))
        if pin is None or successor is None:
            del hand_over.unacknowledged[flow]
            continue
        items = due[(successor, flow.service)]
        if len(items) < ITEMS:
            items.append(
                PinItem(
                    key=flow.key, upstream=pin.upstream, number=pin.number, pinned=True
                )
            )
    if due:
        hand_over.pins_at = now + PAGE_SECONDS
    return [
        SendPeer(
            peer=peer,
            message=PinQuery(query=0, service=service, items=tuple(items), adopt=True),
        )
        for (peer, service), items in sorted(due.items())
    ]


def answer_held(
    state: FlowState, sender: str, request: HeldRequest
) -> list[FlowEffect]:
    """Tell a leaving peer which flows are pinned here.

    An entry that leaves itself does not: both would rely on each other.
    """
    table = state.tables.get(request.service)
    if table is None or state.members.report.leaving:
        return []
    buckets: list[int] = []
    digests: list[tuple[int, ...]] = []
    count = 0
    for bucket in request.buckets:
        if count >= PAGE_DIGESTS:
            break
        held = tuple(
            key & DIGEST_MASK
            for key, pin in table.buckets[bucket].items()
            if state.is_usable(pin.upstream)
        )
        buckets.append(bucket)
        digests.append(held)
        count += len(held)
    page = HeldPage(
        service=request.service, buckets=tuple(buckets), digests=tuple(digests)
    )
    return [SendPeer(peer=sender, message=page)]


def take_held(state: FlowState, sender: str, page: HeldPage, now: float) -> None:
    """Find the pins that a peer does not hold; new flows of the bucket go to it."""
    hand_over = state.hand_over
    table = state.tables.get(page.service)
    if hand_over is None or table is None:
        return
    count = 0
    for bucket, digests in zip(page.buckets, page.digests, strict=True):
        held = set(digests)
        count += len(held)
        for key, pin in table.buckets[bucket].items():
            is_open = not table.is_idle(pin, now) and state.is_usable(pin.upstream)
            if is_open and key & DIGEST_MASK not in held:
                flow = FlowKey(service=page.service, key=key)
                hand_over.unacknowledged[flow] = None
        hand_over.todo.get(page.service, set()).discard(bucket)
    pace = PAGE_SECONDS * count / PAGE_DIGESTS
    hand_over.next_at[sender] = now + max(SMALL_PAGE_SECONDS, pace)


def adopt_pin(state: FlowState, flow: FlowKey, item: PinItem, now: float) -> None:
    """Keep a pin that a leaving peer hands over."""
    if not state.is_usable(item.upstream):
        return
    pin = Pin(upstream=item.upstream, used_at=now, number=item.number)
    put_pin(state, flow, pin, now)


def take_adopted(state: FlowState, service: str, items: tuple[PinItem, ...]) -> None:
    """Record that a peer has taken pins over."""
    if state.hand_over is None:
        return
    for item in items:
        if not item.pinned:
            continue
        flow = FlowKey(service=service, key=item.key)
        state.hand_over.unacknowledged.pop(flow, None)


def is_handed_over(state: FlowState) -> bool:
    """Tell whether this entry leaves and the peers have all its pins."""
    hand_over = state.hand_over
    return (
        hand_over is not None
        and not any(hand_over.todo.values())
        and not hand_over.unacknowledged
        and not state.pending
        and state.members.live_names <= state.handed_to
    )
