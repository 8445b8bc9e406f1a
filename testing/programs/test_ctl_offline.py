"""The operators' client without a control replica."""

from __future__ import annotations

from pathlib import Path

from typer.testing import CliRunner

from chervilstage.programs.ctl import app

runner = CliRunner()

INVENTORY = """
[[data_centres]]
name = "gl-erie"

[[services]]
name = "alley-desk"
data_centres = ["gl-erie"]
udp_port = 7001
tcp_port = 8001
"""


def write_files(folder: Path, inventory: str, rules: str) -> list[str]:
    """Write both files and return their paths."""
    (folder / "inventory.toml").write_text(inventory)
    (folder / "rules.toml").write_text(rules)
    return [str(folder / "inventory.toml"), str(folder / "rules.toml")]


def test_check_accepts_valid_files(tmp_path: Path) -> None:
    """Guards against a check that refuses files that can be applied."""
    paths = write_files(tmp_path, INVENTORY, 'out = ["gl-erie"]')
    result = runner.invoke(app, ["check", *paths])
    assert result.exit_code == 0, result.output


def test_check_reports_the_problems_of_both_files_at_once(tmp_path: Path) -> None:
    """Guards against operators who have to fix one problem per run."""
    inventory = INVENTORY + '[[data_centres]]\nname = "gl-erie"\nregion = 5\n'
    rules = '[[services]]\nservice = "alley-desk"\nretry_budget = "all"\nx = 1\n'
    result = runner.invoke(app, ["check", *write_files(tmp_path, inventory, rules)])
    assert result.exit_code == 2
    for part in (
        "inventory.toml: data_centres.1.region",
        "inventory.toml: data_centres.name: gl-erie appears 2 times",
        "rules.toml: services.0.retry_budget",
        "rules.toml: services.0.x",
    ):
        assert part in result.output


def test_check_reports_names_that_refer_to_nothing(tmp_path: Path) -> None:
    """Guards against rules for a data centre or service that does not exist."""
    rules = 'out = ["gl-huron"]\n[[services]]\nservice = "ledger"\n'
    result = runner.invoke(app, ["check", *write_files(tmp_path, INVENTORY, rules)])
    assert result.exit_code == 2
    assert "rules.out: unknown data centre gl-huron" in result.output
    assert "rules.services: unknown service ledger" in result.output


def test_syntax_error_names_file_and_line(tmp_path: Path) -> None:
    """Guards against a syntax error without its location."""
    result = runner.invoke(app, ["check", *write_files(tmp_path, "a = 1\nb = = 2", "")])
    assert result.exit_code == 2
    assert "CS-SETTINGS-002" in result.output
    assert "line 2" in result.output


def test_unreachable_control_has_its_own_exit_code(tmp_path: Path) -> None:
    """Guards against scripts that mistake an unreachable replica for a refusal."""
    key = tmp_path / "key"
    key.write_text("k" * 32)
    arguments = ["--control", "127.0.0.1:1", "--key-file", str(key)]
    result = runner.invoke(app, ["show", *arguments])
    assert result.exit_code == 5
    assert "CS-ACCESS-005" in result.output


def test_address_without_port_is_invalid_input(tmp_path: Path) -> None:
    """Guards against a traceback for a mistyped address."""
    key = tmp_path / "key"
    key.write_text("k" * 32)
    arguments = ["--control", "localhost", "--key-file", str(key)]
    assert runner.invoke(app, ["show", *arguments]).exit_code == 2
