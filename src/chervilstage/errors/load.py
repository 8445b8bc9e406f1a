"""Errors of the load tool and the stand-in upstreams."""

from __future__ import annotations

from .base import ChervilstageError


class LoadAddressError(ChervilstageError):
    """A plan names an address outside 127.0.0.0/8."""

    code = "CS-LOAD-001"
    template = "{file}: {key}: {address} is outside 127.0.0.0/8"


class LoadPacketError(ChervilstageError):
    """A datagram is not a packet of the load tool, or its content is damaged."""

    code = "CS-LOAD-002"
    template = "not an intact packet of the load tool: {reason}"


class LoadBoundError(ChervilstageError):
    """A plan asks for more load than the tool may generate."""

    code = "CS-LOAD-003"
    template = "{file}: {key}: {value} exceeds the limit of {bound}"
