"""Queries of entries for the upstream feed."""

from __future__ import annotations

from chervilstage.state.types import Address, Peer
from chervilstage.state.upstream_feed import FeedQuery

RUN = 7


def make_query(cursor: int, *, run: int = RUN, name: str = "entry-1") -> FeedQuery:
    """Return a feed query of an entry."""
    peer = Peer(
        name=name, data_centre="gl-erie", address=Address(host="10.0.0.1", port=1)
    )
    return FeedQuery(
        sender=peer, is_entry=True, run=run, cursor=cursor, revision=0, wait_seconds=1.0
    )
