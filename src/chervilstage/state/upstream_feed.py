"""What a control replica tells entries and other replicas of the upstreams."""

from __future__ import annotations

from typing import NamedTuple

from .registry import UpstreamRegistry
from .replica_set import ReplicaMember
from .types import Address, Peer, UpstreamRecord


class FeedItem(NamedTuple):
    """A record and how long ago the upstream announced it; ``is_gone`` if it left.

    ``origin`` is the run of the replica that the upstream announced it to, 0 if that is
    not known.
    """

    record: UpstreamRecord
    age_seconds: float
    is_gone: bool
    origin: int = 0


class FeedQuery(NamedTuple):
    """A query of an entry or a replica for what is new.

    ``run`` and ``cursor`` are those of the last answer of this replica, 0 before the
    first. ``revision`` is the newest one that the sender has been told of. The answer
    may be held back for ``wait_seconds`` until there is news. ``heard`` are the runs
    of the replicas that have answered the sender lately.
    """

    sender: Peer
    is_entry: bool
    run: int
    cursor: int
    revision: int
    wait_seconds: float
    heard: frozenset[int] = frozenset()


class FeedAnswer(NamedTuple):
    """What is new since a query's cursor.

    ``is_current`` tells that the replica follows a leader that has a majority, so its
    configuration is at most a moment old. ``routing_version`` (0 if there is no table)
    and ``out`` belong to ``revision``; the table itself is fetched from one replica.
    ``unread`` counts the items that cannot be read.
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
    """An entry that asks this replica; ``cursor`` is what it has for certain."""

    peer: Peer
    asked_at: float
    cursor: int


class UpstreamFeed:
    """The upstreams that a control replica has heard of, and who follows them.

    ``cursor`` counts the changes; ``changed`` holds the count at which an address
    changed last and ``news`` the last change that followers should hear of at
    once, ``news_of`` that of each address. ``origin`` is the run of the replica that
    heard the newest announcement of an address.

    :param run: a random number that tells this run of the process from others.
    """

    def __init__(self, *, run: int) -> None:
        self.run = run
        self.cursor = 0
        self.news = 0
        self.changed: dict[Address, int] = {}
        self.news_of: dict[Address, int] = {}
        self.origin: dict[Address, int] = {}
        self.registry = UpstreamRegistry()
        self.followers: dict[str, Follower] = {}
