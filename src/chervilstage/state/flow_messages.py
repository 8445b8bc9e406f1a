"""The messages with which entries agree on views and exchange pins."""

from __future__ import annotations

from typing import NamedTuple

from .types import UpstreamId
from .view import ViewId


class BucketMove(NamedTuple):
    """Buckets of a service that are assigned to one upstream."""

    service: str
    upstream: UpstreamId | None
    buckets: tuple[int, ...]


class ViewPrepare(NamedTuple):
    """Announces a view as the difference from a base view, or in full if there is none.

    ``urgent`` requests an acknowledgement before lists of pins are exchanged.
    """

    view: ViewId
    base: ViewId
    urgent: bool
    moves: tuple[BucketMove, ...]


class ViewPrepared(NamedTuple):
    """Acknowledges a view.

    ``needs_full_view`` says that the sender does not have the base and needs the full
    view; ``settled`` that the view is in force and that every list of pins has arrived.
    """

    view: ViewId
    needs_full_view: bool = False
    settled: bool = False


class ViewActivate(NamedTuple):
    """Puts a prepared view in force."""

    view: ViewId


class PinItem(NamedTuple):
    """An entry's upstream for one flow.

    ``pinned`` is false if the entry has only proposed the upstream; ``number`` is then
    that of the view in force.
    """

    key: int
    upstream: UpstreamId
    number: int = 0
    pinned: bool = False


class PinQuery(NamedTuple):
    """Requests the pins of flows; the items carry the sender's own choice.

    ``query`` is the number of the query, which its answer repeats. With ``confirm``,
    the query only asks whether the flows are in use, and no upstream is chosen. With
    ``adopt``, it asks the peer to pin the flows, because the sender is leaving.
    """

    query: int
    service: str
    items: tuple[PinItem, ...]
    confirm: bool = False
    adopt: bool = False


class PinAnswer(NamedTuple):
    """Answers a query; an omitted flow is unknown to the sender."""

    query: int
    service: str
    items: tuple[PinItem, ...]


class PinAnnouncement(NamedTuple):
    """Announces pins that differ from the view, without a preceding query."""

    service: str
    items: tuple[PinItem, ...]


class PinListRequest(NamedTuple):
    """Requests the pins in some buckets that differ from a view.

    ``early`` is set for requests before the view is in force. ``is_full`` requests all
    known pins, including those that the receiver could otherwise omit.
    ``has_early_lists`` says that the sender has all early lists of this view.
    ``after_key`` is the key after which to continue in the first bucket.
    """

    view: ViewId
    service: str
    buckets: tuple[int, ...]
    after_key: int
    early: bool
    is_full: bool
    has_early_lists: bool


class PinListPage(NamedTuple):
    """Answers a list request with as many pins as fit in a datagram.

    ``complete_buckets`` are the buckets whose pins are complete. ``known_peers`` are
    the peers whose pins of these buckets the sender knows as well. ``partial_bucket``
    is a bucket that is listed up to the key ``after_key``, -1 if there is none.
    """

    view: ViewId
    service: str
    early: bool
    complete_buckets: tuple[int, ...]
    known_peers: tuple[str, ...]
    partial_bucket: int
    after_key: int
    items: tuple[PinItem, ...]


class PinnedKeysRequest(NamedTuple):
    """Requests the flows of some buckets that the peer has pinned."""

    service: str
    buckets: tuple[int, ...]


class PinnedKeysPage(NamedTuple):
    """Lists the pinned flows by bucket, as 24 bits of each fingerprint."""

    service: str
    buckets: tuple[int, ...]
    digests: tuple[tuple[int, ...], ...]


FlowMessage = (
    ViewPrepare
    | ViewPrepared
    | ViewActivate
    | PinQuery
    | PinAnswer
    | PinAnnouncement
    | PinListRequest
    | PinListPage
    | PinnedKeysRequest
    | PinnedKeysPage
)
