"""The packets of flows whose callers return a flow token."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from .routing import Endpoint
from .types import Address

if TYPE_CHECKING:
    from .token_flows import TokenFlow

NUMBER_SPACE = 1 << 32


class FlowPacket(NamedTuple):
    """What an entry sees of a caller's packet.

    ``sequence`` and ``acknowledged`` count bytes modulo 2**32. ``token`` is the one
    that the caller received last, 0 if none. ``copy`` counts the times that an opening
    packet was sent before.
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


class Forward(NamedTuple):
    """Send a packet to an upstream; ``token`` replaces the packet's own if not None.

    ``is_found`` tells that this entry did not hold the flow and found its upstream by
    the packet's token, ``has_opened`` that it has seen the flow open by this packet.
    """

    address: Address
    label: int
    token: int | None
    is_found: bool = False
    has_opened: bool = False


class ResetFlow(NamedTuple):
    """Tell the caller that its flow is closed.

    ``sequence`` is what the caller last acknowledged; ``reason`` is for the log, as is
    ``flow``, what this entry held of it, None if nothing. ``is_open`` tells whether
    the caller may still hold the flow open.
    """

    sequence: int
    reason: str
    is_open: bool = False
    flow: TokenFlow | None = None


class DropPacket(NamedTuple):
    """Send nothing; ``reason`` names a counter."""

    reason: str


PacketDecision = Forward | ResetFlow | DropPacket


def is_after(number: int, other: int) -> bool:
    """Tell whether a byte count is above another, both modulo 2**32."""
    return 0 < (number - other) % NUMBER_SPACE < NUMBER_SPACE // 2
