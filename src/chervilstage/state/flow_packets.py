"""Packets of flows whose callers return a flow token."""

from __future__ import annotations

from typing import NamedTuple

from .routing import Endpoint

# The number of different sequences, which are byte counts modulo 2**32.
SEQUENCE_SPACE = 1 << 32


class FlowPacket(NamedTuple):
    """The header fields of a caller's packet that an entry reads.

    ``sequence`` and ``acknowledged`` count bytes modulo 2**32. ``token`` is the flow
    token that the caller received last, 0 if none. ``copy`` is how many times the
    caller had sent the same opening packet before.
    """

    caller: Endpoint
    front: Endpoint
    is_opening: bool
    is_ending: bool
    is_reset: bool
    sequence: int
    acknowledged: int
    size: int
    token: int
    copy: int = 0


def is_after(number: int, other: int) -> bool:
    """Return whether a byte count is above another, both modulo 2**32."""
    return 0 < (number - other) % SEQUENCE_SPACE < SEQUENCE_SPACE // 2
