"""A stand-in upstream process without entries."""

from __future__ import annotations

import http.client
import json
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from testing.support.processes import Processes, StartedProcess, unique_host, wait_until

STANDIN_CONTROL_PORT = 7600
WORK_SECONDS = 0.3


class Standin(NamedTuple):
    """A running stand-in and its addresses."""

    started: StartedProcess
    host: str
    port: int
    counters: Path

    def send(self, path: str, **headers: str) -> http.client.HTTPConnection:
        """Send a request and return the connection with its answer unread."""
        connection = http.client.HTTPConnection(self.host, self.port, timeout=20)
        renamed_headers = {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        connection.request("POST", path, body=b"x", headers=renamed_headers)
        return connection

    def control(self, method: str, path: str, **body: object) -> bytes:
        """Call the control port."""
        connection = http.client.HTTPConnection(
            self.host, STANDIN_CONTROL_PORT, timeout=20
        )
        connection.request(method, path, body=json.dumps(body).encode())
        answer = connection.getresponse()
        assert answer.status in (200, 204), answer.read()
        return answer.read()

    def report(self) -> dict[str, Any]:
        """Return the counters."""
        report: dict[str, Any] = json.loads(self.control("GET", "/v1/report"))
        return report

    def count(self, name: str) -> int:
        """Return one of the counts."""
        return int(self.report()["counts"][name])


@pytest.fixture
def standin(tmp_path: Path) -> Iterator[Standin]:
    """Start a cold stand-in, at which work takes 300 ms, twice as long as when warm."""
    processes, host = Processes(folder=tmp_path), unique_host()
    counters = tmp_path / "counters.json"
    arguments = ["--host", host, "--service", "alley-desk", "--entry", f"{host}:1"]
    arguments += ["--data-centre", "gl-erie", "--slots", "2", "--cold"]
    arguments += ["--work-ms", str(WORK_SECONDS * 1000 / 2)]
    arguments += [
        "--control-port",
        str(STANDIN_CONTROL_PORT),
        "--counters-file",
        str(counters),
    ]
    try:
        started = processes.start("standin", "standin", arguments)
        wait_until(lambda: bool(started.log_lines("standin_listening")), "listening")
        address = started.log_field("standin_listening", "requests")
        assert address
        port = int(address.rpartition(":")[2])
        yield Standin(started=started, host=host, port=port, counters=counters)
    finally:
        processes.close()


def test_closed_connection_stops_the_work(standin: Standin) -> None:
    """Guards against work that continues after its caller has disconnected."""
    caller = standin.send("/bookings")
    wait_until(lambda: standin.count("started") == 1, "work begun")
    caller.close()
    wait_until(lambda: standin.count("cancelled") == 1, "work cancelled")
    assert standin.count("completed") == 0


def test_refused_requests_are_reported_as_not_run_and_do_not_run(
    standin: Standin,
) -> None:
    """Guards against a stand-in that runs requests that it refuses."""
    late = standin.send("/a", idempotency_key="late", chervilstage_timeout_ms="0")
    first = standin.send("/b", idempotency_key="first")
    wait_until(lambda: standin.count("started") == 1, "work begun")
    second = standin.send("/c", idempotency_key="second")
    for refused in (late.getresponse(), second.getresponse()):
        assert refused.status == 503
        assert refused.headers["chervilstage-outcome"] == "not-run"
    assert first.getresponse().status == 200
    report = standin.report()
    assert report["runs"] == {"first": 1}
    assert report["counts"]["over_capacity_cold"] == 1
    assert report["counts"]["expired"] == 1


def test_silent_connections_stay_silent_while_new_ones_work(standin: Standin) -> None:
    """Guards against a fault command that silences the whole stand-in."""
    standin.control("POST", "/v1/faults", silent_next=1)
    silent = standin.send("/a")
    assert standin.send("/b").getresponse().status == 200
    waiting = standin.send("/c")
    wait_until(lambda: standin.count("started") == 2, "work begun")
    standin.control("POST", "/v1/faults", silence_open=True)
    assert standin.send("/d").getresponse().status == 200
    for connection in (silent, waiting):
        assert connection.sock
        connection.sock.settimeout(WORK_SECONDS * 2)
        with pytest.raises(TimeoutError):
            connection.getresponse()


def test_repeated_answer_is_sent_twice(standin: Standin) -> None:
    """Guards against a fault command without effect."""
    standin.control("POST", "/v1/faults", repeated=True)
    with socket.create_connection((standin.host, standin.port), 20) as caller:
        caller.sendall(b"GET /a HTTP/1.1\r\nhost: a\r\n\r\n")
        received = b""
        while received.count(b"HTTP/1.1 200") < 2:
            received += caller.recv(65536)
    assert standin.count("requests") == 1


def test_planned_stop_finishes_running_requests_and_saves_the_counters(
    standin: Standin,
) -> None:
    """Guards against a drain that interrupts an answer."""
    caller = standin.send("/a", idempotency_key="k")
    wait_until(lambda: standin.count("started") == 1, "work begun")
    standin.started.process.send_signal(signal.SIGTERM)
    assert caller.getresponse().status == 200
    wait_until(standin.started.has_ended, "the end of the stand-in")
    report = json.loads(standin.counters.read_text())
    assert (report["runs"], report["leaving"]) == ({"k": 1}, True)
    assert 0 < report["leaving_at"] <= time.time()
