"""Short runs of the load tool against entry and stand-in processes."""

from __future__ import annotations

import http.client
import json
from collections.abc import Iterator
from pathlib import Path

import pytest
import tomli_w

from testing.support.bookings import wait_for_bookings
from testing.support.process_cluster import ProcessCluster
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
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Prepare two entries, one in each data centre."""
    cluster = ProcessCluster(folder=tmp_path, layout=LAYOUT)
    try:
        yield cluster
    finally:
        cluster.close()


def start_standins(cluster: ProcessCluster) -> list[dict[str, object]]:
    """Start one upstream per data centre and return where the tool reads its report."""
    standin_sources: list[dict[str, object]] = []
    for number, data_centre in enumerate(LAYOUT):
        host, counters = unique_host(), f"standin-{number}.json"
        cluster.start_upstream(
            "alley-desk",
            data_centre,
            "--host",
            host,
            "--control-port",
            str(STANDIN_CONTROL_PORT),
            "--counters-file",
            str(cluster.folder / counters),
        )
        standin_sources.append(
            {
                "host": host,
                "control_port": STANDIN_CONTROL_PORT,
                "counters_file": counters,
            }
        )
    cluster.wait_for_upstreams("alley-desk", len(LAYOUT))
    return standin_sources


def make_plan(cluster: ProcessCluster, **parts: object) -> dict[str, object]:
    """Return a short plan over all entries of the cluster."""
    entries = [{"host": e.host, "data_centre": e.data_centre} for e in cluster.entries]
    return {
        "seed": 3,
        "seconds": 2.0,
        "settle_seconds": 1.0,
        "entries": entries,
    } | parts


def run_load(
    cluster: ProcessCluster, plan: dict[str, object]
) -> tuple[int, dict[str, object]]:
    """Run a plan and return the exit code and the JSON report."""
    plan_path, report_path = (
        cluster.folder / "plan.toml",
        cluster.folder / "report.json",
    )
    plan_path.write_text(tomli_w.dumps(plan))
    plot = cluster.folder / "plot.svg"
    completed = cluster.processes.run(
        "load", "run", str(plan_path), "--out", str(report_path), "--plot", str(plot)
    )
    assert report_path.exists(), completed.stderr
    assert b"<svg" in plot.read_bytes()
    return completed.returncode, json.loads(report_path.read_text())


def test_run_without_faults_reports_no_violation(cluster: ProcessCluster) -> None:
    """Guards against a tool that reports violations where there are none."""
    cluster.start_all()
    flows = {
        "service": "alley-desk",
        "port": 7001,
        "callers": 10,
        "packets_per_second": 100.0,
        "subscribe": True,
    }
    feeds = {"service": "alley-desk", "port": 8001, "callers": 1}
    standin_sources = start_standins(cluster)
    wait_for_bookings(cluster)
    exit_code, report = run_load(
        cluster,
        make_plan(
            cluster,
            flows=[flows],
            feeds=[feeds],
            requests=[BOOKING],
            standins=standin_sources,
        ),
    )
    assert exit_code == 0, report["promises"]
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


def test_crossed_answers_of_an_upstream_are_reported_as_a_violation(
    cluster: ProcessCluster,
) -> None:
    """Guards against a tool that accepts the answer to another request."""
    upstream = cluster.start_upstream("alley-desk", "gl-erie", "--control-port", "7600")
    cluster.wait_until_started(upstream)
    address = upstream.log_field("standin_listening", "requests")
    assert address
    host, _, port = address.rpartition(":")
    faults = http.client.HTTPConnection(host, STANDIN_CONTROL_PORT, timeout=20)
    faults.request("POST", "/v1/faults", body=b'{"crossed": true}')
    assert faults.getresponse().status == 204
    load = {**BOOKING, "port": int(port)}
    entries = [{"host": host, "data_centre": "gl-erie"}]
    exit_code, report = run_load(
        cluster, make_plan(cluster, entries=entries, requests=[load])
    )
    promises = report["promises"]
    assert isinstance(promises, list)
    broken = [p["name"][0] for p in promises if p["violations"]]
    assert (exit_code, broken) == (1, ["5"]), promises


def test_plan_with_an_outside_address_is_refused(cluster: ProcessCluster) -> None:
    """Guards against load on addresses outside loopback."""
    plan = make_plan(cluster, caller_host="192.0.2.1")
    plan_path = cluster.folder / "plan.toml"
    plan_path.write_text(tomli_w.dumps(plan))
    completed = cluster.processes.run("load", "run", str(plan_path))
    assert completed.returncode == 2
    assert "CS-LOAD-001" in completed.stderr
    assert "caller_host" in completed.stderr
