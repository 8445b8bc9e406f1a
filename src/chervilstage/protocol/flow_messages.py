"""Encoding of the messages about views and pins."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence
from typing import Any

from ..errors.access import EnvelopeFormatError
from ..state.flow_messages import (
    BucketMove,
    FlowMessage,
    PinAnnouncement,
    PinAnswer,
    PinItem,
    PinListPage,
    PinListRequest,
    PinnedKeysPage,
    PinnedKeysRequest,
    PinQuery,
    ViewActivate,
    ViewPrepare,
    ViewPrepared,
)
from ..state.types import Address, UpstreamId
from ..state.view import BUCKETS, FINGERPRINT_BITS, FINGERPRINT_MASK, ViewId
from .kinds import Kind
from .schemas import pack, schema, unpack, wrap_decode_errors

# Marks a group of pins whose words are whole flow keys. In a group of one bucket, words
# are fingerprints, which take fewer bytes when packed.
NO_BUCKET = 0xFFFF

KINDS: dict[type[FlowMessage], Kind] = {
    ViewPrepare: Kind.VIEW_PREPARE,
    ViewPrepared: Kind.VIEW_PREPARED,
    ViewActivate: Kind.VIEW_ACTIVATE,
    PinQuery: Kind.PIN_QUERY,
    PinAnswer: Kind.PIN_ANSWER,
    PinAnnouncement: Kind.PIN_TOLD,
    PinListRequest: Kind.PIN_LIST_REQUEST,
    PinListPage: Kind.PIN_LIST,
    PinnedKeysRequest: Kind.PIN_HELD_REQUEST,
    PinnedKeysPage: Kind.PIN_HELD,
}


def encode_flow_message(message: FlowMessage) -> bytes:
    """Return the encoding of a message; ``KINDS`` has the kind of its type."""
    match message:
        case ViewPrepare():
            return _encode_prepare(message)
        case ViewPrepared():
            builder = schema("flows").Prepared.new_message(
                needsWhole=message.needs_full_view, settled=message.settled
            )
            _write_view(builder.init("view"), message.view)
            return pack(builder)
        case ViewActivate():
            builder = schema("flows").Activate.new_message()
            _write_view(builder.init("view"), message.view)
            return pack(builder)
        case PinQuery():
            builder = schema("flows").PinItems.new_message(
                query=message.query, confirm=message.confirm, adopt=message.adopt
            )
            _write_items(builder, message.service, message.items)
            return pack(builder)
        case PinAnswer():
            builder = schema("flows").PinItems.new_message(query=message.query)
            _write_items(builder, message.service, message.items)
            return pack(builder)
        case PinAnnouncement():
            builder = schema("flows").PinItems.new_message()
            _write_items(builder, message.service, message.items)
            return pack(builder)
        case PinListRequest():
            return _encode_list_request(message)
        case PinListPage():
            return _encode_list_page(message)
        case PinnedKeysRequest():
            builder = schema("flows").HeldRequest.new_message(service=message.service)
            builder.ranges = to_ranges(message.buckets)
            return pack(builder)
        case PinnedKeysPage():
            builder = schema("flows").HeldPage.new_message(service=message.service)
            builder.buckets = list(message.buckets)
            builder.digests = [list(digests) for digests in message.digests]
            return pack(builder)


@wrap_decode_errors()
def decode_flow_message(kind: Kind, data: bytes) -> FlowMessage:
    """Decode a message.

    :raises EnvelopeFormatError: the bytes are not a valid message of that kind.
    """
    structs = schema("flows")
    if kind is Kind.VIEW_PREPARE:
        return _decode_prepare(unpack(structs.Prepare, data))
    if kind is Kind.VIEW_PREPARED:
        message = unpack(structs.Prepared, data)
        return ViewPrepared(
            view=_read_view(message.view),
            needs_full_view=message.needsWhole,
            settled=message.settled,
        )
    if kind is Kind.VIEW_ACTIVATE:
        return ViewActivate(view=_read_view(unpack(structs.Activate, data).view))
    if kind is Kind.PIN_LIST_REQUEST:
        return _decode_list_request(unpack(structs.ListRequest, data))
    if kind is Kind.PIN_LIST:
        return _decode_list_page(unpack(structs.ListPage, data))
    if kind is Kind.PIN_HELD_REQUEST:
        message = unpack(structs.HeldRequest, data)
        return PinnedKeysRequest(
            service=message.service, buckets=from_ranges(message.ranges)
        )
    if kind is Kind.PIN_HELD:
        return _decode_pinned_keys_page(unpack(structs.HeldPage, data))
    message = unpack(structs.PinItems, data)
    items = _read_items(message)
    if kind is Kind.PIN_QUERY:
        return PinQuery(
            query=message.query,
            service=message.service,
            items=items,
            confirm=message.confirm,
            adopt=message.adopt,
        )
    if kind is Kind.PIN_ANSWER:
        return PinAnswer(query=message.query, service=message.service, items=items)
    return PinAnnouncement(service=message.service, items=items)


def to_ranges(buckets: Iterable[int]) -> list[int]:
    """Return bucket numbers as pairs of first and last, in their original order."""
    ranges: list[int] = []
    for bucket in buckets:
        if ranges and bucket == ranges[-1] + 1:
            ranges[-1] = bucket
        else:
            ranges += [bucket, bucket]
    return ranges


def from_ranges(ranges: Sequence[int]) -> tuple[int, ...]:
    """Return the bucket numbers that pairs of first and last stand for.

    :raises EnvelopeFormatError: a pair is incomplete, a bucket number is out of range,
        or there are too many.
    """
    bounds = list(ranges)
    if len(bounds) % 2 or any(not 0 <= n < BUCKETS for n in bounds):
        raise EnvelopeFormatError(reason="bucket number out of range")
    buckets: list[int] = []
    for first, last in zip(bounds[::2], bounds[1::2], strict=True):
        buckets.extend(range(first, last + 1))
    if len(buckets) > BUCKETS:
        raise EnvelopeFormatError(reason="too many buckets")
    return tuple(buckets)


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


def _upstream_at(upstreams: list[UpstreamId], index: int) -> UpstreamId:
    if index >= len(upstreams):
        raise EnvelopeFormatError(reason="upstream number out of range")
    return upstreams[index]


def _encode_prepare(message: ViewPrepare) -> bytes:
    builder = schema("flows").Prepare.new_message(urgent=message.urgent)
    _write_view(builder.init("view"), message.view)
    _write_view(builder.init("base"), message.base)
    upstreams = sorted({m.upstream for m in message.moves if m.upstream is not None})
    _write_upstreams(builder, upstreams)
    targets = builder.init("moves", len(message.moves))
    for target, move in zip(targets, message.moves, strict=True):
        target.service = move.service
        if move.upstream is not None:
            target.upstream = upstreams.index(move.upstream) + 1
        target.ranges = to_ranges(move.buckets)
    return pack(builder)


def _decode_prepare(message: Any) -> ViewPrepare:
    upstreams = _read_upstreams(message)
    return ViewPrepare(
        view=_read_view(message.view),
        base=_read_view(message.base),
        urgent=message.urgent,
        moves=tuple(
            BucketMove(
                service=move.service,
                upstream=_upstream_at(upstreams, move.upstream - 1)
                if move.upstream
                else None,
                buckets=from_ranges(move.ranges),
            )
            for move in message.moves
        ),
    )


def _write_items(
    builder: Any, service: str, items: Sequence[PinItem], by_bucket: bool = False
) -> None:
    """Write pins, grouped by all of their fields except the flow key.

    :param by_bucket: whether to also group by bucket and write only fingerprints.
    """
    builder.service = service
    upstreams = sorted({item.upstream for item in items})
    indexes = {upstream: index for index, upstream in enumerate(upstreams)}
    _write_upstreams(builder, upstreams)
    groups: defaultdict[tuple[int, int, bool, int], list[int]] = defaultdict(list)
    for key, upstream, number, pinned in items:
        bucket, word = NO_BUCKET, key
        if by_bucket:
            bucket, word = key >> FINGERPRINT_BITS, key & FINGERPRINT_MASK
        groups[(indexes[upstream], number, pinned, bucket)].append(word)
    targets = builder.init("pins", len(groups))
    for target, (group_key, words) in zip(targets, groups.items(), strict=True):
        target.upstream, target.number, target.pinned, target.bucket = group_key
        target.words = words


def _read_items(message: Any) -> tuple[PinItem, ...]:
    upstreams = _read_upstreams(message)
    items: list[PinItem] = []
    for group in message.pins:
        upstream = _upstream_at(upstreams, group.upstream)
        bucket_bits = (
            0 if group.bucket == NO_BUCKET else group.bucket << FINGERPRINT_BITS
        )
        for word in group.words:
            if word | bucket_bits >= BUCKETS << FINGERPRINT_BITS:
                raise EnvelopeFormatError(reason="flow key out of range")
            items.append(
                PinItem(
                    key=bucket_bits | word,
                    upstream=upstream,
                    number=group.number,
                    pinned=group.pinned,
                )
            )
    return tuple(items)


def _encode_list_request(message: PinListRequest) -> bytes:
    builder = schema("flows").ListRequest.new_message(
        service=message.service,
        after=message.after_key,
        early=message.early,
        whole=message.is_full,
        hadEarly=message.has_early_lists,
    )
    _write_view(builder.init("view"), message.view)
    builder.ranges = to_ranges(message.buckets)
    return pack(builder)


def _decode_list_request(message: Any) -> PinListRequest:
    return PinListRequest(
        view=_read_view(message.view),
        service=message.service,
        buckets=from_ranges(message.ranges),
        after_key=message.after,
        early=message.early,
        is_full=message.whole,
        has_early_lists=message.hadEarly,
    )


def _encode_list_page(message: PinListPage) -> bytes:
    builder = schema("flows").ListPage.new_message(
        early=message.early, partial=message.partial_bucket, after=message.after_key
    )
    _write_view(builder.init("view"), message.view)
    builder.done = to_ranges(message.complete_buckets)
    builder.knownOf = list(message.known_peers)
    _write_items(builder.init("items"), message.service, message.items, by_bucket=True)
    return pack(builder)


def _decode_list_page(message: Any) -> PinListPage:
    return PinListPage(
        view=_read_view(message.view),
        service=message.items.service,
        early=message.early,
        complete_buckets=from_ranges(message.done),
        known_peers=tuple(message.knownOf),
        partial_bucket=message.partial,
        after_key=message.after,
        items=_read_items(message.items),
    )


def _decode_pinned_keys_page(message: Any) -> PinnedKeysPage:
    buckets = tuple(message.buckets)
    digests = tuple(tuple(bucket_digests) for bucket_digests in message.digests)
    if len(buckets) != len(digests) or any(bucket >= BUCKETS for bucket in buckets):
        raise EnvelopeFormatError(reason="buckets and digests do not match")
    return PinnedKeysPage(service=message.service, buckets=buckets, digests=digests)
