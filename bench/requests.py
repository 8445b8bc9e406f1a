"""Measure runs per idempotency key under entry faults, and service in overload.

``requests.duplicate_runs`` and ``requests.false_not_run`` use processes: callers book
with idempotency keys and retry at other entries while entries are killed, frozen and
restarted. The overload figures come from processes, and from simulations of a service
with fixed seeds that apply all limits or omit one of them.
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

from testing.support.process_cluster import ProcessCluster
from testing.support.processes import WAIT_TIMEOUT_SECONDS
from testing.support.request_calls import (
    Reply,
    StandinUpstream,
    new_key,
    send_booking,
    start_upstream,
    wait_for_bookings,
)

from .figures import Figure
from .request_overload import measure_overload
from .request_simulation import OverloadSimulation, Variant

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
WORK_MS = 100.0
CALLER_COUNT = 8
FAULT_SECONDS = 24.0
FAULT_INTERVAL_SECONDS = 3.0
MAX_ATTEMPTS = 4
ATTEMPT_TIMEOUT_MS = 1500
SEEDS = range(5)
VARIANTS = {
    "": Variant(),
    "unlimited_retries": Variant(retry_limit=False),
    "no_admission_limit": Variant(admission_limit=False),
}


class Booking(NamedTuple):
    """An idempotency key and the outcome of each attempt, in order."""

    key: str
    outcomes: list[str]


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    yield from measure_keyed_runs()
    yield from measure_overload()
    for name, variant in VARIANTS.items():
        simulations = [OverloadSimulation(variant=variant, seed=seed) for seed in SEEDS]
        for simulation in simulations:
            simulation.run()
        yield Figure(
            name="requests.answered_in_overload",
            value=mean(simulation.answered_share() for simulation in simulations),
            how="decisions",
            variant=name,
        )
        yield Figure(
            name="requests.recovery_after_overload",
            value=max(simulation.recovery_seconds() for simulation in simulations),
            how="decisions",
            variant=name,
        )


def measure_keyed_runs() -> Iterator[Figure]:
    """Yield the figures of runs per idempotency key under entry faults."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(folder=Path(folder), layout=LAYOUT)
        try:
            cluster.start_all()
            data_centres = ("gl-erie", "gl-huron")
            upstreams = [
                start_upstream(cluster, "alley-desk", c, WORK_MS) for c in data_centres
            ]
            cluster.wait_for_upstreams("alley-desk", len(upstreams))
            wait_for_bookings(cluster)
            bookings = book_under_faults(cluster)
            runs_by_key = count_runs_by_key(upstreams)
        finally:
            cluster.close()
    duplicate_count = sum(max(0, runs_by_key.get(b.key, 0) - 1) for b in bookings)
    answered_count = sum(b.outcomes[-1] == "answered" for b in bookings)
    print(f"# bookings={len(bookings)} answered={answered_count}", flush=True)
    yield Figure(name="requests.duplicate_runs", value=duplicate_count, how="processes")
    false_count = sum(is_false_not_run(b, runs_by_key) for b in bookings)
    yield Figure(name="requests.false_not_run", value=false_count, how="processes")


def is_false_not_run(booking: Booking, runs_by_key: dict[str, int]) -> bool:
    """Return whether the last outcome was not-run although the booking ran."""
    return booking.outcomes[-1] == "not-run" and runs_by_key.get(booking.key, 0) > 0


def count_runs_by_key(upstreams: list[StandinUpstream]) -> dict[str, int]:
    """Return the number of runs of each key, summed over all upstreams."""
    totals: dict[str, int] = {}
    for upstream in upstreams:
        for key, count in upstream.report()["runs"].items():
            totals[key] = totals.get(key, 0) + count
    return totals


def book_under_faults(cluster: ProcessCluster) -> list[Booking]:
    """Run callers while entries are killed, frozen and restarted."""
    bookings: list[Booking] = []
    stop_event = threading.Event()
    threads = [
        threading.Thread(
            target=run_caller, args=(cluster, number, bookings, stop_event)
        )
        for number in range(CALLER_COUNT)
    ]
    for thread in threads:
        thread.start()
    inject_faults(cluster)
    stop_event.set()
    for thread in threads:
        thread.join(WAIT_TIMEOUT_SECONDS)
    return bookings


def inject_faults(cluster: ProcessCluster) -> None:
    """Kill or freeze one entry after another, and restart or resume each."""
    end_at = time.monotonic() + FAULT_SECONDS
    for number, entry in enumerate(itertools.cycle(cluster.entries)):
        if time.monotonic() > end_at:
            return
        process = cluster.running_entries[entry.name].process
        is_frozen = number % 3 == 1
        process.send_signal(signal.SIGSTOP if is_frozen else signal.SIGKILL)
        time.sleep(FAULT_INTERVAL_SECONDS / 2)
        if is_frozen:
            process.send_signal(signal.SIGCONT)
        else:
            process.wait()
            cluster.start_entry(entry)
        time.sleep(FAULT_INTERVAL_SECONDS / 2)


def run_caller(
    cluster: ProcessCluster,
    number: int,
    bookings: list[Booking],
    stop_event: threading.Event,
) -> None:
    """Book with one key after another, and retry at other entries."""
    entry_positions = itertools.cycle(range(len(cluster.entries)))
    for _ in range(number):
        next(entry_positions)
    while not stop_event.is_set():
        home_data_centre = cluster.entries[next(entry_positions)].data_centre
        booking = Booking(key=new_key(home_data_centre), outcomes=[])
        for attempt in range(1, MAX_ATTEMPTS + 1):
            host = cluster.entries[next(entry_positions)].host
            booking.outcomes.append(attempt_booking(host, booking.key, attempt))
            if booking.outcomes[-1] == "answered":
                break
        bookings.append(booking)


def attempt_booking(host: str, key: str, attempt: int) -> str:
    """Return the outcome of one attempt.

    It is unknown after a lost connection; other errors count under their type.
    """
    try:
        reply: Reply = send_booking(host, key, attempt, ATTEMPT_TIMEOUT_MS)
    except ConnectionRefusedError:
        return "unreachable"
    except (OSError, EOFError, ValueError):
        return "unknown"
    except Exception as error:
        return type(error).__name__
    return "answered" if reply.status == 200 else reply.outcome
