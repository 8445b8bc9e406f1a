"""The feed of upstream records from a control replica to entries and replicas."""

from __future__ import annotations

from typing import NamedTuple

from .registry import UpstreamRegistry
from .replica_set import ReplicaMember
from .types import Address, Peer, UpstreamRecord


class FeedItem(NamedTuple):
    """A record and how long ago the upstream announced it.

    ``is_gone`` says that the upstream has ended. ``origin`` is the run of the replica
    that the upstream announced the record to, 0 if that is unknown.
    """

    record: UpstreamRecord
    age_seconds: float
    is_gone: bool
    origin: int = 0


class FeedQuery(NamedTuple):
    """A query of an entry or a replica for changes.

    ``run`` and ``cursor`` are those of the last answer of the queried replica, 0 before
    the first. ``revision`` is the newest one that was announced to the sender. The
    answer may be delayed by up to ``wait_seconds`` until there is a change.
    ``answering_runs`` are the runs of the replicas that have answered the sender
    recently.
    """

    sender: Peer
    is_entry: bool
    run: int
    cursor: int
    revision: int
    wait_seconds: float
    answering_runs: frozenset[int] = frozenset()


class FeedAnswer(NamedTuple):
    """The changes since a query's cursor.

    ``is_current`` says that the replica follows a leader that has a majority, so its
    configuration is nearly up to date. ``routing_version`` (0 if there is no table) and
    ``out`` belong to ``revision``; the table itself is fetched from one replica.
    ``unread`` counts the items that the receiver could not decode.
    """

    run: int
    cursor: int
    revision: int
    is_current: bool
    routing_version: int
    out: frozenset[str]
    items: tuple[FeedItem, ...]
    replicas: tuple[ReplicaMember, ...]
    entries: tuple[str, ...]
    unread: int = 0


class Follower(NamedTuple):
    """An entry that polls this replica; ``cursor`` is the last one it has confirmed."""

    peer: Peer
    asked_at: float
    cursor: int


class UpstreamFeed:
    """The upstreams known to a control replica, and the entries that follow them.

    ``cursor`` counts the changes; ``address_cursors`` holds the count at which an
    address changed last. ``urgent_cursor`` is the count of the last change that has to
    be sent to followers at once, and ``urgent_address_cursors`` that of each address.
    ``origins`` holds the run of the replica that received the newest announcement of an
    address.

    :param run: a random number that distinguishes this run of the process from others.
    """

    def __init__(self, *, run: int) -> None:
        self.run = run
        self.cursor = 0
        self.urgent_cursor = 0
        self.address_cursors: dict[Address, int] = {}
        self.urgent_address_cursors: dict[Address, int] = {}
        self.origins: dict[Address, int] = {}
        self.registry = UpstreamRegistry()
        self.followers: dict[str, Follower] = {}
