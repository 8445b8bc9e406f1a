"""Flows through real entries while upstreams and entries start, stop and crash."""

from __future__ import annotations

import random
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.process_cluster import ProcessCluster
from testing.support.processes import StartedProcess, wait_until

UDP_PORT = 7001
FLOWS = 40
SERVICE = "alley-desk"
LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]


class Flow:
    """A caller's socket and the upstreams that answered it."""

    def __init__(self) -> None:
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.settimeout(0.5)
        self.upstreams: list[bytes] = []

    def exchange(self, host: str) -> None:
        """Send through an entry until an answer arrives."""

        def has_answered() -> bool:
            self.sock.sendto(b"hello", (host, UDP_PORT))
            try:
                answer = self.sock.recv(2048).split()
            except TimeoutError:
                return False
            assert answer[0] == SERVICE.encode(), answer
            self.upstreams.append(answer[1])
            return True

        wait_until(has_answered, f"an answer through {host}")


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Start four entries, then three upstreams."""
    cluster = ProcessCluster(folder=tmp_path, layout=LAYOUT)
    try:
        cluster.start_all()
        for data_centre in ("gl-erie", "gl-huron", "gl-huron"):
            cluster.start_upstream(SERVICE, data_centre)
        cluster.wait_for_upstreams(SERVICE, 3)
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def flows(cluster: ProcessCluster) -> Iterator[list[Flow]]:
    """Open flows that every entry has seen."""
    flows = [Flow() for _ in range(FLOWS)]
    for flow in flows:
        for entry in cluster.entries:
            flow.exchange(entry.host)
    yield flows
    for flow in flows:
        flow.sock.close()


def send_through_random_entries(flows: list[Flow], hosts: list[str], seed: int) -> None:
    """Send a packet of each flow through a randomly chosen entry."""
    rng = random.Random(seed)
    for flow in flows:
        flow.exchange(rng.choice(hosts))


def assert_one_upstream_per_flow(flows: list[Flow]) -> None:
    """Fail if a flow was answered by several upstreams."""
    upstream_sets = [set(f.upstreams) for f in flows if len(set(f.upstreams)) != 1]
    assert not upstream_sets, upstream_sets


def wait_for_view(started: StartedProcess, upstreams: int) -> None:
    """Wait until an entry's view has that many upstreams."""

    def has_view() -> bool:
        lines = started.log_lines("view_in_force")
        return bool(lines) and lines[-1].endswith(f"upstreams={upstreams}")

    wait_until(has_view, f"a view with {upstreams} upstreams on {started.name}")


def test_flows_survive_changes_of_upstreams_and_entries(
    cluster: ProcessCluster, flows: list[Flow]
) -> None:
    """Guards against flows that break on planned changes or when an entry is lost."""
    hosts = [entry.host for entry in cluster.entries]
    first = cluster.running_entries["entry-1"]
    wait_for_view(first, 3)
    added = cluster.start_upstream(SERVICE, "gl-erie")
    for packet_seed in range(3):
        send_through_random_entries(flows, hosts, packet_seed)
    wait_for_view(first, 4)
    send_through_random_entries(flows, hosts, 4)
    assert_one_upstream_per_flow(flows)

    stopped = cluster.running_entries.pop("entry-4")
    stopped.process.send_signal(signal.SIGTERM)
    send_through_random_entries(flows, hosts[:3], 5)
    wait_until(stopped.has_ended, "the end of entry-4")
    assert "complete=True" in stopped.log_lines("pins_handed_over")[0]
    added.process.send_signal(signal.SIGTERM)
    wait_for_view(first, 3)
    send_through_random_entries(flows, hosts[:3], 6)
    assert_one_upstream_per_flow(flows)

    killed = cluster.running_entries.pop("entry-1")
    killed.process.kill()
    send_through_random_entries(flows, hosts[1:3], 7)
    restarted = cluster.start_entry(cluster.entries[3])
    cluster.wait_until_started(restarted)
    wait_for_view(restarted, 3)
    send_through_random_entries(flows, [hosts[3]], 8)
    send_through_random_entries(flows, hosts[1:], 9)
    assert_one_upstream_per_flow(flows)
