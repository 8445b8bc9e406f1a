"""Asks entries and replicas for their status."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from ..errors import ChervilstageError
from ..protocol.control_messages import ProcessStatus, decode_status
from ..protocol.kinds import Kind
from ..state.types import Address, Peer
from .frame_channel import FrameClient

STATUS_SECONDS = 1.0
CONCURRENT_CALLS = 64


async def fetch_status(frames: FrameClient, address: Address) -> ProcessStatus | None:
    """Return what a process reports, None if it does not answer in time."""
    try:
        return decode_status(
            await frames.call(address, Kind.STATUS, b"", STATUS_SECONDS)
        )
    except ChervilstageError:
        return None


async def collect_statuses(
    frames: FrameClient, peers: Iterable[Peer]
) -> dict[str, ProcessStatus | None]:
    """Return the status of each process by name, None where it was not reached."""
    found: dict[str, ProcessStatus | None] = {}
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def ask(peer: Peer) -> None:
        """Store the status of one process."""
        async with limiter:
            found[peer.name] = await fetch_status(frames, peer.address)

    async with anyio.create_task_group() as group:
        for peer in peers:
            group.start_soon(ask, peer)
    return found
