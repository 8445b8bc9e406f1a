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

from testing.support.process_cluster import HTTP_OK, KEY, OPERATOR_PORT, ProcessCluster
from testing.support.processes import ROOT, StartedProcess, wait_until

DATA_CENTRES = ["gl-erie", "gl-huron"]
UNAVAILABLE = 503


@pytest.fixture
def cluster(tmp_path: Path) -> Iterator[ProcessCluster]:
    """Start three control replicas and two entries."""
    cluster = ProcessCluster(folder=tmp_path, layout=DATA_CENTRES, controls=3)
    try:
        cluster.start_all()
        yield cluster
    finally:
        cluster.close()


def change_document(operation: str, base: int, out: list[str]) -> dict[str, Any]:
    """Return the document of a change to the data centres out of service."""
    return {
        "operation_id": operation,
        "operator": "maria",
        "base_revision": base,
        "out": out,
    }


def submit(
    cluster: ProcessCluster, operation: str, out: list[str], number: int = 1
) -> Any:
    """Submit a change from the newest revision until it has an outcome."""
    received_outcomes: list[Any] = []

    def has_outcome() -> bool:
        status, answer = cluster.call_operator_api(
            "GET", "/v1/configuration", number=number
        )
        if status != HTTP_OK:
            return False
        document = change_document(operation, answer["revision"], out)
        status, outcome = cluster.call_operator_api(
            "POST", "/v1/changes", document, number=number
        )
        received_outcomes.append(outcome)
        return status == HTTP_OK

    wait_until(has_outcome, f"an outcome of {operation}")
    return received_outcomes[-1]


def logged_revision(started: StartedProcess) -> int:
    """Return the highest revision that an entry has logged as in force."""
    lines = started.log_lines("configuration_in_force")
    return max((int(line.rsplit("revision=", 1)[1]) for line in lines), default=0)


def wait_for_revision(cluster: ProcessCluster, revision: int) -> None:
    """Wait until every entry has a revision in force."""
    for started in cluster.running_entries.values():
        wait_until(
            lambda s=started: logged_revision(s) >= revision,  # type: ignore[misc]
            f"revision {revision} on {started.name}",
        )


def kill(started: StartedProcess) -> None:
    """Kill a process."""
    started.process.kill()
    started.process.wait()


def control_process(cluster: ProcessCluster, number: int) -> StartedProcess:
    """Return the process of a running control replica."""
    return cluster.running_controls[cluster.controls[number - 1].name]


def test_change_survives_the_leader_and_a_resend_gets_its_outcome(
    cluster: ProcessCluster,
) -> None:
    """Guards against changes and outcomes that are lost with the leader."""
    leader = cluster.wait_for_leader()
    first_outcome = submit(cluster, "take-out", ["gl-erie"], number=leader)
    assert first_outcome["code"] == "", first_outcome
    kill(control_process(cluster, leader))
    new_leader = cluster.wait_for_leader(other_than=leader)
    resent = cluster.call_operator_api(
        "POST",
        "/v1/changes",
        change_document("take-out", first_outcome["revision_before"], ["gl-erie"]),
        number=new_leader,
    )
    assert resent == (HTTP_OK, first_outcome)
    assert submit(cluster, "back", [], number=new_leader)["revision_after"] == 3
    wait_for_revision(cluster, 3)


def test_stopped_leader_transfers_its_leadership(cluster: ProcessCluster) -> None:
    """Guards against a planned stop that waits for an election."""
    leader = cluster.wait_for_leader()
    stopped = control_process(cluster, leader)
    stopped.process.send_signal(signal.SIGTERM)
    assert stopped.process.wait(30) == 0
    assert not stopped.log_lines("drain_incomplete")
    new_leader = cluster.wait_for_leader(other_than=leader)
    assert submit(cluster, "after-the-stop", [], number=new_leader)["code"] == ""


def test_frozen_leader_resumes_as_a_follower(cluster: ProcessCluster) -> None:
    """Guards against stale reads from a leader that resumes after a long freeze."""
    leader = cluster.wait_for_leader()
    frozen = control_process(cluster, leader)
    frozen.process.send_signal(signal.SIGSTOP)
    other = leader % len(cluster.controls) + 1
    change_outcome = submit(cluster, "while-frozen", ["gl-huron"], number=other)
    wait_for_revision(cluster, change_outcome["revision_after"])
    frozen.process.send_signal(signal.SIGCONT)
    seen: list[Any] = []

    def has_answered() -> bool:
        status, answer = cluster.call_operator_api(
            "GET", "/v1/configuration", number=leader
        )
        seen.append(answer)
        return status == HTTP_OK

    wait_until(has_answered, "the resumed replica answers")
    assert seen[-1]["revision"] == change_outcome["revision_after"], seen


def test_two_successive_blank_disks_rejoin_and_lose_nothing(
    cluster: ProcessCluster,
) -> None:
    """Guards against counting a replica with a blank disk in a majority."""
    revision = submit(cluster, "first", ["gl-erie"])["revision_after"]
    for number in (1, 2):
        old_identity = members_of(cluster, 3)[cluster.controls[number - 1].name][
            "identity"
        ]
        kill(control_process(cluster, number))
        shutil.rmtree(cluster.data_folder(number))
        cluster.start_control(number)
        wait_until(
            lambda n=number, i=old_identity: has_rejoined(cluster, n, i),  # type: ignore[misc]
            f"control-{number} rejoins",
        )
    wait_until(
        lambda: cluster.call_operator_api("GET", "/v1/configuration")[0] == HTTP_OK,
        "a leader answers",
    )
    assert (
        cluster.call_operator_api("GET", "/v1/configuration")[1]["revision"] == revision
    )
    trail = cluster.call_operator_api("GET", "/v1/audit?operator=chervilstage")[1]
    assert len(trail) == 4, trail


def members_of(cluster: ProcessCluster, number: int) -> dict[str, Any]:
    """Return the members that a replica reports, by name."""
    status, answer = cluster.call_operator_api("GET", "/v1/members", number=number)
    assert status == HTTP_OK, answer
    return {member["name"]: member for member in answer["members"]}


def has_rejoined(cluster: ProcessCluster, number: int, old_identity: str) -> bool:
    """Return whether a replica votes under a new identity."""
    member = members_of(cluster, 3)[cluster.controls[number - 1].name]
    return member["voter"] and member["identity"] != old_identity


def test_only_one_of_concurrent_changes_to_a_revision_is_accepted(
    cluster: ProcessCluster,
) -> None:
    """Guards against accepting two changes that are based on one revision."""
    base = cluster.call_operator_api("GET", "/v1/configuration")[1]["revision"]
    documents = [
        change_document(f"race-{n}", base, [DATA_CENTRES[n % 2]]) for n in range(6)
    ]
    with ThreadPoolExecutor(len(documents)) as pool:
        answers = list(
            pool.map(
                lambda n: cluster.call_operator_api(
                    "POST", "/v1/changes", documents[n], number=n % 3 + 1
                ),
                range(len(documents)),
            )
        )
    assert {status for status, _ in answers} == {HTTP_OK}, answers
    outcomes = [outcome for _, outcome in answers]
    accepted_outcomes = [outcome for outcome in outcomes if not outcome["code"]]
    assert len(accepted_outcomes) == 1, outcomes
    refused_outcomes = [outcome for outcome in outcomes if outcome["code"]]
    assert {outcome["code"] for outcome in refused_outcomes} == {"CS-CONFIG-001"}
    assert all(
        "by maria at 20" in outcome["message"] for outcome in refused_outcomes
    ), refused_outcomes
    trail = cluster.call_operator_api(
        "GET", "/v1/audit?operator=maria&data_centre=gl-erie"
    )[1]
    assert [o for o in trail if o["operation_id"].startswith("race")], trail


def test_restart_of_every_process_keeps_the_revision(cluster: ProcessCluster) -> None:
    """Guards against a revision that decreases after all processes restart."""
    revision = submit(cluster, "before", ["gl-huron"])["revision_after"]
    wait_for_revision(cluster, revision)
    for started in [
        *cluster.running_controls.values(),
        *cluster.running_entries.values(),
    ]:
        kill(started)
    for number in (1, 2, 3):
        cluster.start_control(number)
    for entry in cluster.entries:
        cluster.start_entry(entry)
    wait_for_revision(cluster, revision)
    assert submit(cluster, "after", [])["revision_after"] == revision + 1


def test_restarted_entry_gets_the_revision_of_its_peer_without_control(
    cluster: ProcessCluster,
) -> None:
    """Guards against an entry that starts with an older revision than its peers."""
    wait_for_revision(cluster, 1)
    for started in cluster.running_controls.values():
        kill(started)
    entry = cluster.entries[0]
    kill(cluster.running_entries[entry.name])
    cluster.wait_until_started(cluster.start_entry(entry))
    assert logged_revision(cluster.running_entries[entry.name]) == 1


def test_entry_cut_off_from_control_follows_its_peer(cluster: ProcessCluster) -> None:
    """Guards against an entry that learns of changes only from control replicas."""
    entry = cluster.entries[0]
    kill(cluster.running_entries[entry.name])
    cluster.wait_until_started(cluster.start_entry(entry, replicas=[]))
    change_outcome = submit(cluster, "unheard", ["gl-huron"])
    wait_for_revision(cluster, change_outcome["revision_after"])


def test_without_a_majority_a_typed_error_says_what_still_works(
    cluster: ProcessCluster,
) -> None:
    """Guards against a replica that answers as leader without a majority."""
    for number in (2, 3):
        kill(control_process(cluster, number))
    seen: list[tuple[int, Any]] = []

    def is_refused() -> bool:
        seen.append(
            cluster.call_operator_api(
                "POST", "/v1/changes", change_document("alone", 1, [])
            )
        )
        return "CS-CONFIG-004" in str(seen[-1][1])

    wait_until(is_refused, "the change is refused")
    assert seen[-1][0] == UNAVAILABLE
    assert "entries go on with revision 1" in seen[-1][1]
    stale = cluster.call_operator_api("GET", "/v1/configuration?stale=true")
    assert stale[0] == HTTP_OK and stale[1]["revision"] == 1
    status = cluster.call_operator_api("GET", "/v1/status")[1]
    reachable_by_name = {
        member["name"]: member["reachable"] for member in status["members"]
    }
    assert reachable_by_name == {
        "control-1": True,
        "control-2": False,
        "control-3": False,
    }


def test_status_names_the_unreachable_entry(cluster: ProcessCluster) -> None:
    """Guards against a status that omits processes that do not answer."""
    wait_for_revision(cluster, 1)
    kill(cluster.running_entries["entry-2"])
    status = cluster.call_operator_api("GET", "/v1/status", number=2)[1]
    entries = {entry["name"]: entry for entry in status["entries"]}
    assert entries["entry-1"]["reachable"] and entries["entry-1"]["revision"] == 1
    assert "flows_held" in entries["entry-1"]["gauges"]
    assert not entries["entry-2"]["reachable"], entries


def test_damaged_log_prevents_the_start_with_a_typed_error(
    cluster: ProcessCluster,
) -> None:
    """Guards against a replica that runs with a log that has lost a change."""
    kill(control_process(cluster, 3))
    path = next(cluster.data_folder(3).glob("log-*"))
    content = bytearray(path.read_bytes())
    content[len(content) // 2] ^= 4
    path.write_bytes(content)
    with pytest.raises(AssertionError, match="CS-CONFIG-003"):
        cluster.start_control(3)


def test_members_can_be_replaced_by_operators(cluster: ProcessCluster) -> None:
    """Guards against a set of replicas that operators cannot change."""
    document = {
        "operation_id": "remove-3",
        "operator": "maria",
        "action": "remove",
        "name": "control-3",
    }
    status, outcome = cluster.call_operator_api(
        "POST", "/v1/members", document, number=2
    )
    assert status == HTTP_OK and not outcome["code"], outcome
    assert "control-3" not in members_of(cluster, cluster.wait_for_leader())
    kill(control_process(cluster, 3))
    shutil.rmtree(cluster.data_folder(3))
    cluster.start_control(3)
    host = cluster.controls[2].host
    added = {**document, "operation_id": "add-3", "action": "add"}
    added |= {"host": host, "port": 7400}
    answers: list[tuple[int, Any]] = []

    def is_accepted() -> bool:
        answers.append(
            cluster.call_operator_api("POST", "/v1/members", added, number=1)
        )
        return answers[-1][0] == HTTP_OK

    wait_until(is_accepted, f"control-3 is added: {answers}")
    wait_until(
        lambda: members_of(cluster, 3).get("control-3", {}).get("voter", False),
        "control-3 votes",
    )


def test_operators_connect_over_tls_with_the_key(tmp_path: Path) -> None:
    """Guards against a listener that ignores its certificate or the key."""
    cluster = ProcessCluster(folder=tmp_path, layout=DATA_CENTRES[:1])
    certificate = ROOT / "testing" / "support" / "tls" / "control.pem"
    try:
        cluster.start_control(
            tls_certificate_file=str(certificate),
            tls_key_file=str(certificate.with_suffix(".key")),
        )
        context = ssl.create_default_context(cafile=str(certificate))
        context.check_hostname = False
        request = Request(
            f"https://{cluster.control_host}:{OPERATOR_PORT}/v1/members",
            headers={"authorization": f"Bearer {KEY}"},
        )
        with urlopen(request, timeout=20, context=context) as answer:
            assert answer.status == HTTP_OK
        assert cluster.call_operator_api("GET", "/v1/members")[0] == 0
    finally:
        cluster.close()
