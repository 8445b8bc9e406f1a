"""Measure runs per key under kills and retries, and service in overload.

``requests.duplicate_runs`` and ``requests.false_not_run`` use processes: callers book
under keys and retry at other entries while entries are killed, frozen and restarted.
The overload figures drive the decisions in a simulated service with fixed seeds, with
the limits in force and without one of them.
"""

from __future__ import annotations

import itertools
import signal
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from testing.support.cell import Cell
from testing.support.processes import GENEROUS_SECONDS
from testing.support.request_calls import (
    Reply,
    Upstream,
    book,
    new_key,
    start_upstream,
    wait_bookings,
)

from .figures import Figure
from .request_overload import measure_overload
from .request_simulation import Overload, Variant

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
WORK_MS = 100.0
CALLERS = 8
FAULT_SECONDS = 24.0
BETWEEN_FAULTS_SECONDS = 3.0
TRIES = 4
TRY_MS = 1500
SEEDS = range(5)
VARIANTS = {
    "": Variant(),
    "unlimited_retries": Variant(retry_limit=False),
    "no_admission_limit": Variant(admission_limit=False),
}


class Booking(NamedTuple):
    """A key and the outcome of each try, in order."""

    key: str
    outcomes: list[str]


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    yield from measure_runs()
    yield from measure_overload()
    for name, variant in VARIANTS.items():
        runs = [Overload(variant=variant, seed=seed) for seed in SEEDS]
        for run in runs:
            run.run()
        yield Figure(
            name="requests.answered_in_overload",
            value=mean(run.answered_share() for run in runs),
            how="decisions",
            variant=name,
        )
        yield Figure(
            name="requests.recovery_after_overload",
            value=max(run.recovery_seconds() for run in runs),
            how="decisions",
            variant=name,
        )


def measure_runs() -> Iterator[Figure]:
    """Yield the figures of runs per key, with keys and with blind retries."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=LAYOUT)
        try:
            cell.start_all()
            centres = ("gl-erie", "gl-huron")
            desks = [start_upstream(cell, "alley-desk", c, WORK_MS) for c in centres]
            cell.wait_registered("alley-desk", len(desks))
            wait_bookings(cell)
            bookings = book_under_faults(cell)
            runs = runs_of(desks)
        finally:
            cell.close()
    duplicates = sum(max(0, runs.get(b.key, 0) - 1) for b in bookings)
    answered = sum(b.outcomes[-1] == "answered" for b in bookings)
    print(f"# bookings={len(bookings)} answered={answered}", flush=True)
    yield Figure(name="requests.duplicate_runs", value=duplicates, how="processes")
    false = sum(is_false_not_run(b, runs) for b in bookings)
    yield Figure(name="requests.false_not_run", value=false, how="processes")


def is_false_not_run(booking: Booking, runs: dict[str, int]) -> bool:
    """Tell whether the last word on a key was that it did not run, but it did."""
    return booking.outcomes[-1] == "not-run" and runs.get(booking.key, 0) > 0


def runs_of(desks: list[Upstream]) -> dict[str, int]:
    """Return the runs of each key over all upstreams."""
    total: dict[str, int] = {}
    for desk in desks:
        for key, count in desk.report()["runs"].items():
            total[key] = total.get(key, 0) + count
    return total


def book_under_faults(cell: Cell) -> list[Booking]:
    """Let callers book while entries are killed, frozen and restarted."""
    bookings: list[Booking] = []
    ending = threading.Event()
    threads = [
        threading.Thread(target=caller, args=(cell, number, bookings, ending))
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    cause_faults(cell)
    ending.set()
    for thread in threads:
        thread.join(GENEROUS_SECONDS)
    return bookings


def cause_faults(cell: Cell) -> None:
    """Kill and freeze one entry after the other, and bring each back."""
    end = time.monotonic() + FAULT_SECONDS
    for number, entry in enumerate(itertools.cycle(cell.entries)):
        if time.monotonic() > end:
            return
        process = cell.running[entry.name].process
        frozen = number % 3 == 1
        process.send_signal(signal.SIGSTOP if frozen else signal.SIGKILL)
        time.sleep(BETWEEN_FAULTS_SECONDS / 2)
        if frozen:
            process.send_signal(signal.SIGCONT)
        else:
            process.wait()
            cell.start_entry(entry)
        time.sleep(BETWEEN_FAULTS_SECONDS / 2)


def caller(
    cell: Cell, number: int, bookings: list[Booking], ending: threading.Event
) -> None:
    """Book under one key after the other, with retries at the other entries."""
    positions = itertools.cycle(range(len(cell.entries)))
    for _ in range(number):
        next(positions)
    while not ending.is_set():
        home = cell.entries[next(positions)].data_centre
        booking = Booking(key=new_key(home), outcomes=[])
        for attempt in range(1, TRIES + 1):
            host = cell.entries[next(positions)].host
            booking.outcomes.append(outcome_of(host, booking.key, attempt))
            if booking.outcomes[-1] == "answered":
                break
        bookings.append(booking)


def outcome_of(host: str, key: str, attempt: int) -> str:
    """Return the outcome of one try; a lost connection leaves it unknown."""
    try:
        reply: Reply = book(host, key, attempt, TRY_MS)
    except ConnectionRefusedError:
        return "unreachable"
    except (OSError, EOFError, ValueError):
        return "unknown"
    except Exception as error:
        return type(error).__name__
    return "answered" if reply.status == 200 else reply.outcome
