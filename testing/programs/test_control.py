"""Control replicas and entries as processes under faults and concurrent changes."""

from __future__ import annotations

import shutil
import signal
import ssl
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any
from urllib.request import Request, urlopen

import pytest

from testing.support.cell import HTTP_OK, KEY, OPERATOR_PORT, Cell
from testing.support.processes import ROOT, Started, wait_until

CENTRES = ["gl-erie", "gl-huron"]
UNAVAILABLE = 503


@pytest.fixture
def cell(tmp_path: Path) -> Iterator[Cell]:
    """Start three control replicas and two entries."""
    cell = Cell(folder=tmp_path, layout=CENTRES, controls=3)
    try:
        cell.start_all()
        yield cell
    finally:
        cell.close()


def change_document(operation: str, base: int, out: list[str]) -> dict[str, Any]:
    """Return the document of a change to the data centres out of service."""
    return {
        "operation_id": operation,
        "operator": "maria",
        "base_revision": base,
        "out": out,
    }


def submit(cell: Cell, operation: str, out: list[str], number: int = 1) -> Any:
    """Submit a change from the newest revision until it has an outcome."""
    received_outcomes: list[Any] = []

    def has_outcome() -> bool:
        status, answer = cell.call("GET", "/v1/configuration", number=number)
        if status != HTTP_OK:
            return False
        document = change_document(operation, answer["revision"], out)
        status, outcome = cell.call("POST", "/v1/changes", document, number=number)
        received_outcomes.append(outcome)
        return status == HTTP_OK

    wait_until(has_outcome, f"an outcome of {operation}")
    return received_outcomes[-1]


def logged_revision(started: Started) -> int:
    """Return the highest revision that an entry has logged as in force."""
    lines = started.lines("configuration_in_force")
    return max((int(line.rsplit("revision=", 1)[1]) for line in lines), default=0)


def wait_revision(cell: Cell, revision: int) -> None:
    """Wait until every entry has a revision in force."""
    for started in cell.running.values():
        wait_until(
            lambda s=started: logged_revision(s) >= revision,  # type: ignore[misc]
            f"revision {revision} on {started.name}",
        )


def kill(started: Started) -> None:
    """Kill a process."""
    started.process.kill()
    started.process.wait()


def control_process(cell: Cell, number: int) -> Started:
    """Return the process of a running control replica."""
    return cell.running_controls[cell.controls[number - 1].name]


def test_change_survives_the_leader_and_a_resend_gets_its_outcome(cell: Cell) -> None:
    """Guards against changes and outcomes that are lost with the leader."""
    leader = cell.wait_leader()
    first_outcome = submit(cell, "take-out", ["gl-erie"], number=leader)
    assert first_outcome["code"] == "", first_outcome
    kill(control_process(cell, leader))
    new_leader = cell.wait_leader(other_than=leader)
    resent = cell.call(
        "POST",
        "/v1/changes",
        change_document("take-out", first_outcome["revision_before"], ["gl-erie"]),
        number=new_leader,
    )
    assert resent == (HTTP_OK, first_outcome)
    assert submit(cell, "back", [], number=new_leader)["revision_after"] == 3
    wait_revision(cell, 3)


def test_stopped_leader_transfers_its_leadership(cell: Cell) -> None:
    """Guards against a planned stop that waits for an election."""
    leader = cell.wait_leader()
    stopped = control_process(cell, leader)
    stopped.process.send_signal(signal.SIGTERM)
    assert stopped.process.wait(30) == 0
    assert not stopped.lines("drain_incomplete")
    new_leader = cell.wait_leader(other_than=leader)
    assert submit(cell, "after-the-stop", [], number=new_leader)["code"] == ""


def test_frozen_leader_resumes_as_a_follower(cell: Cell) -> None:
    """Guards against stale reads from a leader that resumes after a long freeze."""
    leader = cell.wait_leader()
    frozen = control_process(cell, leader)
    frozen.process.send_signal(signal.SIGSTOP)
    other = leader % len(cell.controls) + 1
    change_outcome = submit(cell, "while-frozen", ["gl-huron"], number=other)
    wait_revision(cell, change_outcome["revision_after"])
    frozen.process.send_signal(signal.SIGCONT)
    seen: list[Any] = []

    def answers() -> bool:
        status, answer = cell.call("GET", "/v1/configuration", number=leader)
        seen.append(answer)
        return status == HTTP_OK

    wait_until(answers, "the resumed replica answers")
    assert seen[-1]["revision"] == change_outcome["revision_after"], seen


def test_two_successive_blank_disks_rejoin_and_lose_nothing(cell: Cell) -> None:
    """Guards against counting a replica with a blank disk in a majority."""
    revision = submit(cell, "first", ["gl-erie"])["revision_after"]
    for number in (1, 2):
        old_identity = members_of(cell, 3)[cell.controls[number - 1].name]["identity"]
        kill(control_process(cell, number))
        shutil.rmtree(cell.data_folder(number))
        cell.start_control(number)
        wait_until(
            lambda n=number, i=old_identity: has_rejoined(cell, n, i),  # type: ignore[misc]
            f"control-{number} rejoins",
        )
    wait_until(
        lambda: cell.call("GET", "/v1/configuration")[0] == HTTP_OK, "a leader answers"
    )
    assert cell.call("GET", "/v1/configuration")[1]["revision"] == revision
    trail = cell.call("GET", "/v1/audit?operator=chervilstage")[1]
    assert len(trail) == 4, trail


def members_of(cell: Cell, number: int) -> dict[str, Any]:
    """Return the members that a replica reports, by name."""
    status, answer = cell.call("GET", "/v1/members", number=number)
    assert status == HTTP_OK, answer
    return {member["name"]: member for member in answer["members"]}


def has_rejoined(cell: Cell, number: int, old_identity: str) -> bool:
    """Return whether a replica votes under a new identity."""
    member = members_of(cell, 3)[cell.controls[number - 1].name]
    return member["voter"] and member["identity"] != old_identity


def test_concurrent_changes_of_one_revision_have_one_winner(cell: Cell) -> None:
    """Guards against accepting two changes that are based on one revision."""
    base = cell.call("GET", "/v1/configuration")[1]["revision"]
    documents = [change_document(f"race-{n}", base, [CENTRES[n % 2]]) for n in range(6)]
    with ThreadPoolExecutor(len(documents)) as pool:
        answers = list(
            pool.map(
                lambda n: cell.call(
                    "POST", "/v1/changes", documents[n], number=n % 3 + 1
                ),
                range(len(documents)),
            )
        )
    assert {status for status, _ in answers} == {HTTP_OK}, answers
    outcomes = [outcome for _, outcome in answers]
    winners = [outcome for outcome in outcomes if not outcome["code"]]
    assert len(winners) == 1, outcomes
    losers = [outcome for outcome in outcomes if outcome["code"]]
    assert {outcome["code"] for outcome in losers} == {"CS-CONFIG-001"}
    assert all("by maria at 20" in outcome["message"] for outcome in losers), losers
    trail = cell.call("GET", "/v1/audit?operator=maria&data_centre=gl-erie")[1]
    assert [o for o in trail if o["operation_id"].startswith("race")], trail


def test_restart_of_every_process_keeps_the_revision(cell: Cell) -> None:
    """Guards against a revision that decreases after all processes restart."""
    revision = submit(cell, "before", ["gl-huron"])["revision_after"]
    wait_revision(cell, revision)
    for started in [*cell.running_controls.values(), *cell.running.values()]:
        kill(started)
    for number in (1, 2, 3):
        cell.start_control(number)
    for entry in cell.entries:
        cell.start_entry(entry)
    wait_revision(cell, revision)
    assert submit(cell, "after", [])["revision_after"] == revision + 1


def test_restarted_entry_gets_the_revision_of_its_peer_without_control(
    cell: Cell,
) -> None:
    """Guards against an entry that starts with an older revision than its peers."""
    wait_revision(cell, 1)
    for started in cell.running_controls.values():
        kill(started)
    entry = cell.entries[0]
    kill(cell.running[entry.name])
    cell.wait_started(cell.start_entry(entry))
    assert logged_revision(cell.running[entry.name]) == 1


def test_entry_cut_off_from_control_follows_its_peer(cell: Cell) -> None:
    """Guards against an entry that learns of changes only from control replicas."""
    entry = cell.entries[0]
    kill(cell.running[entry.name])
    cell.wait_started(cell.start_entry(entry, replicas=[]))
    change_outcome = submit(cell, "unheard", ["gl-huron"])
    wait_revision(cell, change_outcome["revision_after"])


def test_without_a_majority_a_typed_error_says_what_still_works(cell: Cell) -> None:
    """Guards against a replica that answers as leader without a majority."""
    for number in (2, 3):
        kill(control_process(cell, number))
    seen: list[tuple[int, Any]] = []

    def refused() -> bool:
        seen.append(cell.call("POST", "/v1/changes", change_document("alone", 1, [])))
        return "CS-CONFIG-004" in str(seen[-1][1])

    wait_until(refused, "the change is refused")
    assert seen[-1][0] == UNAVAILABLE
    assert "entries go on with revision 1" in seen[-1][1]
    stale = cell.call("GET", "/v1/configuration?stale=true")
    assert stale[0] == HTTP_OK and stale[1]["revision"] == 1
    status = cell.call("GET", "/v1/status")[1]
    reachable_by_name = {
        member["name"]: member["reachable"] for member in status["members"]
    }
    assert reachable_by_name == {
        "control-1": True,
        "control-2": False,
        "control-3": False,
    }


def test_status_names_the_unreachable_entry(cell: Cell) -> None:
    """Guards against a status that omits processes that do not answer."""
    wait_revision(cell, 1)
    kill(cell.running["entry-2"])
    status = cell.call("GET", "/v1/status", number=2)[1]
    entries = {entry["name"]: entry for entry in status["entries"]}
    assert entries["entry-1"]["reachable"] and entries["entry-1"]["revision"] == 1
    assert "flows_held" in entries["entry-1"]["gauges"]
    assert not entries["entry-2"]["reachable"], entries


def test_damaged_log_prevents_the_start_with_a_typed_error(cell: Cell) -> None:
    """Guards against a replica that runs with a log that has lost a change."""
    kill(control_process(cell, 3))
    path = next(cell.data_folder(3).glob("log-*"))
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 4
    path.write_bytes(content)
    with pytest.raises(AssertionError, match="CS-CONFIG-003"):
        cell.start_control(3)


def test_members_can_be_replaced_by_operators(cell: Cell) -> None:
    """Guards against a set of replicas that operators cannot change."""
    document = {
        "operation_id": "remove-3",
        "operator": "maria",
        "action": "remove",
        "name": "control-3",
    }
    status, outcome = cell.call("POST", "/v1/members", document, number=2)
    assert status == HTTP_OK and not outcome["code"], outcome
    assert "control-3" not in members_of(cell, cell.wait_leader())
    kill(control_process(cell, 3))
    shutil.rmtree(cell.data_folder(3))
    cell.start_control(3)
    host = cell.controls[2].host
    added = {**document, "operation_id": "add-3", "action": "add"}
    added |= {"host": host, "port": 7400}
    answers: list[tuple[int, Any]] = []

    def accepted() -> bool:
        answers.append(cell.call("POST", "/v1/members", added, number=1))
        return answers[-1][0] == HTTP_OK

    wait_until(accepted, f"control-3 is added: {answers}")
    wait_until(
        lambda: members_of(cell, 3).get("control-3", {}).get("voter", False),
        "control-3 votes",
    )


def test_operators_connect_over_tls_with_the_key(tmp_path: Path) -> None:
    """Guards against a listener that ignores its certificate or the key."""
    cell = Cell(folder=tmp_path, layout=CENTRES[:1])
    certificate = ROOT / "testing" / "support" / "tls" / "control.pem"
    try:
        cell.start_control(
            tls_certificate_file=str(certificate),
            tls_key_file=str(certificate.with_suffix(".key")),
        )
        context = ssl.create_default_context(cafile=str(certificate))
        context.check_hostname = False
        request = Request(
            f"https://{cell.control_host}:{OPERATOR_PORT}/v1/members",
            headers={"authorization": f"Bearer {KEY}"},
        )
        with urlopen(request, timeout=20, context=context) as answer:
            assert answer.status == HTTP_OK
        assert cell.call("GET", "/v1/members")[0] == 0
    finally:
        cell.close()
