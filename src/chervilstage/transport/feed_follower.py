"""Asks the control replicas for upstreams and configuration."""

from __future__ import annotations

import logging
from collections.abc import Callable, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..protocol.feed_messages import decode_feed_answer, encode_feed_query
from ..protocol.kinds import Kind
from ..state.types import Address, Peer
from ..state.upstream_feed import FeedAnswer, FeedQuery
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameClient

WAIT_SECONDS = 1.0
ANSWER_SECONDS = 0.8
RETRY_SECONDS = 0.2
# Longer than an election among the replicas.
SILENT_SECONDS = 3.0
REVIEW_SECONDS = 0.5
# A replica that answers does so once a second at least.
HEARD_SECONDS = 1.5

TakeAnswer = Callable[[Address, FeedAnswer], None]


class FeedFollower:
    """Keeps one query open at each control replica.

    The replicas name each other in their answers; the listed ones are asked as well
    while none of the named ones has a majority.

    :param own: this process.
    :param is_entry: whether this process is an entry.
    :param listed: returns where the replicas of the settings take frames.
    :param revision: returns the newest revision that this process has been told of.
    :param take: called with the address of a replica and its answer.
    """

    def __init__(
        self,
        *,
        own: Peer,
        is_entry: bool,
        listed: Callable[[], Sequence[Address]],
        revision: Callable[[], int],
        take: TakeAnswer,
        frames: FrameClient,
    ) -> None:
        self.own = own
        self.is_entry = is_entry
        self.listed = listed
        self.revision = revision
        self.take = take
        self.frames = frames
        self.named: set[Address] = set()
        self.current_at = float("-inf")
        self.scopes: dict[Address, anyio.CancelScope] = {}
        self.heard_at: dict[int, float] = {}
        self.rng = Random()

    def wanted(self) -> set[Address]:
        """Return the replicas to ask."""
        addresses = set(self.named)
        if replica_clock() - self.current_at > SILENT_SECONDS:
            addresses.update(self.listed())
        addresses.discard(self.own.address)
        return addresses

    def note(self, answer: FeedAnswer) -> None:
        """Take note of an answer and of the replicas that it names."""
        if answer.is_current:
            self.current_at = replica_clock()
        if answer.is_current or not self.named:
            self.named = {member.address for member in answer.replicas}

    def heard(self) -> frozenset[int]:
        """Return the runs of the replicas that have answered lately."""
        since = replica_clock() - HEARD_SECONDS
        self.heard_at = {run: at for run, at in self.heard_at.items() if at > since}
        return frozenset(self.heard_at)

    async def follow(self, address: Address, scope: anyio.CancelScope) -> None:
        """Ask one replica until cancelled."""
        run, cursor = 0, 0
        is_lost, unread = False, 0
        with scope:
            while True:
                query = FeedQuery(
                    sender=self.own,
                    is_entry=self.is_entry,
                    run=run,
                    cursor=cursor,
                    revision=self.revision(),
                    wait_seconds=WAIT_SECONDS,
                    heard=self.heard(),
                )
                try:
                    answer = await self.ask(address, query)
                except ChervilstageError as error:
                    self.heard_at.pop(run, None)
                    if not is_lost:
                        _log(address, "replica_lost", logging.WARNING, reason=error)
                    is_lost = True
                    await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))
                    continue
                if is_lost or not run:
                    _log(address, "replica_heard", logging.INFO, run=answer.run)
                is_lost = False
                if answer.unread and not unread:
                    _log(address, "feed_unread", logging.WARNING, items=answer.unread)
                unread = answer.unread
                run, cursor = answer.run, answer.cursor
                self.heard_at[run] = replica_clock()
                self.note(answer)
                self.take(address, answer)

    async def ask(self, address: Address, query: FeedQuery) -> FeedAnswer:
        """Send one query.

        :raises PeerUnreachableError: no answer came in time.
        """
        body = await self.frames.call(
            address,
            Kind.UPSTREAM_FEED,
            encode_feed_query(query),
            WAIT_SECONDS + ANSWER_SECONDS,
        )
        return decode_feed_answer(body)

    async def review(self, group: TaskGroup) -> None:
        """Begin and end queries as the set of replicas changes."""
        while True:
            wanted = self.wanted()
            for address in wanted - self.scopes.keys():
                scope = self.scopes[address] = anyio.CancelScope()
                group.start_soon(self.follow, address, scope)
            for address in self.scopes.keys() - wanted:
                self.scopes.pop(address).cancel()
            await anyio.sleep(REVIEW_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Begin to ask."""
        group.start_soon(self.review, group)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="feed_follower", start=self.start)


def _log(address: Address, event: str, level: int, **fields: object) -> None:
    log_event(event, level=level, replica=f"{address.host}:{address.port}", **fields)
