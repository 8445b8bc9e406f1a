"""Follows the upstream feeds of the control replicas with long polls."""

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

LONG_POLL_SECONDS = 1.0
ANSWER_MARGIN_SECONDS = 0.8
RETRY_SECONDS = 0.2
# Time without an answer of a replica with a majority until the replicas in the
# settings are queried as well; longer than an election.
NO_MAJORITY_SECONDS = 3.0
RECONCILE_SECONDS = 0.5
# A reachable replica answers at least once per LONG_POLL_SECONDS.
RECENT_ANSWER_SECONDS = 1.5

AnswerHandler = Callable[[Address, FeedAnswer], None]


class FeedFollower:
    """Keeps one query open at each control replica.

    Answers list the members of the replica set. While none of these members is
    in contact with a majority, the replicas in the settings are queried as well.

    :param own: name, data centre and address of this process.
    :param is_entry: whether this process is an entry.
    :param listed: returns the frame addresses of the replicas in the settings.
    :param revision: returns the newest revision that this process has received.
    :param on_answer: called with each answer and the address of its replica.
    """

    def __init__(
        self,
        *,
        own: Peer,
        is_entry: bool,
        listed: Callable[[], Sequence[Address]],
        revision: Callable[[], int],
        on_answer: AnswerHandler,
        frames: FrameClient,
    ) -> None:
        self.own = own
        self.is_entry = is_entry
        self.listed = listed
        self.revision = revision
        self.on_answer = on_answer
        self.frames = frames
        self.member_addresses: set[Address] = set()
        self.last_current_at = float("-inf")
        self.query_scopes: dict[Address, anyio.CancelScope] = {}
        self.answered_at: dict[int, float] = {}
        self.rng = Random()

    def addresses_to_query(self) -> set[Address]:
        """Return the addresses of the replicas to query."""
        addresses = set(self.member_addresses)
        if replica_clock() - self.last_current_at > NO_MAJORITY_SECONDS:
            addresses.update(self.listed())
        addresses.discard(self.own.address)
        return addresses

    def record_answer(self, answer: FeedAnswer) -> None:
        """Record the replica set of an answer, and the time if its replica is current.

        A replica without a majority may list outdated members, so its list is used only
        while no other is known.
        """
        if answer.is_current:
            self.last_current_at = replica_clock()
        if answer.is_current or not self.member_addresses:
            self.member_addresses = {member.address for member in answer.replicas}

    def recent_runs(self) -> frozenset[int]:
        """Return the run numbers of the replicas that have answered recently."""
        since = replica_clock() - RECENT_ANSWER_SECONDS
        self.answered_at = {
            run: at for run, at in self.answered_at.items() if at > since
        }
        return frozenset(self.answered_at)

    async def query_replica(self, address: Address, scope: anyio.CancelScope) -> None:
        """Query one replica until cancelled."""
        run, cursor = 0, 0
        is_unreachable, unread_items = False, 0
        with scope:
            while True:
                query = FeedQuery(
                    sender=self.own,
                    is_entry=self.is_entry,
                    run=run,
                    cursor=cursor,
                    revision=self.revision(),
                    wait_seconds=LONG_POLL_SECONDS,
                    answering_runs=self.recent_runs(),
                )
                try:
                    answer = await self.send_query(address, query)
                except ChervilstageError as error:
                    self.answered_at.pop(run, None)
                    if not is_unreachable:
                        _log(address, "replica_lost", logging.WARNING, reason=error)
                    is_unreachable = True
                    await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))
                    continue
                if is_unreachable or not run:
                    _log(address, "replica_heard", logging.INFO, run=answer.run)
                is_unreachable = False
                if answer.unread and not unread_items:
                    _log(address, "feed_unread", logging.WARNING, items=answer.unread)
                unread_items = answer.unread
                run, cursor = answer.run, answer.cursor
                self.answered_at[run] = replica_clock()
                self.record_answer(answer)
                self.on_answer(address, answer)

    async def send_query(self, address: Address, query: FeedQuery) -> FeedAnswer:
        """Send one query and return its answer.

        :raises PeerUnreachableError: no answer arrived in time.
        """
        body = await self.frames.call(
            address,
            Kind.UPSTREAM_FEED,
            encode_feed_query(query),
            LONG_POLL_SECONDS + ANSWER_MARGIN_SECONDS,
        )
        return decode_feed_answer(body)

    async def reconcile_queries(self, group: TaskGroup) -> None:
        """Start and cancel query tasks as the set of replicas changes."""
        while True:
            wanted_addresses = self.addresses_to_query()
            for address in wanted_addresses - self.query_scopes.keys():
                scope = self.query_scopes[address] = anyio.CancelScope()
                group.start_soon(self.query_replica, address, scope)
            for address in self.query_scopes.keys() - wanted_addresses:
                self.query_scopes.pop(address).cancel()
            await anyio.sleep(RECONCILE_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Start the query tasks."""
        group.start_soon(self.reconcile_queries, group)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="feed_follower", start=self.start)


def _log(address: Address, event: str, level: int, **fields: object) -> None:
    log_event(event, level=level, replica=f"{address.host}:{address.port}", **fields)
