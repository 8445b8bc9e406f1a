"""Errors of the relay of flows by token."""

from __future__ import annotations

from .base import ChervilstageError


class MalformedPacketError(ChervilstageError):
    """A datagram is not a valid packet of a flow."""

    code = "CS-RELAY-001"
    template = "datagram of {size} bytes is not a valid packet: {reason}"
