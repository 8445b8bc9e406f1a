"""Flow tokens: 32-bit identifiers of upstreams that callers return in every packet.

Copies of an opening packet carry provisional tokens, since several upstreams may
answer them. The entry through which the flow opens replaces the provisional token with
the plain one, so a provisional token at any other entry may identify an upstream that
does not have the flow.
"""

from __future__ import annotations

from collections.abc import Iterable

from ..state.types import UpstreamId, UpstreamRecord
from ..state.upstream_keys import upstream_key

TOKEN_MASK = 0x7FFFFFFF
PROVISIONAL_BIT = 0x80000000


def flow_token(identity: UpstreamId) -> int:
    """Return the token of an upstream; it is never 0, which means no token.

    Every entry computes the same token, so an entry needs no state of another one to
    relay a flow.
    """
    return upstream_key(identity) & TOKEN_MASK or 1


def provisional_token(identity: UpstreamId) -> int:
    """Return the token of an upstream in an opening packet."""
    return flow_token(identity) | PROVISIONAL_BIT


def is_provisional(token: int) -> bool:
    """Return whether a token comes from an answer to an opening packet."""
    return bool(token & PROVISIONAL_BIT)


def is_different_upstream(token: int, other: int) -> bool:
    """Return whether two tokens, provisional or not, identify different upstreams."""
    return bool((token ^ other) & TOKEN_MASK)


def records_by_token(records: Iterable[UpstreamRecord]) -> dict[int, UpstreamRecord]:
    """Return the upstream that each token identifies.

    If several upstreams share a token, every entry assigns it to the one that started
    first; the others get no new flows. Among 47,000 upstreams such a collision exists
    with a probability of about 2 in 5.
    """
    owners: dict[int, UpstreamRecord] = {}
    for record in records:
        token = flow_token(record.identity)
        other = owners.get(token)
        if other is None or _start_order(record) < _start_order(other):
            owners[token] = record
    return owners


def _start_order(record: UpstreamRecord) -> tuple[int, UpstreamId]:
    return record.identity.incarnation, record.identity
