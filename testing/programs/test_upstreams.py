"""Capacity, departure and loss of entries and upstreams with real processes."""

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


def count_over_capacity(hosts: list[str]) -> int:
    """Return how many requests stand-ins received above their capacity."""
    counts = [standin_report(host)["counts"] for host in hosts]
    return sum(c["over_capacity_cold"] + c["over_capacity_warm"] for c in counts)


def test_cold_upstreams_are_not_overloaded(cell: Cell) -> None:
    """Guards against entries that each send a cold upstream the whole load."""
    standins = [start_standin(cell, dc, "--cold") for dc in ("gl-erie", "gl-huron")]
    cell.wait_registered("alley-desk", 2)
    drive(hosts_of(cell), 16, lambda counts: counts[200] >= 400)
    assert count_over_capacity(standins) == 0
    capacities = [standin_report(host)["capacity"] for host in standins]
    assert capacities == [4, 4], capacities


def test_killed_and_frozen_entries_cause_no_overload(cell: Cell) -> None:
    """Guards against slots that are granted twice when their owner is lost."""
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
    assert count_over_capacity(standins) == 0


def test_leaving_upstream_gets_no_new_work(cell: Cell) -> None:
    """Guards against entries that do not notice that an upstream leaves."""
    leaving = start_standin(cell, "gl-erie")
    start_standin(cell, "gl-huron")
    cell.wait_registered("alley-desk", 2)
    drive(hosts_of(cell), 8, lambda counts: counts[200] >= 300)
    drive(
        hosts_of(cell),
        8,
        lambda counts: counts[200] >= 1000,
        during=lambda: call_control(leaving, "POST", "/v1/leave"),
    )
    report = standin_report(leaving)
    assert report["last_new_work_at"] - report["leaving_at"] < LEAVE_SECONDS


def test_every_entry_learns_that_an_upstream_has_stopped(cell: Cell) -> None:
    """Guards against flows that wait for an upstream after its planned stop."""
    start_standin(cell, "gl-erie")
    start_standin(cell, "gl-huron")
    cell.wait_registered("alley-desk", 2)
    cell.processes.started[-1].process.send_signal(signal.SIGTERM)

    def have_all_entries_learned() -> bool:
        started = [cell.running[entry.name] for entry in cell.entries]
        lines_by_entry = [entry.lines("upstream_registered") for entry in started]
        return all(
            any("phase=left" in line for line in entry_lines)
            for entry_lines in lines_by_entry
        )

    wait_until(have_all_entries_learned, "the end of the upstream at every entry")


def test_dead_upstream_is_ejected_before_its_record_expires(cell: Cell) -> None:
    """Guards against requests that keep failing at a dead upstream."""
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
