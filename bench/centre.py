"""Measure a data centre that is taken out of service and brought back under load.

There are two data centres of two entries each, and seven upstreams. The first figure
is the time from the control replica's acceptance of the change to the last packet or
request at an upstream of the data centre. The second is the ratio of requests answered
in time for callers of an entry in the other data centre; these callers do not retry.
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

from testing.support.bookings import wait_for_bookings
from testing.support.process_cluster import ProcessCluster
from testing.support.processes import StartedProcess, unique_host, wait_until

from .figures import Figure

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
UPSTREAM_DATA_CENTRES = ["gl-erie"] * 4 + ["gl-huron"] * 3
OUT_DATA_CENTRE = "gl-erie"
STANDIN_CONTROL_PORT = 7600
LOAD_SECONDS = 24.0
SETTLE_SECONDS = 3.0
LOAD_BEFORE_OUT_SECONDS = 5.0
OUT_SECONDS = 8.0
LOAD_TIMEOUT_SECONDS = 60.0
REQUESTS_PER_SECOND = 60.0
PACKETS_PER_SECOND = 400.0
CALLER_COUNT = 200
PACKETS_PER_FLOW = 10


def measure() -> Iterator[Figure]:
    """Yield the figures of a data centre taken out of service and brought back."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(folder=Path(folder), layout=LAYOUT)
        try:
            cluster.start_all()
            yield from _measure_out_and_back(cluster, _start_upstreams(cluster))
        finally:
            cluster.close()


def _start_upstreams(cluster: ProcessCluster) -> list[dict[str, object]]:
    standins: list[dict[str, object]] = []
    for data_centre in UPSTREAM_DATA_CENTRES:
        host = unique_host()
        options = ["--host", host, "--control-port", str(STANDIN_CONTROL_PORT)]
        cluster.start_upstream("alley-desk", data_centre, *options)
        standins.append({"host": host, "control_port": STANDIN_CONTROL_PORT})
    cluster.wait_for_upstreams("alley-desk", len(UPSTREAM_DATA_CENTRES))
    wait_for_bookings(cluster)
    return standins


def _measure_out_and_back(
    cluster: ProcessCluster, standins: list[dict[str, object]]
) -> Iterator[Figure]:
    report = cluster.folder / "report.json"
    load = _start_load(cluster, standins, report)
    wait_until(lambda: bool(load.log_lines("load_started")), "load started")
    time.sleep(LOAD_BEFORE_OUT_SECONDS)
    cluster.run_ctl("out", OUT_DATA_CENTRE)
    accepted_at = _read_accepted_at(cluster)
    time.sleep(OUT_SECONDS)
    out_reports = [
        r
        for r in _fetch_reports(standins)
        if r["upstream"]["data_centre"] == OUT_DATA_CENTRE
    ]
    _print_work("before out", out_reports)
    last_work_at = max(
        max(r["last_packet_at"], r["last_request_at"]) for r in out_reports
    )
    cluster.run_ctl("back", OUT_DATA_CENTRE)
    wait_until(load.has_ended, "the end of the load run", LOAD_TIMEOUT_SECONDS)
    out_reports = [
        r
        for r in _fetch_reports(standins)
        if r["upstream"]["data_centre"] == OUT_DATA_CENTRE
    ]
    _print_work("in the whole run", out_reports)
    yield Figure(
        name="centre.out_last_packet",
        value=max(0.0, last_work_at - accepted_at),
        how="processes",
    )
    requests = json.loads(report.read_text())["requests"]
    other_requests = [r for r in requests if r["home"] != OUT_DATA_CENTRE]
    yield Figure(
        name="centre.service_ratio",
        value=sum(r["in_time"] for r in other_requests)
        / sum(r["due"] for r in other_requests),
        how="processes",
    )


def _start_load(
    cluster: ProcessCluster, standins: list[dict[str, object]], report: Path
) -> StartedProcess:
    plan = cluster.folder / "plan.toml"
    plan.write_text(tomli_w.dumps(_make_plan(cluster, standins)))
    arguments = ["run", str(plan), "--out", str(report), "--quiet"]
    return cluster.processes.start("load", "load", arguments)


def _make_plan(
    cluster: ProcessCluster, standins: list[dict[str, object]]
) -> dict[str, object]:
    common = {"service": "alley-desk", "port": 8001, "attempts": 1}
    booking = {"name": "bookings", "method": "POST", "path": "/bookings", "keyed": True}
    board = {"name": "boards", "method": "GET", "path": "/alleys/free"}
    rate = {"per_second": REQUESTS_PER_SECOND}
    flows = {
        "service": "alley-desk",
        "port": 7001,
        "callers": CALLER_COUNT,
        "packets_per_second": PACKETS_PER_SECOND,
        "flow_packets": PACKETS_PER_FLOW,
    }
    return {
        "seed": 1,
        "seconds": LOAD_SECONDS,
        "settle_seconds": SETTLE_SECONDS,
        "entries": [
            {"host": e.host, "data_centre": e.data_centre} for e in cluster.entries
        ],
        "flows": [flows],
        "requests": [common | booking | rate, common | board | rate],
        "standins": standins,
    }


def _read_accepted_at(cluster: ProcessCluster) -> float:
    """Return when a control replica accepted the newest change, from its log."""
    lines = [
        line
        for process in cluster.processes.started
        if process.name.startswith("control")
        for line in process.log_lines("change_decided")
    ]
    stamp = max(lines).split('"')[1]
    return datetime.strptime(stamp, "%Y-%m-%d %H:%M:%S,%f").timestamp()


def _fetch_reports(standins: list[dict[str, object]]) -> list[dict[str, Any]]:
    reports = []
    for standin in standins:
        connection = http.client.HTTPConnection(
            str(standin["host"]), STANDIN_CONTROL_PORT, timeout=20
        )
        connection.request("GET", "/v1/report")
        reports.append(json.loads(connection.getresponse().read()))
    return reports


def _print_work(when: str, reports: list[dict[str, Any]]) -> None:
    """Print how much work the data centre received.

    Without any work before the change, the figures would be met trivially.
    """
    packets = sum(r["counts"]["packets"] for r in reports)
    requests = sum(r["counts"]["requests"] for r in reports)
    line = (
        f"# centre: {OUT_DATA_CENTRE} got {packets} packets "
        f"and {requests} requests {when}"
    )
    print(line, file=sys.stderr)
