"""Encoding of the feed of upstreams from control replicas."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from ..state.upstream_feed import FeedAnswer, FeedItem, FeedQuery
from .control_messages import peer_fields, read_peer
from .replica_members import member_fields, read_members
from .schemas import pack, read_valid_items, schema, unpack, wrap_decode_errors
from .upstream_messages import read_record, write_record


def encode_feed_query(query: FeedQuery) -> bytes:
    """Return the encoding of a query."""
    return pack(
        schema("feed").FeedQuery.new_message(
            sender=peer_fields(query.sender),
            isEntry=query.is_entry,
            run=query.run,
            cursor=query.cursor,
            revision=query.revision,
            waitSeconds=query.wait_seconds,
            heard=sorted(query.answering_runs),
        )
    )


def decode_feed_query(data: bytes) -> FeedQuery:
    """Decode a query.

    :raises EnvelopeFormatError: the bytes are not a valid query.
    """
    with wrap_decode_errors():
        message = unpack(schema("feed").FeedQuery, data)
        return FeedQuery(
            sender=read_peer(message.sender),
            is_entry=message.isEntry,
            run=message.run,
            cursor=message.cursor,
            revision=message.revision,
            wait_seconds=message.waitSeconds,
            answering_runs=frozenset(message.heard),
        )


def encode_feed_answer(answer: FeedAnswer) -> bytes:
    """Return the encoding of an answer."""
    message = schema("feed").FeedAnswer.new_message(
        run=answer.run,
        cursor=answer.cursor,
        revision=answer.revision,
        isCurrent=answer.is_current,
        routingVersion=answer.routing_version,
        out=sorted(answer.out),
        replicas=member_fields(answer.replicas),
        entries=list(answer.entries),
    )
    _write_items(message, answer.items)
    return pack(message)


def decode_feed_answer(data: bytes) -> FeedAnswer:
    """Decode an answer.

    :raises EnvelopeFormatError: the bytes are not a valid answer.
    """
    with wrap_decode_errors():
        message = unpack(schema("feed").FeedAnswer, data)
        items, unread = read_valid_items(_read_item, message.items)
        return FeedAnswer(
            run=message.run,
            cursor=message.cursor,
            revision=message.revision,
            is_current=message.isCurrent,
            routing_version=message.routingVersion,
            out=frozenset(message.out),
            items=tuple(items),
            unread=unread,
            replicas=read_members(message.replicas),
            entries=tuple(message.entries),
        )


def encode_saved_upstreams(items: Sequence[FeedItem]) -> bytes:
    """Return the encoding of upstreams to be saved in a file."""
    message = schema("feed").SavedUpstreams.new_message()
    _write_items(message, items)
    return pack(message)


def decode_saved_upstreams(data: bytes) -> tuple[list[FeedItem], int]:
    """Decode upstreams saved in a file, and count those that cannot be read.

    :raises EnvelopeFormatError: the bytes are not valid saved upstreams.
    """
    with wrap_decode_errors():
        message = unpack(schema("feed").SavedUpstreams, data)
        return read_valid_items(_read_item, message.items)


def _write_items(message: Any, items: Sequence[FeedItem]) -> None:
    builders = message.init("items", len(items))
    for builder, item in zip(builders, items, strict=True):
        write_record(builder.record, item.record)
        builder.ageSeconds = item.age_seconds
        builder.isGone = item.is_gone
        builder.origin = item.origin


def _read_item(message: Any) -> FeedItem:
    return FeedItem(
        record=read_record(message.record),
        age_seconds=message.ageSeconds,
        is_gone=message.isGone,
        origin=message.origin,
    )
