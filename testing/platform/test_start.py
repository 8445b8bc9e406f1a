"""Startup of the daemons: imports, arguments and the check of the settings."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

import chervilstage

from .test_settings import DOCUMENT

SOURCE = Path(chervilstage.__file__).parent.parent
UNNEEDED_MODULES = {
    "entry": ("pydantic", "typer", "prometheus_client", "h11", "rich"),
    "control": ("pydantic", "typer", "rich"),
}


@pytest.mark.parametrize("role", UNNEEDED_MODULES)
def test_role_imports_only_what_it_needs(role: str) -> None:
    """Guards against a slow restart: flows wait while an entry imports libraries."""
    code = (
        f"import sys, chervilstage.platform.{role}, chervilstage.programs.running\n"
        f"print([m for m in {UNNEEDED_MODULES[role]!r} if m in sys.modules])"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert completed.stdout.strip() == "[]"


@pytest.mark.parametrize("arguments", [[], ["other"], ["entry", "control"]], ids=str)
def test_unknown_role_is_refused(arguments: list[str]) -> None:
    """Guards against starting a daemon for a misspelt role in the deploy file."""
    completed = subprocess.run(
        [sys.executable, "-m", "chervilstage.platform", *arguments],
        env={**os.environ, "PYTHONPATH": str(SOURCE)},
        capture_output=True,
        text=True,
    )
    assert completed.returncode == 1
    assert "usage:" in completed.stderr


@pytest.mark.parametrize(("content", "status"), [("{}", 2), (None, 2), ("good", 0)])
def test_check_reads_the_settings_and_exits(
    tmp_path: Path, content: str | None, status: int
) -> None:
    """Guards against invalid settings that are found only at the next start."""
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(json.dumps(DOCUMENT) if content == "good" else content)
    completed = subprocess.run(
        [sys.executable, "-m", "chervilstage.platform", "entry", "--check"],
        env={
            **os.environ,
            "PYTHONPATH": str(SOURCE),
            "CHERVILSTAGE_NODE_FILE": str(path),
        },
        capture_output=True,
        text=True,
    )
    assert completed.returncode == status
    assert ("event=failed code=CS-SETTINGS" in completed.stdout) == bool(status)
