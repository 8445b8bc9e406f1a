"""Serves the routing table to entries."""

from __future__ import annotations

from collections.abc import Callable

from ..protocol.kinds import Kind
from ..protocol.routing_messages import decode_routing_query, encode_routing_table
from ..state.configuration import RoutingDocument
from .frame_channel import FrameServer


def serve_routing(
    frames: FrameServer, accepted_table: Callable[[], RoutingDocument | None]
) -> None:
    """Answer fetches with the accepted table, which is encoded once per version.

    :param accepted_table: returns the newest table that this replica knows to be
        accepted.
    """
    version, encoded = 0, b""

    async def answer(sender: str, body: bytes) -> bytes:
        """Return the accepted table, or no bytes if it is older than requested."""
        nonlocal version, encoded
        document = accepted_table()
        if document is None or document.version < decode_routing_query(body):
            return b""
        if document.version != version:
            version, encoded = document.version, encode_routing_table(document)
        return encoded

    frames.register(Kind.ROUTING_FETCH, answer)
