"""The messages by which entries agree on views and tell each other of pins."""

from __future__ import annotations

from typing import NamedTuple

from .types import UpstreamId
from .view import ViewId


class BucketMove(NamedTuple):
    """Buckets of a service that go to one upstream."""

    service: str
    upstream: UpstreamId | None
    buckets: tuple[int, ...]


class ViewPrepare(NamedTuple):
    """Announces a view as its difference from a base; from no base it is whole.

    ``urgent`` asks for an acknowledgement before lists of pins are exchanged.
    """

    view: ViewId
    base: ViewId
    urgent: bool
    moves: tuple[BucketMove, ...]


class ViewPrepared(NamedTuple):
    """Acknowledges a view.

    ``needs_whole`` says that the base is not known here; ``settled`` that the view is
    in force and that every list of pins has arrived.
    """

    view: ViewId
    needs_whole: bool = False
    settled: bool = False


class ViewActivate(NamedTuple):
    """Puts a prepared view in force."""

    view: ViewId


class PinItem(NamedTuple):
    """What an entry says of one flow.

    ``pinned`` is false for a choice that is not made yet; ``number`` is then that of
    the view in force.
    """

    key: int
    upstream: UpstreamId
    number: int = 0
    pinned: bool = False


class PinQuery(NamedTuple):
    """Asks for the pins of flows; the items carry the asker's own choice.

    ``confirm`` asks only whether the flows are in use: nothing is chosen. ``adopt``
    asks the peer to pin the flows, as the asker leaves.
    """

    query: int
    service: str
    items: tuple[PinItem, ...]
    confirm: bool = False
    adopt: bool = False


class PinAnswer(NamedTuple):
    """Answers a query; a flow that is left out is not known."""

    query: int
    service: str
    items: tuple[PinItem, ...]


class PinTold(NamedTuple):
    """Tells of exceptions without having been asked."""

    service: str
    items: tuple[PinItem, ...]


class ListRequest(NamedTuple):
    """Asks for the pins of buckets that differ from a view.

    ``early`` asks before the view is in force. ``whole`` asks for everything that is
    known, nothing left out. ``had_early`` says that all early lists of this view have
    come. ``after`` goes on within the first bucket.
    """

    view: ViewId
    service: str
    buckets: tuple[int, ...]
    after: int
    early: bool
    whole: bool
    had_early: bool


class ListPage(NamedTuple):
    """Answers a list request as far as a datagram goes.

    ``done`` are the buckets whose pins are all told. ``known_of`` are the peers whose
    pins of these buckets the sender knows too. ``partial`` is a bucket that is told up
    to the key ``after``, -1 if there is none.
    """

    view: ViewId
    service: str
    early: bool
    done: tuple[int, ...]
    known_of: tuple[str, ...]
    partial: int
    after: int
    items: tuple[PinItem, ...]


class HeldRequest(NamedTuple):
    """Asks which flows of some buckets the peer has pinned."""

    service: str
    buckets: tuple[int, ...]


class HeldPage(NamedTuple):
    """Answers with 24 bits of each fingerprint, by bucket."""

    service: str
    buckets: tuple[int, ...]
    digests: tuple[tuple[int, ...], ...]


FlowMessage = (
    ViewPrepare
    | ViewPrepared
    | ViewActivate
    | PinQuery
    | PinAnswer
    | PinTold
    | ListRequest
    | ListPage
    | HeldRequest
    | HeldPage
)
