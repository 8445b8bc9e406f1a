"""Requests while entries and upstreams are killed, frozen and stopped."""

from __future__ import annotations

import http.client
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from testing.support.cell import Cell, EntryHost
from testing.support.processes import wait_until
from testing.support.request_calls import (
    TCP_PORT,
    Reply,
    Upstream,
    book,
    key_owned_by,
    new_key,
    send,
    start_upstream,
    wait_bookings,
)

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
WORK_MS = 20.0
LATE_MS = 600.0


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[Cell]:
    """Start four entries in two data centres."""
    cell = Cell(folder=tmp_path, layout=LAYOUT)
    try:
        cell.start_all()
        yield cell
    finally:
        cell.close()


@pytest.fixture
def desk(cell: Cell) -> Upstream:
    """Start the one upstream of the booking service."""
    desk = start_upstream(cell, "alley-desk", "gl-huron", WORK_MS)
    cell.wait_registered("alley-desk", 1)
    wait_bookings(cell)
    desk.set_faults(late_ms=LATE_MS)
    return desk


def wait_epoch_without(cell: Cell, removed: EntryHost) -> None:
    """Wait until the other entries have an epoch without a removed entry."""
    for entry in cell.entries:
        started = cell.running[entry.name]
        if entry is removed or started.ended():
            continue
        wait_until(
            lambda s=started: removed.name not in s.lines("epoch_in_force")[-1],  # type: ignore[misc]
            f"an epoch without {removed.name} on {entry.name}",
        )


def book_until_run(entry: EntryHost, key: str, desk: Upstream) -> Reply:
    """Repeat a booking until an upstream has run it; a refused one must not have run.

    A new owner of capacity leases does not grant capacity that the frozen entry may
    still use, for up to ``TAKEOVER_SECONDS``.
    """
    replies: list[Reply] = []

    def has_run() -> bool:
        reply = book(entry.host, key)
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
    thread = threading.Thread(target=lambda: replies.append(book(host, key, 1)))
    thread.start()
    return thread


def test_owner_killed_between_send_and_answer(cell: Cell, desk: Upstream) -> None:
    """Guards against a second run, or a wrong refusal, by a surviving entry."""
    owner = cell.entries[0]
    key = key_owned_by(cell, owner)
    replies: list[Reply] = []
    thread = send_in_thread(replies, cell.entries[2].host, key)
    wait_until(lambda: desk.report()["runs"].get(key) == 1, "the booking at work")
    cell.running[owner.name].process.kill()
    thread.join()
    wait_epoch_without(cell, owner)
    replies += [book(e.host, key) for e in cell.entries[1:]]
    assert {r.outcome for r in replies} == {"unknown"}, replies
    assert desk.report()["runs"][key] == 1
    wait_until(
        lambda: book(cell.entries[3].host, new_key("gl-erie")).status == 200,
        "a booking of the home that lost an entry",
    )


def test_frozen_owner_runs_nothing_after_it_resumes(cell: Cell, desk: Upstream) -> None:
    """Guards against a stale owner that acts beside the owner of the next epoch."""
    owner = cell.entries[0]
    process = cell.running[owner.name].process
    key = key_owned_by(cell, owner)
    process.send_signal(signal.SIGSTOP)
    stale_connection = http.client.HTTPConnection(owner.host, TCP_PORT, timeout=30)
    stale_connection.request("POST", "/bookings", headers={"Idempotency-Key": key})
    wait_epoch_without(cell, owner)
    first = book_until_run(cell.entries[1], key, desk)
    process.send_signal(signal.SIGCONT)
    answer = stale_connection.getresponse()
    resumed = Reply(status=answer.status, outcome="", code="", body=answer.read())
    repeated = book(cell.entries[3].host, key)
    replies = [first, resumed, repeated]
    answers = {r.body for r in replies if r.status == 200}
    assert len(answers) <= 1, replies
    assert {r.status for r in replies} <= {200, 504}, replies
    assert repeated.status == 200, replies
    assert desk.report()["runs"][key] == 1


def test_answer_survives_the_loss_of_either_holder(cell: Cell, desk: Upstream) -> None:
    """Guards against losing an answer with one entry, or with two in succession."""
    key = key_owned_by(cell, cell.entries[0])
    first = book(cell.entries[3].host, key)
    assert first.status == 200, first
    for killed in cell.entries[:2]:
        cell.running[killed.name].process.kill()
        wait_epoch_without(cell, killed)
        retried = book(cell.entries[2].host, key)
        assert retried == first or retried.outcome == "unknown", retried
        if killed is cell.entries[0]:
            assert retried == first, retried
    assert desk.report()["runs"][key] == 1


def test_upstream_killed_during_a_request(cell: Cell, desk: Upstream) -> None:
    """Guards against sending a booking to another upstream after its upstream died."""
    other = start_upstream(cell, "alley-desk", "gl-erie", LATE_MS)
    cell.wait_registered("alley-desk", 2)
    key = new_key("gl-erie")
    replies: list[Reply] = []
    thread = send_in_thread(replies, cell.entries[2].host, key)

    def upstreams_at_work() -> list[Upstream]:
        return [u for u in (desk, other) if u.report()["runs"].get(key)]

    wait_until(lambda: bool(upstreams_at_work()), "the booking at work")
    victim = upstreams_at_work()[0]
    survivor = other if victim is desk else desk
    victim.started.process.kill()
    thread.join()
    replies.append(book(cell.entries[1].host, key))
    assert {r.outcome for r in replies} == {"unknown"}, replies
    assert key not in survivor.report()["runs"]
    wait_until(
        lambda: send(cell.entries[0].host, "GET", "/").status == 200,
        "an answer of the other upstream",
    )


def test_planned_stop_completes_requests_in_flight(cell: Cell, desk: Upstream) -> None:
    """Guards against a stop that interrupts requests or loses records."""
    leaving = cell.entries[0]
    key = key_owned_by(cell, leaving)
    first = book(leaving.host, key)
    assert first.status == 200, first
    before = desk.report()["in_flight"]
    caller = http.client.HTTPConnection(leaving.host, TCP_PORT, timeout=30)
    caller.request("GET", "/last")
    wait_until(lambda: desk.report()["in_flight"] > before, "the request in flight")
    process = cell.running[leaving.name].process
    process.terminate()
    answer = caller.getresponse()
    assert answer.status == 200
    assert answer.headers["connection"] == "close"
    assert answer.read()
    wait_until(lambda: process.poll() == 0, "the end of the planned stop")
    started = cell.running[leaving.name]
    assert started.field("records_handed_over", "complete") == "True"
    for entry in cell.entries[1:]:
        assert book(entry.host, key) == first
    assert desk.report()["runs"][key] == 1


def test_planned_stop_ends_feeds_cleanly(cell: Cell, desk: Upstream) -> None:
    """Guards against a feed that is truncated by a planned stop."""
    entry = cell.entries[3]
    cell.running[entry.name].process.terminate()
    cell.running[entry.name].process.wait()
    cell.wait_started(cell.start_entry(entry, drain_seconds=4.0))
    wait_until(lambda: is_serving(entry), "the restarted entry")
    connection = http.client.HTTPConnection(entry.host, TCP_PORT, timeout=30)
    connection.request("GET", "/feed")
    answer = connection.getresponse()
    assert answer.status == 200, (answer.status, answer.headers.items())
    assert answer.readline() == b"free alleys 1\n"
    assert answer.readline() == b"free alleys 2\n"
    cell.running[entry.name].process.terminate()
    remaining_lines = answer.read()
    assert remaining_lines.startswith(b"free alleys 3\n"), remaining_lines
    process = cell.running[entry.name].process
    wait_until(lambda: process.poll() == 0, "the end of the planned stop")


def is_serving(entry: EntryHost) -> bool:
    """Return whether an entry answers requests."""
    try:
        return send(entry.host, "GET", "/").status == 200
    except OSError:
        time.sleep(0.1)
        return False
