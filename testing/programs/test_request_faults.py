"""Requests while entries and upstreams are killed, frozen and stopped."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.process_cluster import NodeAddress, ProcessCluster
from testing.support.processes import wait_until
from testing.support.request_calls import (
    TCP_PORT,
    Reply,
    StandinUpstream,
    key_owned_by,
    new_key,
    send,
    send_booking,
    start_upstream,
    wait_for_bookings,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
WORK_MS = 20.0
LATE_MS = 600.0


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Start four entries in two data centres."""
    cluster = ProcessCluster(folder=tmp_path, layout=LAYOUT)
    try:
        cluster.start_all()
        yield cluster
    finally:
        cluster.close()


@pytest.fixture
def desk(cluster: ProcessCluster) -> StandinUpstream:
    """Start the one upstream of the booking service."""
    desk = start_upstream(cluster, "alley-desk", "gl-huron", WORK_MS)
    cluster.wait_for_upstreams("alley-desk", 1)
    wait_for_bookings(cluster)
    desk.set_faults(late_ms=LATE_MS)
    return desk


def wait_for_epoch_without(cluster: ProcessCluster, removed: NodeAddress) -> None:
    """Wait until the other entries have an epoch without a removed entry."""
    for entry in cluster.entries:
        started = cluster.running_entries[entry.name]
        if entry is removed or started.has_ended():
            continue
        wait_until(
            lambda s=started: removed.name not in s.log_lines("epoch_in_force")[-1],  # type: ignore[misc]
            f"an epoch without {removed.name} on {entry.name}",
        )


def book_until_run(entry: NodeAddress, key: str, desk: StandinUpstream) -> Reply:
    """Repeat a booking until an upstream has run it; a refused one must not have run.

    A new owner of capacity leases does not grant capacity that the frozen entry may
    still use, for up to ``TAKEOVER_SECONDS``.
    """
    replies: list[Reply] = []

    def has_run() -> bool:
        reply = send_booking(entry.host, key)
        replies.append(reply)
        if reply.status != 503:
            return True
        assert reply.outcome == "not-run", replies
        assert key not in desk.report()["runs"], replies
        return False

    wait_until(has_run, "a booking that is not refused")
    return replies[-1]


def send_in_thread(replies: list[Reply], host: str, key: str) -> threading.Thread:
    """Send a booking in a separate thread."""
    thread = threading.Thread(target=lambda: replies.append(send_booking(host, key, 1)))
    thread.start()
    return thread


def test_owner_killed_between_send_and_answer_causes_no_second_run(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a second run, or a wrong refusal, by a surviving entry."""
    owner = cluster.entries[0]
    key = key_owned_by(cluster, owner)
    replies: list[Reply] = []
    thread = send_in_thread(replies, cluster.entries[2].host, key)
    wait_until(
        lambda: desk.report()["runs"].get(key) == 1, "the booking at an upstream"
    )
    cluster.running_entries[owner.name].process.kill()
    thread.join()
    wait_for_epoch_without(cluster, owner)
    replies += [send_booking(e.host, key) for e in cluster.entries[1:]]
    assert {r.outcome for r in replies} == {"unknown"}, replies
    assert desk.report()["runs"][key] == 1
    wait_until(
        lambda: send_booking(cluster.entries[3].host, new_key("gl-erie")).status == 200,
        "a booking of the home that lost an entry",
    )


def test_frozen_owner_runs_nothing_after_it_resumes(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a stale owner that acts beside the owner of the next epoch."""
    owner = cluster.entries[0]
    process = cluster.running_entries[owner.name].process
    key = key_owned_by(cluster, owner)
    process.send_signal(signal.SIGSTOP)
    stale_connection = http.client.HTTPConnection(owner.host, TCP_PORT, timeout=30)
    stale_connection.request("POST", "/bookings", headers={"Idempotency-Key": key})
    wait_for_epoch_without(cluster, owner)
    first = book_until_run(cluster.entries[1], key, desk)
    process.send_signal(signal.SIGCONT)
    answer = stale_connection.getresponse()
    resumed = Reply(status=answer.status, outcome="", code="", body=answer.read())
    repeated = send_booking(cluster.entries[3].host, key)
    replies = [first, resumed, repeated]
    answers = {r.body for r in replies if r.status == 200}
    assert len(answers) <= 1, replies
    assert {r.status for r in replies} <= {200, 504}, replies
    assert repeated.status == 200, replies
    assert desk.report()["runs"][key] == 1


def test_answer_survives_the_loss_of_either_holder(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against losing an answer with one entry, or with two in succession."""
    key = key_owned_by(cluster, cluster.entries[0])
    first = send_booking(cluster.entries[3].host, key)
    assert first.status == 200, first
    for killed in cluster.entries[:2]:
        cluster.running_entries[killed.name].process.kill()
        wait_for_epoch_without(cluster, killed)
        retried = send_booking(cluster.entries[2].host, key)
        assert retried == first or retried.outcome == "unknown", retried
        if killed is cluster.entries[0]:
            assert retried == first, retried
    assert desk.report()["runs"][key] == 1


def test_upstream_killed_during_a_request_causes_no_second_run(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against sending a booking to another upstream after its upstream died."""
    other = start_upstream(cluster, "alley-desk", "gl-erie", LATE_MS)
    cluster.wait_for_upstreams("alley-desk", 2)
    key = new_key("gl-erie")
    replies: list[Reply] = []
    thread = send_in_thread(replies, cluster.entries[2].host, key)

    def upstreams_at_work() -> list[StandinUpstream]:
        return [u for u in (desk, other) if u.report()["runs"].get(key)]

    wait_until(lambda: bool(upstreams_at_work()), "the booking at an upstream")
    killed_upstream = upstreams_at_work()[0]
    other_upstream = other if killed_upstream is desk else desk
    killed_upstream.started.process.kill()
    thread.join()
    replies.append(send_booking(cluster.entries[1].host, key))
    assert {r.outcome for r in replies} == {"unknown"}, replies
    assert key not in other_upstream.report()["runs"]
    wait_until(
        lambda: send(cluster.entries[0].host, "GET", "/").status == 200,
        "an answer of the other upstream",
    )


def test_planned_stop_completes_requests_in_flight(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a stop that interrupts requests or loses records."""
    leaving = cluster.entries[0]
    key = key_owned_by(cluster, leaving)
    first = send_booking(leaving.host, key)
    assert first.status == 200, first
    before = desk.report()["in_flight"]
    caller = http.client.HTTPConnection(leaving.host, TCP_PORT, timeout=30)
    caller.request("GET", "/last")
    wait_until(lambda: desk.report()["in_flight"] > before, "the request in flight")
    process = cluster.running_entries[leaving.name].process
    process.terminate()
    answer = caller.getresponse()
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    assert answer.read()
    wait_until(lambda: process.poll() == 0, "the end of the planned stop")
    started = cluster.running_entries[leaving.name]
    assert started.log_field("records_handed_over", "complete") == "True"
    for entry in cluster.entries[1:]:
        assert send_booking(entry.host, key) == first
    assert desk.report()["runs"][key] == 1


def test_planned_stop_ends_feeds_cleanly(
    cluster: ProcessCluster, desk: StandinUpstream
) -> None:
    """Guards against a feed that is truncated by a planned stop."""
    entry = cluster.entries[3]
    cluster.running_entries[entry.name].process.terminate()
    cluster.running_entries[entry.name].process.wait()
    cluster.wait_until_started(cluster.start_entry(entry, drain_seconds=4.0))
    wait_until(lambda: is_serving(entry), "the restarted entry")
    connection = http.client.HTTPConnection(entry.host, TCP_PORT, timeout=30)
    connection.request("GET", "/feed")
    answer = connection.getresponse()
    assert answer.status == 200, (answer.status, answer.headers.items())
    assert answer.readline() == b"free alleys 1\n"
    assert answer.readline() == b"free alleys 2\n"
    cluster.running_entries[entry.name].process.terminate()
    remaining_lines = answer.read()
    assert remaining_lines.startswith(b"free alleys 3\n"), remaining_lines
    process = cluster.running_entries[entry.name].process
    wait_until(lambda: process.poll() == 0, "the end of the planned stop")


def is_serving(entry: NodeAddress) -> bool:
    """Return whether an entry answers requests."""
    try:
        return send(entry.host, "GET", "/").status == 200
    except OSError:
        time.sleep(0.1)
        return False
