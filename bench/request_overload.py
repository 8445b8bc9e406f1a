"""Measure an overload of entry and upstream processes by callers that retry."""

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
from testing.support.process_cluster import ProcessCluster
from testing.support.request_calls import TCP_PORT, start_upstream

from .figures import Figure
from .request_simulation import (
    CALLER_ATTEMPTS,
    CALLER_RETRY_DELAY_SECONDS,
    DEADLINE_SECONDS,
    IN_TIME_SHARE,
    NORMAL_SHARE,
    OVERLOAD_SHARE,
    RECOVERY_SHARE,
    WINDOW_SECONDS,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
SLOTS = 8
WORK_MS = 200.0
# There is one upstream in each data centre, and each data centre has two entries.
CAPACITY_PER_SECOND = len(LAYOUT) / 2 * SLOTS / (WORK_MS / 1000)
NORMAL_SECONDS, OVERLOAD_SECONDS, RECOVERY_SECONDS = 2.0, 6.0, 10.0
WARM_UP_TIMEOUT_SECONDS = 20.0


class CallerAttempt(NamedTuple):
    """One attempt of a caller, and whether it was answered in time."""

    ended_at: float
    answered: bool


class CallerLoad:
    """Sends requests at a given rate to the entries in turn."""

    def __init__(self, *, addresses: list[Address]) -> None:
        self.addresses = itertools.cycle(addresses)
        self.attempts: list[CallerAttempt] = []
        self.overload_started_at = 0.0
        self.overload_ended_at = 0.0

    async def run(self) -> None:
        """Offer a normal load, an overload, and a load below capacity."""
        async with anyio.create_task_group() as group:
            # Upstreams that have just started are ramping up; the ramp is not measured.
            with anyio.move_on_after(WARM_UP_TIMEOUT_SECONDS):
                while not self.is_warm():
                    await self.offer_load(group, NORMAL_SHARE, NORMAL_SECONDS)
            self.overload_started_at = anyio.current_time()
            await self.offer_load(group, OVERLOAD_SHARE, OVERLOAD_SECONDS)
            self.overload_ended_at = anyio.current_time()
            await self.offer_load(group, RECOVERY_SHARE, RECOVERY_SECONDS)

    def is_warm(self) -> bool:
        """Return whether the last requests were all answered in time."""
        last_attempts = self.attempts[-int(CAPACITY_PER_SECOND * NORMAL_SHARE) :]
        return len(last_attempts) > 1 and all(
            attempt.answered for attempt in last_attempts
        )

    async def offer_load(
        self, group: anyio.abc.TaskGroup, share: float, seconds: float
    ) -> None:
        """Send requests at a share of the capacity for a time."""
        next_at = anyio.current_time()
        end_at = next_at + seconds
        while next_at < end_at:
            group.start_soon(self.send_request)
            next_at += 1 / (CAPACITY_PER_SECOND * share)
            await anyio.sleep_until(next_at)

    async def send_request(self) -> None:
        """Send one request, with retries until it is answered or attempts run out."""
        timeout_ms = str(int(DEADLINE_SECONDS * 1000))
        for _ in range(CALLER_ATTEMPTS):
            answered = False
            try:
                answer = await http_request(
                    next(self.addresses),
                    "GET",
                    "/overload",
                    headers={"chervilstage-timeout-ms": timeout_ms},
                    timeout_seconds=DEADLINE_SECONDS,
                )
                answered = answer.status == 200
            except ChervilstageError:
                answered = False
            self.attempts.append(
                CallerAttempt(ended_at=anyio.current_time(), answered=answered)
            )
            if answered:
                return
            await anyio.sleep(CALLER_RETRY_DELAY_SECONDS)

    def answered_share(self) -> float:
        """Return the answers in time during overload, as a share of the capacity."""
        answered = sum(
            attempt.answered
            and self.overload_started_at <= attempt.ended_at < self.overload_ended_at
            for attempt in self.attempts
        )
        return answered / (
            CAPACITY_PER_SECOND * (self.overload_ended_at - self.overload_started_at)
        )

    def recovery_seconds(self) -> float:
        """Return the seconds from the end of the overload until answers are in time."""
        recovered_after_seconds = 0.0
        for number in range(int(RECOVERY_SECONDS / WINDOW_SECONDS)):
            window_start = self.overload_ended_at + number * WINDOW_SECONDS
            window_results = [
                attempt.answered
                for attempt in self.attempts
                if window_start <= attempt.ended_at < window_start + WINDOW_SECONDS
            ]
            if (
                sum(window_results) < IN_TIME_SHARE * len(window_results)
                or not window_results
            ):
                recovered_after_seconds = (number + 1) * WINDOW_SECONDS
        return recovered_after_seconds


def measure_overload() -> Iterator[Figure]:
    """Yield the figures of an overload of processes."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(folder=Path(folder), layout=LAYOUT)
        try:
            cluster.start_all()
            for data_centre in sorted(set(LAYOUT)):
                start_upstream(cluster, "alley-desk", data_centre, WORK_MS, SLOTS)
            cluster.wait_for_upstreams("alley-desk", len(set(LAYOUT)))
            hosts = [entry.host for entry in cluster.entries]
            addresses = [Address(host=host, port=TCP_PORT) for host in hosts]
            caller_load = CallerLoad(addresses=addresses)
            anyio.run(caller_load.run)
        finally:
            cluster.close()
    yield Figure(
        name="requests.answered_in_overload",
        value=caller_load.answered_share(),
        how="processes",
    )
    yield Figure(
        name="requests.recovery_after_overload",
        value=caller_load.recovery_seconds(),
        how="processes",
    )
