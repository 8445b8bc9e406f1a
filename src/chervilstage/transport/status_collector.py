"""Collects the status of entries and replicas."""

from __future__ import annotations

from collections.abc import Iterable

import anyio

from ..errors import ChervilstageError
from ..protocol.control_messages import ProcessStatus, decode_status
from ..protocol.kinds import Kind
from ..state.types import Address, Peer
from .frame_channel import FrameClient

STATUS_TIMEOUT_SECONDS = 1.0
CONCURRENT_CALLS = 64


async def fetch_status(frames: FrameClient, address: Address) -> ProcessStatus | None:
    """Return the status of a process, None if it does not answer in time."""
    try:
        return decode_status(
            await frames.call(address, Kind.STATUS, b"", STATUS_TIMEOUT_SECONDS)
        )
    except ChervilstageError:
        return None


async def collect_statuses(
    frames: FrameClient, peers: Iterable[Peer]
) -> dict[str, ProcessStatus | None]:
    """Return the status of each process by name, None for unreachable ones."""
    statuses: dict[str, ProcessStatus | None] = {}
    limiter = anyio.CapacityLimiter(CONCURRENT_CALLS)

    async def store_status(peer: Peer) -> None:
        """Store the status of one process."""
        async with limiter:
            statuses[peer.name] = await fetch_status(frames, peer.address)

    async with anyio.create_task_group() as group:
        for peer in peers:
            group.start_soon(store_status, peer)
    return statuses
