"""Fetches the routing table from one control replica at a time."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..errors.upstreams import RoutingNotHeldError
from ..protocol.kinds import Kind
from ..protocol.routing_messages import decode_routing_table, encode_routing_query
from ..state.configuration import RoutingDocument
from ..state.types import Address
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameClient

# An unreachable replica is skipped after one failure until it reports a version again.
# The timeout grows with each failure, so that a table arrives over a fully loaded link.
INITIAL_FETCH_TIMEOUT_SECONDS = 1.0
MAX_FETCH_TIMEOUT_SECONDS = 8.0
RETRY_SECONDS = 0.1


class RoutingFetcher:
    """Fetches each version of the routing table once.

    The replicas report the versions that they have. Only one of them sends the table,
    since a copy from each would fill the link of an entry.

    :param current_version: returns the version that this process has.
    :param on_table: called with each fetched table.
    """

    def __init__(
        self,
        *,
        frames: FrameClient,
        current_version: Callable[[], int],
        on_table: Callable[[RoutingDocument], None],
    ) -> None:
        self.frames = frames
        self.current_version = current_version
        self.on_table = on_table
        self.sources: dict[Address, int] = {}
        self.wanted_version = 0
        self.timeout_seconds = INITIAL_FETCH_TIMEOUT_SECONDS
        self.version_reported = anyio.Event()
        self.rng = Random()

    def record_version(self, address: Address, version: int) -> None:
        """Record the version that a replica reports, as the latest report."""
        self.sources.pop(address, None)
        self.sources[address] = version
        self.wanted_version = max(self.wanted_version, version)
        if self.current_version() < version:
            self.version_reported.set()

    def newest_source(self) -> Address | None:
        """Return the replica that was the last to report the wanted version, if any."""
        candidates = [
            a for a, version in self.sources.items() if version >= self.wanted_version
        ]
        return candidates[-1] if candidates else None

    async def fetch(self, address: Address, seconds: float) -> RoutingDocument:
        """Fetch the wanted version or a later one.

        :raises PeerUnreachableError: no answer arrived in time.
        :raises RoutingNotHeldError: the replica no longer has the version.
        """
        started = replica_clock()
        query = encode_routing_query(self.wanted_version)
        answer = await self.frames.call(address, Kind.ROUTING_FETCH, query, seconds)
        if not answer:
            raise RoutingNotHeldError(version=self.wanted_version)
        document = decode_routing_table(answer)
        log_event(
            "routing_fetched",
            replica=f"{address.host}:{address.port}",
            version=document.version,
            bytes=len(document.content),
            bytes_sent=len(answer),
            seconds=round(replica_clock() - started, 3),
        )
        return document

    async def fetch_wanted(self) -> None:
        """Fetch until this process has the wanted version or no replica has it."""
        while self.current_version() < self.wanted_version:
            address = self.newest_source()
            if address is None:
                return
            try:
                self.on_table(await self.fetch(address, self.timeout_seconds))
            except ChervilstageError as error:
                self.sources.pop(address, None)
                _log_failure(address, self.wanted_version, error)
                self.timeout_seconds = min(
                    2 * self.timeout_seconds, MAX_FETCH_TIMEOUT_SECONDS
                )
                await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))
            else:
                self.timeout_seconds = INITIAL_FETCH_TIMEOUT_SECONDS

    async def run(self) -> None:
        """Fetch each new version until cancelled."""
        while True:
            await self.version_reported.wait()
            self.version_reported = anyio.Event()
            await self.fetch_wanted()

    async def start(self, group: TaskGroup) -> None:
        """Start the fetch task."""
        group.start_soon(self.run)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="routing_fetcher", start=self.start)


def _log_failure(address: Address, version: int, error: ChervilstageError) -> None:
    log_event(
        "routing_not_fetched",
        level=logging.WARNING,
        replica=f"{address.host}:{address.port}",
        version=version,
        code=error.code,
        reason=error,
    )
