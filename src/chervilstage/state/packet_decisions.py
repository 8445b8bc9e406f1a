"""What an entry does with a caller's packet."""

from __future__ import annotations

from typing import NamedTuple

from .token_flows import TokenFlow
from .types import Address


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
