"""Capacity, leaving and loss of entries with real processes."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.cell import Cell
from testing.support.processes import wait_until
from testing.support.request_driver import (
    call_control,
    drive,
    standin_report,
    start_standin,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
LEAVE_SECONDS = 2.0


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[Cell]:
    """Start two data centres of two entries each."""
    cell = Cell(folder=tmp_path, layout=LAYOUT)
    try:
        cell.start_all()
        yield cell
    finally:
        cell.close()


def hosts_of(cell: Cell) -> list[str]:
    """Return the addresses of all entries."""
    return [entry.host for entry in cell.entries]


def over_capacity(hosts: list[str]) -> int:
    """Return how many requests stand-ins got above what they bore."""
    counts = [standin_report(host)["counts"] for host in hosts]
    return sum(c["over_capacity_cold"] + c["over_capacity_warm"] for c in counts)


def test_cold_upstreams_get_no_more_than_they_bear(cell: Cell) -> None:
    """Guards against entries that each give a fresh upstream the whole load."""
    standins = [start_standin(cell, dc, "--cold") for dc in ("gl-erie", "gl-huron")]
    cell.wait_registered("alley-desk", 2)
    drive(hosts_of(cell), 16, lambda counts: counts[200] >= 400)
    assert over_capacity(standins) == 0
    capacities = [standin_report(host)["capacity"] for host in standins]
    assert capacities == [4, 4], capacities


def test_killed_and_frozen_entries_cause_no_overload(cell: Cell) -> None:
    """Guards against slots that are given twice when their owner is lost."""
    standins = [
        start_standin(cell, dc, "--slots", "2", "--work-ms", "20")
        for dc in ("gl-erie", "gl-huron")
    ]
    cell.wait_registered("alley-desk", 2)
    drive(hosts_of(cell), 12, lambda counts: counts[200] >= 200)
    frozen = cell.running["entry-1"].process
    frozen.send_signal(signal.SIGSTOP)
    drive(hosts_of(cell)[1:], 12, lambda counts: counts[200] >= 300)
    frozen.send_signal(signal.SIGCONT)
    cell.running["entry-3"].process.kill()
    others = [e.host for e in cell.entries if e.name != "entry-3"]
    drive(others, 12, lambda counts: counts[200] >= 300)
    assert over_capacity(standins) == 0


def test_upstream_that_leaves_gets_no_new_work(cell: Cell) -> None:
    """Guards against entries that miss that an upstream leaves."""
    leaver = start_standin(cell, "gl-erie")
    start_standin(cell, "gl-huron")
    cell.wait_registered("alley-desk", 2)
    drive(hosts_of(cell), 8, lambda counts: counts[200] >= 300)
    drive(
        hosts_of(cell),
        8,
        lambda counts: counts[200] >= 1000,
        during=lambda: call_control(leaver, "POST", "/v1/leave"),
    )
    report = standin_report(leaver)
    assert report["last_new_work_at"] - report["leaving_at"] < LEAVE_SECONDS


def test_end_of_a_stopped_upstream_is_heard_by_every_entry(cell: Cell) -> None:
    """Guards against flows that wait for an upstream that has stopped as planned."""
    start_standin(cell, "gl-erie")
    start_standin(cell, "gl-huron")
    cell.wait_registered("alley-desk", 2)
    cell.processes.started[-1].process.send_signal(signal.SIGTERM)

    def heard() -> bool:
        started = [cell.running[entry.name] for entry in cell.entries]
        lines = [entry.lines("upstream_registered") for entry in started]
        return all(any("phase=left" in line for line in told) for told in lines)

    wait_until(heard, "the end of the upstream at every entry")


def test_dead_upstream_is_ejected_before_its_record_expires(cell: Cell) -> None:
    """Guards against requests that go on failing at an upstream that is dead."""
    for data_centre in ("gl-erie", "gl-huron", "gl-huron"):
        start_standin(cell, data_centre)
    cell.wait_registered("alley-desk", 3)
    drive(hosts_of(cell), 4, lambda counts: counts[200] >= 200)
    cell.processes.started[-1].process.kill()
    entry = cell.running["entry-1"]

    def ejected() -> bool:
        drive(hosts_of(cell), 4, lambda counts: sum(counts.values()) >= 20)
        return bool(entry.lines("upstream_ejected"))

    wait_until(ejected, "entry-1 ejects the dead upstream")
    assert not entry.lines("upstream_silent")
    counts = drive(hosts_of(cell), 4, lambda counts: counts[200] >= 100)
    assert counts[503] <= 20, counts
