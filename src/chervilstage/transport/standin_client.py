"""Fetches the counters of stand-in upstreams during and after a load run."""

from __future__ import annotations

from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import anyio

from ..errors import ChervilstageError
from ..protocol.standin_control import decode_report, read_report
from ..state.load_plan import StandinSource
from ..state.standin_report import StandinReport
from .http_client import http_request

POLL_INTERVAL_SECONDS = 1.0
ANSWER_TIMEOUT_SECONDS = 2.0


class StandinReports:
    """The latest counters of each stand-in."""

    def __init__(self, *, sources: Iterable[StandinSource]) -> None:
        self.sources = tuple(sources)
        self.latest: dict[StandinSource, StandinReport] = {}

    async def poll(self) -> None:
        """Fetch the counters of all stand-ins periodically, until cancelled."""
        while True:
            await self.fetch_all()
            await anyio.sleep(POLL_INTERVAL_SECONDS)

    async def fetch_all(self) -> None:
        """Query each stand-in once; one that does not answer keeps its last report."""
        async with anyio.create_task_group() as group:
            for source in self.sources:
                group.start_soon(self.fetch, source)

    async def fetch(self, source: StandinSource) -> None:
        """Fetch the counters of one stand-in."""
        with suppress(ChervilstageError):
            answer = await http_request(
                source.control,
                "GET",
                "/v1/report",
                timeout_seconds=ANSWER_TIMEOUT_SECONDS,
            )
            name = f"{source.control.host}:{source.control.port}"
            self.latest[source] = decode_report(answer.body, name)

    def read_files(self) -> None:
        """Read the counters that stand-ins wrote at their stop."""
        for source in self.sources:
            path = Path(source.counters_file)
            if source.counters_file and path.exists():
                self.latest[source] = read_report(path)

    async def final_reports(self) -> list[StandinReport]:
        """Return the final counters of all stand-ins."""
        await self.fetch_all()
        self.read_files()
        return list(self.latest.values())
