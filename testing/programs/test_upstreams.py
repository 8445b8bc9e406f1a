"""Capacity, departure and loss of entries and upstreams with real processes."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.process_cluster import ProcessCluster
from testing.support.processes import wait_until
from testing.support.request_driver import (
    call_control,
    fetch_standin_report,
    send_requests_until,
    start_standin,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
LEAVE_SECONDS = 2.0


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Start two data centres of two entries each."""
    cluster = ProcessCluster(folder=tmp_path, layout=LAYOUT)
    try:
        cluster.start_all()
        yield cluster
    finally:
        cluster.close()


def hosts_of(cluster: ProcessCluster) -> list[str]:
    """Return the addresses of all entries."""
    return [entry.host for entry in cluster.entries]


def count_over_capacity(hosts: list[str]) -> int:
    """Return how many requests stand-ins received above their capacity."""
    counts = [fetch_standin_report(host)["counts"] for host in hosts]
    return sum(c["over_capacity_cold"] + c["over_capacity_warm"] for c in counts)


def test_cold_upstreams_are_not_overloaded(cluster: ProcessCluster) -> None:
    """Guards against entries that each send all their load to a cold upstream."""
    standins = [start_standin(cluster, dc, "--cold") for dc in ("gl-erie", "gl-huron")]
    cluster.wait_for_upstreams("alley-desk", 2)
    send_requests_until(hosts_of(cluster), 16, lambda counts: counts[200] >= 400)
    assert count_over_capacity(standins) == 0
    capacities = [fetch_standin_report(host)["capacity"] for host in standins]
    assert capacities == [4, 4], capacities


def test_killed_and_frozen_entries_cause_no_overload(cluster: ProcessCluster) -> None:
    """Guards against slots that are granted twice when their owner is lost."""
    standins = [
        start_standin(cluster, dc, "--slots", "2", "--work-ms", "20")
        for dc in ("gl-erie", "gl-huron")
    ]
    cluster.wait_for_upstreams("alley-desk", 2)
    send_requests_until(hosts_of(cluster), 12, lambda counts: counts[200] >= 200)
    frozen = cluster.running_entries["entry-1"].process
    frozen.send_signal(signal.SIGSTOP)
    send_requests_until(hosts_of(cluster)[1:], 12, lambda counts: counts[200] >= 300)
    frozen.send_signal(signal.SIGCONT)
    cluster.running_entries["entry-3"].process.kill()
    others = [e.host for e in cluster.entries if e.name != "entry-3"]
    send_requests_until(others, 12, lambda counts: counts[200] >= 300)
    assert count_over_capacity(standins) == 0


def test_leaving_upstream_gets_no_new_work(cluster: ProcessCluster) -> None:
    """Guards against entries that do not notice that an upstream leaves."""
    leaving = start_standin(cluster, "gl-erie")
    start_standin(cluster, "gl-huron")
    cluster.wait_for_upstreams("alley-desk", 2)
    send_requests_until(hosts_of(cluster), 8, lambda counts: counts[200] >= 300)
    send_requests_until(
        hosts_of(cluster),
        8,
        lambda counts: counts[200] >= 1000,
        on_first_answer=lambda: call_control(leaving, "POST", "/v1/leave"),
    )
    report = fetch_standin_report(leaving)
    assert report["last_new_work_at"] - report["leaving_at"] < LEAVE_SECONDS


def test_every_entry_learns_that_an_upstream_has_stopped(
    cluster: ProcessCluster,
) -> None:
    """Guards against flows that wait for an upstream after its planned stop."""
    start_standin(cluster, "gl-erie")
    start_standin(cluster, "gl-huron")
    cluster.wait_for_upstreams("alley-desk", 2)
    cluster.processes.started[-1].process.send_signal(signal.SIGTERM)

    def have_all_entries_learned() -> bool:
        started = [cluster.running_entries[entry.name] for entry in cluster.entries]
        lines_by_entry = [entry.log_lines("upstream_registered") for entry in started]
        return all(
            any("phase=left" in line for line in entry_lines)
            for entry_lines in lines_by_entry
        )

    wait_until(have_all_entries_learned, "the end of the upstream at every entry")


def test_dead_upstream_is_ejected_before_its_record_expires(
    cluster: ProcessCluster,
) -> None:
    """Guards against requests that keep failing at a dead upstream."""
    for data_centre in ("gl-erie", "gl-huron", "gl-huron"):
        start_standin(cluster, data_centre)
    cluster.wait_for_upstreams("alley-desk", 3)
    send_requests_until(hosts_of(cluster), 4, lambda counts: counts[200] >= 200)
    cluster.processes.started[-1].process.kill()
    entry = cluster.running_entries["entry-1"]

    def has_ejected() -> bool:
        send_requests_until(
            hosts_of(cluster), 4, lambda counts: sum(counts.values()) >= 20
        )
        return bool(entry.log_lines("upstream_ejected"))

    wait_until(has_ejected, "entry-1 ejects the dead upstream")
    assert not entry.log_lines("upstream_silent")
    counts = send_requests_until(
        hosts_of(cluster), 4, lambda counts: counts[200] >= 100
    )
    assert counts[503] <= 20, counts
