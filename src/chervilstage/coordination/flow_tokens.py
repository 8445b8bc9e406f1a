"""Flow tokens: 32-bit names of upstreams that callers return in every packet.

Copies of an opening packet carry provisional tokens, since several upstreams may
answer them. The entry that sees the flow open replaces the provisional token by the
plain one, so a provisional token at any other entry may name an upstream that the flow
is not at.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..state.types import UpstreamId, UpstreamRecord
from ..state.upstream_keys import upstream_key

TOKEN_MASK = 0x7FFFFFFF
PROVISIONAL = 0x80000000


def flow_token(identity: UpstreamId) -> int:
    """Return the token of an upstream; it is never 0, which stands for none.

    Every entry computes the same token, so no entry needs state of another one to
    relay a flow.
    """
    return upstream_key(identity) & TOKEN_MASK or 1


def provisional_token(identity: UpstreamId) -> int:
    """Return the token of an upstream in an opening packet."""
    return flow_token(identity) | PROVISIONAL


def is_provisional(token: int) -> bool:
    """Tell whether a token comes from an answer to an opening packet."""
    return bool(token & PROVISIONAL)


def token_holders(records: Iterable[UpstreamRecord]) -> dict[int, UpstreamRecord]:
    """Return the upstream that each token stands for.

    Of several upstreams with one token the one that started first holds it on every
    entry; the others get no new flows. Among 47,000 upstreams such a pair exists with
    probability about 2 in 5.
    """
    holders: dict[int, UpstreamRecord] = {}
    for record in records:
        token = flow_token(record.identity)
        other = holders.get(token)
        if other is None or _started(record) < _started(other):
            holders[token] = record
    return holders


def _started(record: UpstreamRecord) -> tuple[int, UpstreamId]:
    return record.identity.incarnation, record.identity
