"""Requests through entry processes: outcomes, limits and callers that disconnect."""

from __future__ import annotations

import hashlib
import http.client
import socket
import threading
from collections.abc import Iterator

import pytest

from testing.support.process_cluster import ProcessCluster
from testing.support.processes import wait_until
from testing.support.request_calls import (
    TCP_PORT,
    Reply,
    StandinUpstream,
    new_key,
    send,
    send_booking,
    start_upstream,
    wait_for_bookings,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
LEDGER_PORT = 8002
WORK_MS = 20.0


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProcessCluster]:
    """Start four entries in two data centres."""
    cluster = ProcessCluster(folder=tmp_path_factory.mktemp("requests"), layout=LAYOUT)
    try:
        cluster.start_all()
        yield cluster
    finally:
        cluster.close()


@pytest.fixture(scope="module")
def desk(cluster: ProcessCluster) -> StandinUpstream:
    """Start the one upstream of the booking service."""
    desk = start_upstream(cluster, "alley-desk", "gl-erie", WORK_MS)
    start_upstream(cluster, "league-ledger", "gl-erie", WORK_MS)
    cluster.wait_for_upstreams("alley-desk", 1)
    cluster.wait_for_upstreams("league-ledger", 1)
    wait_for_bookings(cluster)
    return desk


def send_all(count: int, host: str, path: str, **fields: object) -> list[Reply]:
    """Send requests concurrently and return their replies."""
    replies: list[Reply] = []

    def send_one(number: int) -> None:
        replies.append(send(host, "GET", f"{path}/{number}", **fields))

    threads = [threading.Thread(target=send_one, args=(n,)) for n in range(count)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return replies


def test_retry_at_any_entry_gets_the_same_answer(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against running a booking again for a retry at another entry."""
    for home in ("gl-erie", "gl-huron"):
        key = new_key(home)
        replies = {send_booking(entry.host, key) for entry in cluster.entries}
        assert len(replies) == 1, replies
        assert replies.pop().field("run") == 1
        assert desk.report()["runs"][key] == 1


def test_concurrent_retries_run_once(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against running a key twice that is sent to all entries at once."""
    key = new_key("gl-huron")
    replies: list[Reply] = []
    threads = [
        threading.Thread(
            target=lambda e=entry: replies.append(send_booking(e.host, key))
        )  # type: ignore[misc]
        for entry in cluster.entries
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert len(set(replies)) == 1, replies
    assert desk.report()["runs"][key] == 1


def test_invalid_keys_are_refused(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against running a request whose key cannot be stored."""
    host = cluster.entries[0].host
    malformed = send_booking(host, "booking-17")
    assert (malformed.status, malformed.outcome) == (400, "not-run"), malformed
    old = send_booking(host, new_key("gl-erie", age_ms=3_600_000))
    assert (old.status, old.code, old.outcome) == (400, "CS-REQUEST-009", ""), old
    foreign = send_booking(host, new_key("gl-ontario"), attempt=1)
    assert foreign.outcome == "not-run", foreign
    key = new_key("gl-erie")
    assert send_booking(host, key).status == 200
    reused = send(host, body=b"another booking", idempotency_key=key)
    assert (reused.status, reused.code) == (422, "CS-REQUEST-010"), reused


def test_oversized_input_is_refused_and_the_entry_keeps_serving(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against an entry that crashes on bad input."""
    host = cluster.entries[1].host
    header = send(host, "GET", "/", padding="x" * 50_000)
    assert (header.status, header.code) == (431, "CS-REQUEST-003"), header
    with socket.create_connection((host, TCP_PORT), timeout=30) as sock:
        head = f"POST /up HTTP/1.1\r\nhost: a\r\ncontent-length: {10**9}\r\n\r\n"
        sock.sendall(head.encode())
        assert b" 413 " in sock.recv(4096)
    with socket.create_connection((host, TCP_PORT), timeout=30) as sock:
        sock.sendall(b"\x00\x01 nonsense\r\n\r\n")
        assert b" 400 " in sock.recv(4096)
    assert send(host, "GET", "/", chervilstage_timeout_ms="soon").status == 400
    assert send(host, "GET", "/").status == 200


def test_half_sent_upload_is_cancelled_upstream(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a truncated upload that the upstream treats as complete."""
    before = desk.report()["counts"]["uploads_cut"]
    with socket.create_connection((cluster.entries[0].host, TCP_PORT)) as sock:
        sock.sendall(b"PUT /sheets/2 HTTP/1.1\r\nhost: a\r\n")
        sock.sendall(b"content-length: 400000\r\n\r\n" + b"x" * 200_000)
        wait_until(lambda: desk.report()["in_flight"] == 0, "an idle upstream")
    wait_until(
        lambda: desk.report()["counts"]["uploads_cut"] == before + 1,
        "the upload cut at the upstream",
    )


def test_disconnected_caller_cancels_its_work(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against work that continues after its caller has disconnected."""
    desk.set_faults(late_ms=20_000)
    try:
        connection = http.client.HTTPConnection(cluster.entries[2].host, TCP_PORT)
        connection.request("GET", "/slow")
        wait_until(lambda: desk.report()["in_flight"] == 1, "the request in flight")
        connection.close()
        wait_until(lambda: desk.report()["in_flight"] == 0, "the request cancelled")
    finally:
        desk.set_faults(late_ms=0)


def test_crossed_answers_reach_no_caller(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a caller that gets the answer to another request."""
    desk.set_faults(crossed=True)
    try:
        replies = send_all(12, cluster.entries[0].host, "/crossed")
    finally:
        desk.set_faults(crossed=False)
    desk.set_faults(repeated=True)
    try:
        for number in range(8):
            reply = send(cluster.entries[0].host, "GET", f"/repeated/{number}")
            assert reply.field("target") == f"/repeated/{number}"
    finally:
        desk.set_faults(repeated=False)
    targets = [r.field("target") for r in replies if r.status == 200]
    assert len(targets) == len(set(targets)), targets
    others = {r.outcome for r in replies if r.status != 200}
    assert others <= {"unknown", "not-run"}, replies


def test_overload_of_one_service_does_not_affect_another(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against one service starving another, and against false refusals."""
    host = cluster.entries[0].host
    desk.set_faults(late_ms=500)
    overload = threading.Thread(
        target=lambda: send_all(60, host, "/flood", chervilstage_timeout_ms=900)
    )
    try:
        overload.start()
        for number in range(20):
            reply = send(host, "GET", f"/ledger/{number}", port=LEDGER_PORT)
            assert reply.status == 200, reply
    finally:
        overload.join()
        desk.set_faults(late_ms=0)
    wait_until(
        lambda: send(host, "GET", "/").status == 200, "an answer after the overload"
    )


def test_silent_connection_is_replaced(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against sending request after request on a dead connection."""
    host = cluster.entries[0].host
    assert send(host, "GET", "/").status == 200
    desk.set_faults(silence_open=True)
    send(host, "GET", "/", chervilstage_timeout_ms=400)
    wait_until(
        lambda: send(host, "GET", "/").status == 200, "an answer on a new connection"
    )


def test_upload_is_complete(cluster: ProcessCluster, desk: StandinUpstream) -> None:
    """Guards against truncated or mixed uploads."""
    body = bytes(range(256)) * 8000
    reply = send(cluster.entries[3].host, "PUT", "/sheets/1", body=body)
    assert reply.field("sha256") == hashlib.sha256(body).hexdigest()
