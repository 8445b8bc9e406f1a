"""Reads the counters of stand-in upstreams during and after a load run."""

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

POLL_SECONDS = 1.0
ANSWER_SECONDS = 2.0


class StandinReports:
    """The newest counters of each stand-in."""

    def __init__(self, *, sources: Iterable[StandinSource]) -> None:
        self.sources = tuple(sources)
        self.newest: dict[StandinSource, StandinReport] = {}

    async def poll(self) -> None:
        """Ask all stand-ins for their counters, until cancelled."""
        while True:
            await self.ask_all()
            await anyio.sleep(POLL_SECONDS)

    async def ask_all(self) -> None:
        """Ask each stand-in once; one that does not answer keeps its last report."""
        async with anyio.create_task_group() as group:
            for source in self.sources:
                group.start_soon(self.ask, source)

    async def ask(self, source: StandinSource) -> None:
        """Ask one stand-in for its counters."""
        with suppress(ChervilstageError):
            answer = await http_request(
                source.control, "GET", "/v1/report", timeout=ANSWER_SECONDS
            )
            name = f"{source.control.host}:{source.control.port}"
            self.newest[source] = decode_report(answer.body, name)

    def read_files(self) -> None:
        """Take the counters that stand-ins have written at their end."""
        for source in self.sources:
            path = Path(source.counters_file)
            if source.counters_file and path.exists():
                self.newest[source] = read_report(path)

    async def final(self) -> list[StandinReport]:
        """Return the last counters of all stand-ins."""
        await self.ask_all()
        self.read_files()
        return list(self.newest.values())
