"""The operators' client against running processes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from testing.support.process_cluster import OPERATOR_PORT, ProcessCluster
from testing.support.processes import ROOT, wait_until

LAYOUT = ["gl-erie", "gl-huron"]
LAKESHORE = ROOT / "demo" / "lakeshore"
FILES = [str(LAKESHORE / "inventory.toml"), str(LAKESHORE / "rules.toml")]


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProcessCluster]:
    """Start one control process, two entries and one upstream."""
    cluster = ProcessCluster(folder=tmp_path_factory.mktemp("cluster"), layout=LAYOUT)
    try:
        cluster.start_all()
        cluster.start_upstream("alley-desk", "gl-erie")
        cluster.wait_for_upstreams("alley-desk", 1)
        yield cluster
    finally:
        cluster.close()


def read_json(cluster: ProcessCluster, command: str, *arguments: str) -> Any:
    """Run a command with ``--json`` and return what it printed."""
    return json.loads(cluster.run_ctl(command, *arguments, "--json"))


def run_failing(
    cluster: ProcessCluster, key: Path, command: str, *arguments: str
) -> tuple[int, str]:
    """Run a command that should fail and return its exit code and error output."""
    control = f"{cluster.control_host}:{OPERATOR_PORT}"
    completed = cluster.processes.run(
        "ctl", command, *arguments, "--control", control, "--key-file", str(key)
    )
    return completed.returncode, completed.stderr


def test_status_names_each_entry_and_its_revision(cluster: ProcessCluster) -> None:
    """Guards against a status that omits a VM."""

    def has_both_entries() -> bool:
        entries = read_json(cluster, "status")["entries"]
        return [e["name"] for e in entries if e["reachable"]] == ["entry-1", "entry-2"]

    wait_until(has_both_entries, "both entries in the status")
    shown = cluster.run_ctl("status")
    assert "entry-1" in shown
    assert "control-1" in shown


def test_resend_under_one_operation_id_gets_the_first_result(
    cluster: ProcessCluster,
) -> None:
    """Guards against making a change twice after its answer was lost."""
    first = read_json(cluster, "out", "gl-huron", "--operation-id", "take-huron-out")
    resent = read_json(cluster, "out", "gl-huron", "--operation-id", "take-huron-out")
    assert first == resent
    cluster.run_ctl("back", "gl-huron")


def test_change_from_an_old_revision_conflicts_and_names_the_earlier_operator(
    cluster: ProcessCluster,
) -> None:
    """Guards against overwriting the change of another operator."""
    cluster.run_ctl("out", "gl-huron", "--operator", "ada")
    arguments = ["apply", *FILES, "--from-revision", "1", "--operator", "bob"]
    status, errors = run_failing(cluster, cluster.key_file, *arguments)
    assert status == 4, errors
    assert "CS-CONFIG-001" in errors
    assert "ada" in errors
    cluster.run_ctl("back", "gl-huron")


def test_unknown_data_centre_is_refused_and_in_the_audit_trail(
    cluster: ProcessCluster,
) -> None:
    """Guards against an audit trail that omits refused changes."""
    status, errors = run_failing(
        cluster, cluster.key_file, "out", "gl-ontario", "--operator", "eve"
    )
    assert status == 3, errors
    assert "gl-ontario" in errors
    trail = read_json(cluster, "audit", "--operator", "eve")
    assert [entry["code"] for entry in trail] == ["CS-CONFIG-002"]


def test_wrong_key_is_refused_with_its_own_exit_code(
    cluster: ProcessCluster, tmp_path: Path
) -> None:
    """Guards against access without the operators' key."""
    key = tmp_path / "key"
    key.write_text("another-key-another-key-another-key")
    before = read_json(cluster, "show")
    status, errors = run_failing(cluster, key, "out", "gl-erie")
    assert status == 6, errors
    assert "CS-ACCESS-004" in errors
    assert read_json(cluster, "show") == before
    assert cluster.processes.started[0].log_lines("operator_call_refused")


def test_diff_of_the_applied_files_is_empty(cluster: ProcessCluster) -> None:
    """Guards against a document that changes when it is applied and read back."""
    assert read_json(cluster, "diff", *FILES)["differences"] == []


def test_explain_names_one_upstream_on_each_entry(cluster: ProcessCluster) -> None:
    """Guards against entries that choose different upstreams for one flow."""

    def have_upstreams() -> bool:
        rows = read_json(cluster, "explain", "alley-desk", "127.0.0.9:40000")
        return len(rows) == 2 and all(row.get("upstream") for row in rows)

    wait_until(have_upstreams, "an upstream on both entries")
    rows = read_json(cluster, "explain", "alley-desk", "127.0.0.9:40000")
    assert rows[0]["upstream"] == rows[1]["upstream"]


def test_members_lists_the_replica(cluster: ProcessCluster) -> None:
    """Guards against a command that is not connected to its call."""
    members = json.loads(cluster.run_ctl("members", "list", "--json"))["members"]
    assert [(m["name"], m["voter"]) for m in members] == [("control-1", True)]
