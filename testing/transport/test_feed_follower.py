"""Replicas that a feed follower reports as answering in its queries."""

from __future__ import annotations

from typing import Any, cast

import anyio

from chervilstage.errors.access import PeerUnreachableError
from chervilstage.protocol.feed_messages import decode_feed_query, encode_feed_answer
from chervilstage.protocol.kinds import Kind
from chervilstage.state.types import Address, Peer
from chervilstage.state.upstream_feed import FeedAnswer, FeedQuery
from chervilstage.transport.feed_follower import FeedFollower

RUN = 11
REPLICA = Address(host="10.0.0.9", port=1)


class FakeReplica:
    """Replica that answers a number of queries and then becomes unreachable.

    :param answer_count: the number of answered queries.
    """

    def __init__(self, *, answer_count: int) -> None:
        self.answer_count = answer_count
        self.queries: list[FeedQuery] = []
        self.first_failure = anyio.Event()

    async def call(
        self, address: Address, kind: Kind, body: bytes, seconds: float
    ) -> bytes:
        """Answer a query, or fail after the last answer."""
        self.queries.append(decode_feed_query(body))
        if len(self.queries) > self.answer_count:
            self.first_failure.set()
            raise PeerUnreachableError(address=address, reason="cut off")
        return encode_feed_answer(
            FeedAnswer(
                run=RUN,
                cursor=len(self.queries),
                revision=0,
                is_current=True,
                routing_version=0,
                out=frozenset(),
                items=(),
                replicas=(),
                entries=(),
            )
        )


def test_a_replica_is_reported_as_answering_only_while_it_answers() -> None:
    """Guards against announcements that no replica sends to an entry.

    A replica omits announcements that the entry receives from their first replica, so
    an unreachable replica must not be reported as answering.
    """
    replica = FakeReplica(answer_count=2)
    follower = FeedFollower(
        own=Peer(name="entry-1", data_centre="", address=Address(host="h", port=1)),
        is_entry=True,
        listed=lambda: [REPLICA],
        revision=lambda: 0,
        on_answer=lambda address, answer: None,
        frames=cast(Any, replica),
    )

    async def main() -> None:
        scope = anyio.CancelScope()
        async with anyio.create_task_group() as group:
            group.start_soon(follower.query_replica, REPLICA, scope)
            await replica.first_failure.wait()
            scope.cancel()

    anyio.run(main)
    assert [query.answering_runs for query in replica.queries] == [
        frozenset(),
        frozenset({RUN}),
        frozenset({RUN}),
    ]
    assert follower.recent_runs() == frozenset()
