"""Effects of the decisions about flows."""

from __future__ import annotations

from typing import NamedTuple

from ..state.flow_messages import FlowMessage
from ..state.flow_table import Pin
from ..state.types import UpstreamId


class HoldPacket(NamedTuple):
    """Hold the packet until a ``ReleasePackets`` of its flow."""


class Drop(NamedTuple):
    """Drop the packet; ``reason`` labels the counter."""

    reason: str


class SendToPeer(NamedTuple):
    """Send a message to a peer."""

    peer: str
    message: FlowMessage


class ReleasePackets(NamedTuple):
    """Send the held packets of a flow, or drop them if ``upstream`` is None."""

    service: str
    key: int
    upstream: UpstreamId | None


# For a ``Pin``, the packet is sent to the upstream of the pin.
FlowDecision = Pin | HoldPacket | Drop
FlowEffect = SendToPeer | ReleasePackets
