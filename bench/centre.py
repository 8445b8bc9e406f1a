"""A data centre is taken out and brought back while callers go on.

Two data centres of two entries each and seven upstreams. The first figure compares the
last packet or request that an upstream of the data centre saw with the time at which
control accepted the change. The second counts the requests of callers that ask an entry
of the other data centre; these callers do not retry.
"""

from __future__ import annotations

import http.client
import json
import sys
import tempfile
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any

import tomli_w

from testing.support.bookings import wait_bookings
from testing.support.cell import Cell
from testing.support.processes import Started, unique_host, wait_until

from .figures import Figure

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
UPSTREAMS = ["gl-erie"] * 4 + ["gl-huron"] * 3
OUT = "gl-erie"
STANDIN_CONTROL_PORT = 7600
LOAD_SECONDS = 24.0
SETTLE_SECONDS = 3.0
BEFORE_SECONDS = 5.0
OUT_SECONDS = 8.0
RUN_SECONDS = 60.0
REQUESTS_PER_SECOND = 60.0
PACKETS_PER_SECOND = 400.0
CALLERS = 200
FLOW_PACKETS = 10


def measure() -> Iterator[Figure]:
    """Yield the figures of a data centre that goes out and comes back."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=LAYOUT)
        try:
            cell.start_all()
            yield from _out_and_back(cell, _start_upstreams(cell))
        finally:
            cell.close()


def _start_upstreams(cell: Cell) -> list[dict[str, object]]:
    sources: list[dict[str, object]] = []
    for data_centre in UPSTREAMS:
        host = unique_host()
        options = ["--host", host, "--control-port", str(STANDIN_CONTROL_PORT)]
        cell.start_upstream("alley-desk", data_centre, *options)
        sources.append({"host": host, "control_port": STANDIN_CONTROL_PORT})
    cell.wait_registered("alley-desk", len(UPSTREAMS))
    wait_bookings(cell)
    return sources


def _out_and_back(cell: Cell, sources: list[dict[str, object]]) -> Iterator[Figure]:
    report = cell.folder / "report.json"
    load = _start_load(cell, sources, report)
    wait_until(lambda: bool(load.lines("load_started")), "load started")
    time.sleep(BEFORE_SECONDS)
    cell.ctl("out", OUT)
    accepted = _accepted_at(cell)
    time.sleep(OUT_SECONDS)
    taken_out = [r for r in _reports(sources) if r["upstream"]["data_centre"] == OUT]
    _tell_work("before out", taken_out)
    last = max(max(r["last_packet_at"], r["last_request_at"]) for r in taken_out)
    cell.ctl("back", OUT)
    wait_until(load.ended, "the end of the load run", RUN_SECONDS)
    taken_out = [r for r in _reports(sources) if r["upstream"]["data_centre"] == OUT]
    _tell_work("in the whole run", taken_out)
    yield Figure(
        name="centre.out_last_packet", value=max(0.0, last - accepted), how="processes"
    )
    requests = json.loads(report.read_text())["requests"]
    others = [r for r in requests if r["home"] != OUT]
    yield Figure(
        name="centre.service_ratio",
        value=sum(r["in_time"] for r in others) / sum(r["due"] for r in others),
        how="processes",
    )


def _start_load(cell: Cell, sources: list[dict[str, object]], report: Path) -> Started:
    plan = cell.folder / "plan.toml"
    plan.write_text(tomli_w.dumps(_plan(cell, sources)))
    arguments = ["run", str(plan), "--out", str(report), "--quiet"]
    return cell.processes.start("load", "load", arguments)


def _plan(cell: Cell, sources: list[dict[str, object]]) -> dict[str, object]:
    common = {"service": "alley-desk", "port": 8001, "attempts": 1}
    booking = {"name": "bookings", "method": "POST", "path": "/bookings", "keyed": True}
    board = {"name": "boards", "method": "GET", "path": "/alleys/free"}
    rate = {"per_second": REQUESTS_PER_SECOND}
    flows = {
        "service": "alley-desk",
        "port": 7001,
        "callers": CALLERS,
        "packets_per_second": PACKETS_PER_SECOND,
        "flow_packets": FLOW_PACKETS,
    }
    return {
        "seed": 1,
        "seconds": LOAD_SECONDS,
        "settle_seconds": SETTLE_SECONDS,
        "entries": [
            {"host": e.host, "data_centre": e.data_centre} for e in cell.entries
        ],
        "flows": [flows],
        "requests": [common | booking | rate, common | board | rate],
        "standins": sources,
    }


def _accepted_at(cell: Cell) -> float:
    """Return when control accepted the newest change, from its log."""
    lines = [
        line
        for process in cell.processes.started
        if process.name.startswith("control")
        for line in process.lines("change_decided")
    ]
    stamp = max(lines).split('"')[1]
    return datetime.strptime(stamp, "%Y-%m-%d %H:%M:%S,%f").timestamp()


def _reports(sources: list[dict[str, object]]) -> list[dict[str, Any]]:
    reports = []
    for source in sources:
        connection = http.client.HTTPConnection(
            str(source["host"]), STANDIN_CONTROL_PORT, timeout=20
        )
        connection.request("GET", "/v1/report")
        reports.append(json.loads(connection.getresponse().read()))
    return reports


def _tell_work(when: str, reports: list[dict[str, Any]]) -> None:
    """Print how much work the data centre got, to show that there was any to stop."""
    packets = sum(r["counts"]["packets"] for r in reports)
    requests = sum(r["counts"]["requests"] for r in reports)
    line = f"# centre: {OUT} got {packets} packets and {requests} requests {when}"
    print(line, file=sys.stderr)
