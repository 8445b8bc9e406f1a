"""The packets that the load tool and the stand-in upstreams exchange."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamName(NamedTuple):
    """The identity that a stand-in upstream reports in its answers."""

    service: str
    address: str
    incarnation: int
    data_centre: str


class CallerPacket(NamedTuple):
    """A packet of one flow; ``subscribe`` requests updates of the flow's feed."""

    service: str
    flow: str
    sequence: int
    subscribe: bool
    body: bytes


class PacketAnswer(NamedTuple):
    """The answer of an upstream, which echoes the packet."""

    upstream: UpstreamName
    packet: CallerPacket


class FeedUpdate(NamedTuple):
    """An update that an upstream pushed to a caller."""

    upstream: UpstreamName
    feed: str
    number: int
