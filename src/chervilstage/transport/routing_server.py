"""Sends the routing table to the entries that fetch it."""

from __future__ import annotations

from collections.abc import Callable

from ..protocol.kinds import Kind
from ..protocol.routing_messages import decode_routing_query, encode_routing_table
from ..state.configuration import RoutingDocument
from .frame_channel import FrameServer


def serve_routing(
    frames: FrameServer, accepted: Callable[[], RoutingDocument | None]
) -> None:
    """Answer fetches with the accepted table, encoded once for each version.

    :param accepted: returns the newest table that this replica knows to be accepted.
    """
    version, encoded = 0, b""

    async def answer(sender: str, body: bytes) -> bytes:
        """Return the accepted table, or nothing if it is older than asked for."""
        nonlocal version, encoded
        document = accepted()
        if document is None or document.version < decode_routing_query(body):
            return b""
        if document.version != version:
            version, encoded = document.version, encode_routing_table(document)
        return encoded

    frames.serve(Kind.ROUTING_FETCH, answer)
