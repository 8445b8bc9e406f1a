"""Which replicas a follower of the feed says that it hears."""

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
    """Answers some queries and then none.

    :param answers: how many queries are answered.
    """

    def __init__(self, *, answers: int) -> None:
        self.answers = answers
        self.queries: list[FeedQuery] = []
        self.refused = anyio.Event()

    async def call(
        self, address: Address, kind: Kind, body: bytes, seconds: float
    ) -> bytes:
        """Answer a query."""
        self.queries.append(decode_feed_query(body))
        if len(self.queries) > self.answers:
            self.refused.set()
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


def test_a_replica_that_answers_is_heard_until_it_does_not() -> None:
    """Guards against announcements that no replica tells: all rely on a lost one."""
    replica = FakeReplica(answers=2)
    follower = FeedFollower(
        own=Peer(name="entry-1", data_centre="", address=Address(host="h", port=1)),
        is_entry=True,
        listed=lambda: [REPLICA],
        revision=lambda: 0,
        take=lambda address, answer: None,
        frames=cast(Any, replica),
    )

    async def main() -> None:
        scope = anyio.CancelScope()
        async with anyio.create_task_group() as group:
            group.start_soon(follower.follow, REPLICA, scope)
            await replica.refused.wait()
            scope.cancel()

    anyio.run(main)
    assert [query.heard for query in replica.queries] == [
        frozenset(),
        frozenset({RUN}),
        frozenset({RUN}),
    ]
    assert follower.heard() == frozenset()
