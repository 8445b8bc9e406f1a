"""The operators' client against running processes."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from testing.support.cell import OPERATOR_PORT, Cell
from testing.support.processes import ROOT, wait_until

LAYOUT = ["gl-erie", "gl-huron"]
LAKESHORE = ROOT / "demo" / "lakeshore"
FILES = [str(LAKESHORE / "inventory.toml"), str(LAKESHORE / "rules.toml")]


@pytest.fixture(scope="module")
def cell(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cell]:
    """Start one control process, two entries and one upstream."""
    cell = Cell(folder=tmp_path_factory.mktemp("cell"), layout=LAYOUT)
    try:
        cell.start_all()
        cell.start_upstream("alley-desk", "gl-erie")
        cell.wait_registered("alley-desk", 1)
        yield cell
    finally:
        cell.close()


def read_json(cell: Cell, command: str, *arguments: str) -> Any:
    """Run a command with ``--json`` and return what it printed."""
    return json.loads(cell.ctl(command, *arguments, "--json"))


def run_failing(
    cell: Cell, key: Path, command: str, *arguments: str
) -> tuple[int, str]:
    """Run a command that should fail and return its exit code and error output."""
    control = f"{cell.control_host}:{OPERATOR_PORT}"
    completed = cell.processes.run(
        "ctl", command, *arguments, "--control", control, "--key-file", str(key)
    )
    return completed.returncode, completed.stderr


def test_status_names_each_entry_and_its_revision(cell: Cell) -> None:
    """Guards against a status that omits a VM."""

    def has_both_entries() -> bool:
        entries = read_json(cell, "status")["entries"]
        return [e["name"] for e in entries if e["reachable"]] == ["entry-1", "entry-2"]

    wait_until(has_both_entries, "both entries in the status")
    shown = cell.ctl("status")
    assert "entry-1" in shown
    assert "control-1" in shown


def test_resend_under_one_operation_id_gets_the_first_result(cell: Cell) -> None:
    """Guards against making a change twice after its answer was lost."""
    first = read_json(cell, "out", "gl-huron", "--operation-id", "take-huron-out")
    resent = read_json(cell, "out", "gl-huron", "--operation-id", "take-huron-out")
    assert first == resent
    cell.ctl("back", "gl-huron")


def test_change_from_an_old_revision_conflicts_and_names_the_winner(
    cell: Cell,
) -> None:
    """Guards against overwriting the change of another operator."""
    cell.ctl("out", "gl-huron", "--operator", "ada")
    arguments = ["apply", *FILES, "--from-revision", "1", "--operator", "bob"]
    status, errors = run_failing(cell, cell.key_file, *arguments)
    assert status == 4, errors
    assert "CS-CONFIG-001" in errors
    assert "ada" in errors
    cell.ctl("back", "gl-huron")


def test_unknown_data_centre_is_refused_and_in_the_audit_trail(cell: Cell) -> None:
    """Guards against an audit trail that omits refused changes."""
    status, errors = run_failing(
        cell, cell.key_file, "out", "gl-ontario", "--operator", "eve"
    )
    assert status == 3, errors
    assert "gl-ontario" in errors
    trail = read_json(cell, "audit", "--operator", "eve")
    assert [entry["code"] for entry in trail] == ["CS-CONFIG-002"]


def test_wrong_key_is_refused_with_its_own_exit_code(
    cell: Cell, tmp_path: Path
) -> None:
    """Guards against access without the operators' key."""
    key = tmp_path / "key"
    key.write_text("another-key-another-key-another-key")
    before = read_json(cell, "show")
    status, errors = run_failing(cell, key, "out", "gl-erie")
    assert status == 6, errors
    assert "CS-ACCESS-004" in errors
    assert read_json(cell, "show") == before
    assert cell.processes.started[0].lines("operator_call_refused")


def test_diff_of_the_applied_files_is_empty(cell: Cell) -> None:
    """Guards against a document that changes when it is applied and read back."""
    assert read_json(cell, "diff", *FILES)["differences"] == []


def test_explain_names_one_upstream_on_each_entry(cell: Cell) -> None:
    """Guards against entries that choose different upstreams for one flow."""

    def have_upstreams() -> bool:
        rows = read_json(cell, "explain", "alley-desk", "127.0.0.9:40000")
        return len(rows) == 2 and all(row.get("upstream") for row in rows)

    wait_until(have_upstreams, "an upstream on both entries")
    rows = read_json(cell, "explain", "alley-desk", "127.0.0.9:40000")
    assert rows[0]["upstream"] == rows[1]["upstream"]


def test_members_lists_the_replica(cell: Cell) -> None:
    """Guards against a command that is not connected to its call."""
    members = json.loads(cell.ctl("members", "list", "--json"))["members"]
    assert [(m["name"], m["voter"]) for m in members] == [("control-1", True)]
