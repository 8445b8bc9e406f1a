"""End-to-end traffic through separate processes on loopback."""

from __future__ import annotations

import hashlib
import http.client
import json
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.process_cluster import ProcessCluster
from testing.support.processes import wait_until

UDP_PORT = 7001
TCP_PORT = 8001
LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Start two data centres of two entries and two upstreams each."""
    cluster = ProcessCluster(folder=tmp_path, layout=LAYOUT)
    try:
        cluster.start_all()
        for data_centre in ("gl-erie", "gl-huron"):
            cluster.start_upstream("alley-desk", data_centre)
            cluster.start_upstream("alley-desk", data_centre)
        cluster.wait_for_upstreams("alley-desk", 4)
        yield cluster
    finally:
        cluster.close()


def exchange(sock: socket.socket, host: str, payload: bytes) -> bytes:
    """Send a datagram until an answer arrives and return the answer."""
    answers: list[bytes] = []

    def has_answered() -> bool:
        sock.sendto(payload, (host, UDP_PORT))
        try:
            answers.append(sock.recv(2048))
        except TimeoutError:
            return False
        return True

    wait_until(has_answered, f"an answer through {host}")
    return answers[0]


def request(host: str, method: str, path: str, body: bytes = b"") -> dict[str, object]:
    """Send a request through an entry and return its decoded answer."""
    connection = http.client.HTTPConnection(host, TCP_PORT, timeout=20)
    connection.request(method, path, body=body)
    answer = connection.getresponse()
    content = answer.read()
    assert answer.status == 200, content
    decoded: dict[str, object] = json.loads(content)
    return decoded


def test_packets_of_one_flow_reach_one_upstream_through_any_entry(
    cluster: ProcessCluster,
) -> None:
    """Guards against entries that choose different upstreams for one flow."""
    for _ in range(5):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.settimeout(2)
            upstreams = {
                exchange(sock, entry.host, b"hello").split()[1]
                for entry in cluster.entries
            }
            assert len(upstreams) == 1, upstreams


def test_upload_is_complete_through_each_entry(cluster: ProcessCluster) -> None:
    """Guards against truncated or mixed request bodies."""
    body = bytes(range(256)) * 2000
    for entry in cluster.entries:
        answer = request(entry.host, "PUT", "/sheets/1", body)
        assert answer["sha256"] == hashlib.sha256(body).hexdigest()


def test_feed_stays_open(cluster: ProcessCluster) -> None:
    """Guards against a front end that buffers an endless answer."""
    connection = http.client.HTTPConnection(
        cluster.entries[0].host, TCP_PORT, timeout=20
    )
    connection.request("GET", "/feed")
    answer = connection.getresponse()
    assert answer.readline() == b"free alleys 1\n"
    assert answer.readline() == b"free alleys 2\n"


def test_data_centre_out_gets_no_requests_until_it_is_back(
    cluster: ProcessCluster,
) -> None:
    """Guards against requests to a data centre that operators took out of service."""
    host = cluster.entries[2].host
    cluster.run_ctl("out", "gl-erie")
    for started in cluster.running_entries.values():
        wait_until(
            lambda s=started: len(s.log_lines("configuration_in_force")) >= 2,  # type: ignore[misc]
            f"revision 2 on {started.name}",
        )
    reached_upstreams = {request(host, "GET", "/alleys")["upstream"] for _ in range(40)}
    assert len(reached_upstreams) == 2, reached_upstreams
    cluster.run_ctl("back", "gl-erie")
    seen: set[object] = set()

    def have_all_upstreams_answered() -> bool:
        seen.add(request(host, "GET", "/alleys")["upstream"])
        return len(seen) == 4

    wait_until(have_all_upstreams_answered, "requests to all upstreams after back")
