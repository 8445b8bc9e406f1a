"""The decisions of an entry about a caller's packet."""

from __future__ import annotations

from typing import NamedTuple

from .token_flows import TokenFlow
from .types import Address


class Forward(NamedTuple):
    """Send a packet to an upstream; ``token`` replaces the packet's own if not None.

    ``label`` is the number that identifies the upstream in relayed packets.
    ``is_found`` says that this entry did not know the flow and found its upstream by
    the packet's token, ``has_opened`` that this packet opened the flow here.
    """

    address: Address
    label: int
    token: int | None
    is_found: bool = False
    has_opened: bool = False


class ResetFlow(NamedTuple):
    """Tell the caller that its flow is closed.

    ``sequence`` is the sequence that the caller last acknowledged. ``reason`` and
    ``flow`` are for the log; ``flow`` is this entry's state of the flow, None if it had
    none. ``is_open`` says whether the flow may still be open at the caller.
    """

    sequence: int
    reason: str
    is_open: bool = False
    flow: TokenFlow | None = None


class DropPacket(NamedTuple):
    """Send nothing; ``reason`` names a counter."""

    reason: str


PacketDecision = Forward | ResetFlow | DropPacket
