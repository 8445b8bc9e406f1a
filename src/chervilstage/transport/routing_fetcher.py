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

# A replica that has been lost is passed over after the first time. A table that a full
# link carries slowly gets more time after each failure, so that it arrives in the end.
FETCH_SECONDS = 1.0
LONGEST_FETCH_SECONDS = 8.0
RETRY_SECONDS = 0.1


class RoutingFetcher:
    """Gets each version of the routing table once.

    The replicas tell the versions that they have. One of them sends the table, since a
    copy from each would fill the link of an entry.

    :param held: returns the version that is held here.
    :param take: called with each table.
    """

    def __init__(
        self,
        *,
        frames: FrameClient,
        held: Callable[[], int],
        take: Callable[[RoutingDocument], None],
    ) -> None:
        self.frames = frames
        self.held = held
        self.take = take
        self.sources: dict[Address, int] = {}
        self.wanted = 0
        self.timeout_seconds = FETCH_SECONDS
        self.news = anyio.Event()
        self.rng = Random()

    def note(self, address: Address, version: int) -> None:
        """Take note of the version that a replica has."""
        self.sources.pop(address, None)
        self.sources[address] = version
        self.wanted = max(self.wanted, version)
        if self.held() < version:
            self.news.set()

    def newest_source(self) -> Address | None:
        """Return the replica that was the last to tell of the wanted version."""
        found = [a for a, version in self.sources.items() if version >= self.wanted]
        return found[-1] if found else None

    async def fetch(self, address: Address, seconds: float) -> RoutingDocument:
        """Fetch the wanted version or a later one.

        :raises PeerUnreachableError: no answer came in time.
        :raises RoutingNotHeldError: the replica does not have it any more.
        """
        started = replica_clock()
        query = encode_routing_query(self.wanted)
        answer = await self.frames.call(address, Kind.ROUTING_FETCH, query, seconds)
        if not answer:
            raise RoutingNotHeldError(version=self.wanted)
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
        """Fetch until the wanted version is held or no replica has it."""
        while self.held() < self.wanted:
            address = self.newest_source()
            if address is None:
                return
            try:
                self.take(await self.fetch(address, self.timeout_seconds))
            except ChervilstageError as error:
                self.sources.pop(address, None)
                _log_failure(address, self.wanted, error)
                self.timeout_seconds = min(
                    2 * self.timeout_seconds, LONGEST_FETCH_SECONDS
                )
                await anyio.sleep(RETRY_SECONDS * (0.5 + self.rng.random()))
            else:
                self.timeout_seconds = FETCH_SECONDS

    async def run(self) -> None:
        """Fetch each new version until cancelled."""
        while True:
            await self.news.wait()
            self.news = anyio.Event()
            await self.fetch_wanted()

    async def start(self, group: TaskGroup) -> None:
        """Begin to fetch."""
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
