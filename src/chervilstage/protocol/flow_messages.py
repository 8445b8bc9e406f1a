"""Encoding of the messages about views and pins."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

from ..errors.access import EnvelopeFormatError
from ..state.flow_messages import (
    BucketMove,
    FlowMessage,
    HeldPage,
    HeldRequest,
    ListPage,
    ListRequest,
    PinAnswer,
    PinItem,
    PinQuery,
    PinTold,
    ViewActivate,
    ViewPrepare,
    ViewPrepared,
)
from ..state.types import Address, UpstreamId
from ..state.view import BUCKETS, FINGERPRINT_BITS, FINGERPRINT_MASK, ViewId
from .kinds import Kind
from .schemas import pack, reading, schema, unpack

NO_BUCKET = 0xFFFF

KINDS: dict[type[FlowMessage], Kind] = {
    ViewPrepare: Kind.VIEW_PREPARE,
    ViewPrepared: Kind.VIEW_PREPARED,
    ViewActivate: Kind.VIEW_ACTIVATE,
    PinQuery: Kind.PIN_QUERY,
    PinAnswer: Kind.PIN_ANSWER,
    PinTold: Kind.PIN_TOLD,
    ListRequest: Kind.PIN_LIST_REQUEST,
    ListPage: Kind.PIN_LIST,
    HeldRequest: Kind.PIN_HELD_REQUEST,
    HeldPage: Kind.PIN_HELD,
}


def encode_flow_message(message: FlowMessage) -> bytes:
    """Return the encoding of a message; its kind is told apart by ``KINDS``."""
    match message:
        case ViewPrepare():
            return _encode_prepare(message)
        case ViewPrepared():
            built = schema("flows").Prepared.new_message(
                needsWhole=message.needs_whole, settled=message.settled
            )
            _write_view(built.init("view"), message.view)
            return pack(built)
        case ViewActivate():
            built = schema("flows").Activate.new_message()
            _write_view(built.init("view"), message.view)
            return pack(built)
        case PinQuery():
            built = schema("flows").PinItems.new_message(
                query=message.query, confirm=message.confirm, adopt=message.adopt
            )
            _write_items(built, message.service, message.items)
            return pack(built)
        case PinAnswer():
            built = schema("flows").PinItems.new_message(query=message.query)
            _write_items(built, message.service, message.items)
            return pack(built)
        case PinTold():
            built = schema("flows").PinItems.new_message()
            _write_items(built, message.service, message.items)
            return pack(built)
        case ListRequest():
            return _encode_request(message)
        case ListPage():
            return _encode_page(message)
        case HeldRequest():
            built = schema("flows").HeldRequest.new_message(service=message.service)
            built.ranges = to_ranges(message.buckets)
            return pack(built)
        case HeldPage():
            built = schema("flows").HeldPage.new_message(service=message.service)
            built.buckets = list(message.buckets)
            built.digests = [list(digests) for digests in message.digests]
            return pack(built)


@reading()
def decode_flow_message(kind: Kind, data: bytes) -> FlowMessage:
    """Decode a message.

    :raises EnvelopeFormatError: the bytes are no message of that kind.
    """
    structs = schema("flows")
    if kind is Kind.VIEW_PREPARE:
        return _decode_prepare(unpack(structs.Prepare, data))
    if kind is Kind.VIEW_PREPARED:
        read = unpack(structs.Prepared, data)
        return ViewPrepared(
            view=_read_view(read.view),
            needs_whole=read.needsWhole,
            settled=read.settled,
        )
    if kind is Kind.VIEW_ACTIVATE:
        return ViewActivate(view=_read_view(unpack(structs.Activate, data).view))
    if kind is Kind.PIN_LIST_REQUEST:
        return _decode_request(unpack(structs.ListRequest, data))
    if kind is Kind.PIN_LIST:
        return _decode_page(unpack(structs.ListPage, data))
    if kind is Kind.PIN_HELD_REQUEST:
        read = unpack(structs.HeldRequest, data)
        return HeldRequest(service=read.service, buckets=from_ranges(read.ranges))
    if kind is Kind.PIN_HELD:
        return _decode_held(unpack(structs.HeldPage, data))
    read = unpack(structs.PinItems, data)
    items = _read_items(read)
    if kind is Kind.PIN_QUERY:
        return PinQuery(
            query=read.query,
            service=read.service,
            items=items,
            confirm=read.confirm,
            adopt=read.adopt,
        )
    if kind is Kind.PIN_ANSWER:
        return PinAnswer(query=read.query, service=read.service, items=items)
    return PinTold(service=read.service, items=items)


def to_ranges(buckets: Iterable[int]) -> list[int]:
    """Return bucket numbers as pairs of first and last, in their order."""
    ranges: list[int] = []
    for bucket in buckets:
        if ranges and bucket == ranges[-1] + 1:
            ranges[-1] = bucket
        else:
            ranges += [bucket, bucket]
    return ranges


def from_ranges(ranges: Sequence[int]) -> tuple[int, ...]:
    """Return the bucket numbers of pairs of first and last.

    :raises EnvelopeFormatError: a number is not that of a bucket.
    """
    numbers = list(ranges)
    if len(numbers) % 2 or any(not 0 <= n < BUCKETS for n in numbers):
        raise EnvelopeFormatError(reason="bucket number out of range")
    found: list[int] = []
    for first, last in zip(numbers[::2], numbers[1::2], strict=True):
        found.extend(range(first, last + 1))
    if len(found) > BUCKETS:
        raise EnvelopeFormatError(reason="more buckets than there are")
    return tuple(found)


def _write_view(target: Any, view: ViewId) -> None:
    target.number, target.coordinator = view


def _read_view(source: Any) -> ViewId:
    return ViewId(number=source.number, coordinator=source.coordinator)


def _write_upstreams(message: Any, upstreams: Sequence[UpstreamId]) -> None:
    targets = message.init("upstreams", len(upstreams))
    for target, upstream in zip(targets, upstreams, strict=True):
        target.host, target.port = upstream.address
        target.incarnation = upstream.incarnation
        target.service = upstream.service


def _read_upstreams(message: Any) -> list[UpstreamId]:
    return [
        UpstreamId(
            address=Address(host=u.host, port=u.port),
            incarnation=u.incarnation,
            service=u.service,
        )
        for u in message.upstreams
    ]


def _place(upstreams: list[UpstreamId], number: int) -> UpstreamId:
    if number >= len(upstreams):
        raise EnvelopeFormatError(reason="upstream number out of range")
    return upstreams[number]


def _encode_prepare(message: ViewPrepare) -> bytes:
    built = schema("flows").Prepare.new_message(urgent=message.urgent)
    _write_view(built.init("view"), message.view)
    _write_view(built.init("base"), message.base)
    upstreams = sorted({m.upstream for m in message.moves if m.upstream is not None})
    _write_upstreams(built, upstreams)
    targets = built.init("moves", len(message.moves))
    for target, move in zip(targets, message.moves, strict=True):
        target.service = move.service
        if move.upstream is not None:
            target.upstream = upstreams.index(move.upstream) + 1
        target.ranges = to_ranges(move.buckets)
    return pack(built)


def _decode_prepare(read: Any) -> ViewPrepare:
    upstreams = _read_upstreams(read)
    return ViewPrepare(
        view=_read_view(read.view),
        base=_read_view(read.base),
        urgent=read.urgent,
        moves=tuple(
            BucketMove(
                service=move.service,
                upstream=_place(upstreams, move.upstream - 1)
                if move.upstream
                else None,
                buckets=from_ranges(move.ranges),
            )
            for move in read.moves
        ),
    )


def _write_items(
    built: Any, service: str, items: Sequence[PinItem], by_bucket: bool = False
) -> None:
    built.service = service
    upstreams = sorted({item.upstream for item in items})
    places = {upstream: place for place, upstream in enumerate(upstreams)}
    _write_upstreams(built, upstreams)
    groups: defaultdict[tuple[int, int, bool, int], list[int]] = defaultdict(list)
    for key, upstream, number, pinned in items:
        bucket, word = NO_BUCKET, key
        if by_bucket:
            bucket, word = key >> FINGERPRINT_BITS, key & FINGERPRINT_MASK
        groups[(places[upstream], number, pinned, bucket)].append(word)
    targets = built.init("pins", len(groups))
    for target, (head, words) in zip(targets, groups.items(), strict=True):
        target.upstream, target.number, target.pinned, target.bucket = head
        target.words = words


def _read_items(read: Any) -> tuple[PinItem, ...]:
    upstreams = _read_upstreams(read)
    items: list[PinItem] = []
    for group in read.pins:
        upstream = _place(upstreams, group.upstream)
        head = 0 if group.bucket == NO_BUCKET else group.bucket << FINGERPRINT_BITS
        for word in group.words:
            if word | head >= BUCKETS << FINGERPRINT_BITS:
                raise EnvelopeFormatError(reason="flow key out of range")
            items.append(
                PinItem(
                    key=head | word,
                    upstream=upstream,
                    number=group.number,
                    pinned=group.pinned,
                )
            )
    return tuple(items)


def _encode_request(message: ListRequest) -> bytes:
    built = schema("flows").ListRequest.new_message(
        service=message.service,
        after=message.after,
        early=message.early,
        whole=message.whole,
        hadEarly=message.had_early,
    )
    _write_view(built.init("view"), message.view)
    built.ranges = to_ranges(message.buckets)
    return pack(built)


def _decode_request(read: Any) -> ListRequest:
    return ListRequest(
        view=_read_view(read.view),
        service=read.service,
        buckets=from_ranges(read.ranges),
        after=read.after,
        early=read.early,
        whole=read.whole,
        had_early=read.hadEarly,
    )


def _encode_page(message: ListPage) -> bytes:
    built = schema("flows").ListPage.new_message(
        early=message.early, partial=message.partial, after=message.after
    )
    _write_view(built.init("view"), message.view)
    built.done = to_ranges(message.done)
    built.knownOf = list(message.known_of)
    _write_items(built.init("items"), message.service, message.items, by_bucket=True)
    return pack(built)


def _decode_page(read: Any) -> ListPage:
    return ListPage(
        view=_read_view(read.view),
        service=read.items.service,
        early=read.early,
        done=from_ranges(read.done),
        known_of=tuple(read.knownOf),
        partial=read.partial,
        after=read.after,
        items=_read_items(read.items),
    )


def _decode_held(read: Any) -> HeldPage:
    buckets = tuple(read.buckets)
    digests = tuple(tuple(found) for found in read.digests)
    if len(buckets) != len(digests) or any(bucket >= BUCKETS for bucket in buckets):
        raise EnvelopeFormatError(reason="buckets and digests do not match")
    return HeldPage(service=read.service, buckets=buckets, digests=digests)
