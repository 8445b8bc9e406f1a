"""Overload of real entries and upstreams by callers that retry."""

from __future__ import annotations

import itertools
import tempfile
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import anyio

from chervilstage.errors import ChervilstageError
from chervilstage.state.types import Address
from chervilstage.transport.http_client import http_request
from testing.support.cell import Cell
from testing.support.request_calls import TCP_PORT, start_upstream

from .figures import Figure
from .request_simulation import (
    AFTER_SHARE,
    CALLER_PAUSE_SECONDS,
    CALLER_TRIES,
    CALM_SHARE,
    DEADLINE_SECONDS,
    IN_TIME_SHARE,
    OVERLOAD_SHARE,
    WINDOW_SECONDS,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
SLOTS = 8
WORK_MS = 200.0
CAPACITY = len(LAYOUT) / 2 * SLOTS / (WORK_MS / 1000)
CALM_SECONDS, OVERLOAD_SECONDS, AFTER_SECONDS = 2.0, 6.0, 10.0
WARM_UP_SECONDS = 20.0


class Try(NamedTuple):
    """One try of a caller, and whether it was answered in time."""

    ended: float
    answered: bool


class Callers:
    """Callers that offer a rate of requests to entries in turn."""

    def __init__(self, *, addresses: list[Address]) -> None:
        self.addresses = itertools.cycle(addresses)
        self.tries: list[Try] = []
        self.overload_began = 0.0
        self.overload_ended = 0.0

    async def run(self) -> None:
        """Offer calm, overload and calm again."""
        async with anyio.create_task_group() as group:
            # Upstreams that have just started are ramped; the ramp is not measured.
            with anyio.move_on_after(WARM_UP_SECONDS):
                while not self.is_warm():
                    await self.offer(group, CALM_SHARE, CALM_SECONDS)
            self.overload_began = anyio.current_time()
            await self.offer(group, OVERLOAD_SHARE, OVERLOAD_SECONDS)
            self.overload_ended = anyio.current_time()
            await self.offer(group, AFTER_SHARE, AFTER_SECONDS)

    def is_warm(self) -> bool:
        """Tell whether the last requests were all answered in time."""
        last = self.tries[-int(CAPACITY * CALM_SHARE) :]
        return len(last) > 1 and all(t.answered for t in last)

    async def offer(
        self, group: anyio.abc.TaskGroup, share: float, seconds: float
    ) -> None:
        """Offer a share of the capacity for a time."""
        at = anyio.current_time()
        end = at + seconds
        while at < end:
            group.start_soon(self.call)
            at += 1 / (CAPACITY * share)
            await anyio.sleep_until(at)

    async def call(self) -> None:
        """Send one request, and a few retries if need be."""
        timeout_ms = str(int(DEADLINE_SECONDS * 1000))
        for _ in range(CALLER_TRIES):
            answered = False
            try:
                answer = await http_request(
                    next(self.addresses),
                    "GET",
                    "/overload",
                    headers={"chervilstage-timeout-ms": timeout_ms},
                    timeout=DEADLINE_SECONDS,
                )
                answered = answer.status == 200
            except ChervilstageError:
                answered = False
            self.tries.append(Try(ended=anyio.current_time(), answered=answered))
            if answered:
                return
            await anyio.sleep(CALLER_PAUSE_SECONDS)

    def answered_share(self) -> float:
        """Return what was answered in time in overload, as a share of the capacity."""
        answered = sum(
            t.answered and self.overload_began <= t.ended < self.overload_ended
            for t in self.tries
        )
        return answered / (CAPACITY * (self.overload_ended - self.overload_began))

    def recovery_seconds(self) -> float:
        """Return how long after the overload requests were still not in time."""
        recovered = 0.0
        for number in range(int(AFTER_SECONDS / WINDOW_SECONDS)):
            start = self.overload_ended + number * WINDOW_SECONDS
            window = [
                t.answered
                for t in self.tries
                if start <= t.ended < start + WINDOW_SECONDS
            ]
            if sum(window) < IN_TIME_SHARE * len(window) or not window:
                recovered = (number + 1) * WINDOW_SECONDS
        return recovered


def measure_overload() -> Iterator[Figure]:
    """Yield the figures of an overload of real processes."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=LAYOUT)
        try:
            cell.start_all()
            for data_centre in sorted(set(LAYOUT)):
                start_upstream(cell, "alley-desk", data_centre, WORK_MS, SLOTS)
            cell.wait_registered("alley-desk", len(set(LAYOUT)))
            hosts = [entry.host for entry in cell.entries]
            addresses = [Address(host=host, port=TCP_PORT) for host in hosts]
            callers = Callers(addresses=addresses)
            anyio.run(callers.run)
        finally:
            cell.close()
    yield Figure(
        name="requests.answered_in_overload",
        value=callers.answered_share(),
        how="processes",
    )
    yield Figure(
        name="requests.recovery_after_overload",
        value=callers.recovery_seconds(),
        how="processes",
    )
