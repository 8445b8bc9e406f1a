"""Short runs of the load tool against real entries and stand-ins."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import tomli_w

from testing.support.bookings import wait_bookings
from testing.support.cell import Cell
from testing.support.processes import unique_host

STANDIN_CONTROL_PORT = 7600
LAYOUT = ["gl-erie", "gl-huron"]


BOOKING = {
    "name": "bookings",
    "service": "alley-desk",
    "port": 8001,
    "method": "POST",
    "path": "/bookings",
    "per_second": 20.0,
    "keyed": True,
}


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[Cell]:
    """Prepare two entries, one in each data centre."""
    cell = Cell(folder=tmp_path, layout=LAYOUT)
    try:
        yield cell
    finally:
        cell.close()


def start_standins(cell: Cell) -> list[dict[str, object]]:
    """Start one upstream in each data centre and return where they report."""
    sources: list[dict[str, object]] = []
    for number, data_centre in enumerate(LAYOUT):
        host, counters = unique_host(), f"standin-{number}.json"
        cell.start_upstream(
            "alley-desk",
            data_centre,
            "--host",
            host,
            "--control-port",
            str(STANDIN_CONTROL_PORT),
            "--counters-file",
            str(cell.folder / counters),
        )
        sources.append(
            {
                "host": host,
                "control_port": STANDIN_CONTROL_PORT,
                "counters_file": counters,
            }
        )
    cell.wait_registered("alley-desk", len(LAYOUT))
    return sources


def plan_of(cell: Cell, **parts: object) -> dict[str, object]:
    """Return a short plan over all entries of the cell."""
    entries = [{"host": e.host, "data_centre": e.data_centre} for e in cell.entries]
    return {
        "seed": 3,
        "seconds": 2.0,
        "settle_seconds": 1.0,
        "entries": entries,
    } | parts


def run_load(cell: Cell, plan: dict[str, object]) -> tuple[int, dict[str, object]]:
    """Run a plan and return the exit code and the JSON report."""
    path, out = cell.folder / "plan.toml", cell.folder / "report.json"
    path.write_text(tomli_w.dumps(plan))
    plot = cell.folder / "plot.svg"
    done = cell.processes.run(
        "load", "run", str(path), "--out", str(out), "--plot", str(plot)
    )
    assert out.exists(), done.stderr
    assert b"<svg" in plot.read_bytes()
    return done.returncode, json.loads(out.read_text())


def test_run_without_faults_keeps_every_promise(cell: Cell) -> None:
    """Guards against a tool that reports violations where there are none."""
    cell.start_all()
    flows = {
        "service": "alley-desk",
        "port": 7001,
        "callers": 10,
        "packets_per_second": 100.0,
        "subscribe": True,
    }
    feeds = {"service": "alley-desk", "port": 8001, "callers": 1}
    sources = start_standins(cell)
    wait_bookings(cell)
    code, report = run_load(
        cell,
        plan_of(
            cell, flows=[flows], feeds=[feeds], requests=[BOOKING], standins=sources
        ),
    )
    assert code == 0, report["promises"]
    counts = report["counts"]
    assert isinstance(counts, dict)
    assert counts["packets_answered"] == counts["packets_sent"] == 200
    assert counts["updates"] > 0
    assert counts["feed_lines"] > 0
    requests = report["requests"]
    assert isinstance(requests, list)
    assert sum(r["in_time"] for r in requests) == sum(r["due"] for r in requests) > 0
    assert report["findings"] == []
    # Each entry answered one booking before the load began.
    assert counts["upstream_completed"] == counts["attempts_answered"] + len(LAYOUT)


def test_crossed_answers_of_an_upstream_break_a_promise(cell: Cell) -> None:
    """Guards against a tool that takes the answer to another request."""
    started = cell.start_upstream("alley-desk", "gl-erie", "--control-port", "7600")
    cell.wait_started(started)
    address = started.field("standin_listening", "requests")
    assert address
    host, _, port = address.rpartition(":")
    faults = http.client.HTTPConnection(host, STANDIN_CONTROL_PORT, timeout=20)
    faults.request("POST", "/v1/faults", body=b'{"crossed": true}')
    assert faults.getresponse().status == 204
    load = {**BOOKING, "port": int(port)}
    entries = [{"host": host, "data_centre": "gl-erie"}]
    code, report = run_load(cell, plan_of(cell, entries=entries, requests=[load]))
    promises = report["promises"]
    assert isinstance(promises, list)
    broken = [p["name"][0] for p in promises if p["violations"]]
    assert (code, broken) == (1, ["5"]), promises


def test_plan_with_an_outside_address_is_refused(cell: Cell) -> None:
    """Guards against load on addresses that are not loopback."""
    plan = plan_of(cell, caller_host="192.0.2.1")
    path = cell.folder / "plan.toml"
    path.write_text(tomli_w.dumps(plan))
    done = cell.processes.run("load", "run", str(path))
    assert done.returncode == 2
    assert "CS-LOAD-001" in done.stderr
    assert "caller_host" in done.stderr
