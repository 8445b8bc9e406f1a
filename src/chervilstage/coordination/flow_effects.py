"""Effects of the decisions about flows."""

from __future__ import annotations

from typing import NamedTuple

from ..state.flow_messages import FlowMessage
from ..state.flow_table import Pin
from ..state.types import UpstreamId


class Ask(NamedTuple):
    """Hold the packet until the flow is released."""


class Drop(NamedTuple):
    """Drop the packet; ``reason`` labels the counter."""

    reason: str


class SendPeer(NamedTuple):
    """Send a message to a peer."""

    peer: str
    message: FlowMessage


class Release(NamedTuple):
    """Send the packets that were held for a flow, or drop them without upstream."""

    service: str
    key: int
    upstream: UpstreamId | None


# A packet is sent to the upstream of its flow's pin.
Decision = Pin | Ask | Drop
FlowEffect = SendPeer | Release
