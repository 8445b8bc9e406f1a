"""Agreement between the deploy file and the code."""

from __future__ import annotations

import tomllib
from pathlib import Path

from chervilstage.platform.__main__ import ROLES
from chervilstage.platform.shared import METRICS_PORTS

ROOT = Path(__file__).parent.parent.parent
DEPLOY = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())


def test_each_role_starts_the_program_of_its_name() -> None:
    """Guards against a role that starts another program, or none."""
    assert set(DEPLOY["roles"]) == set(ROLES)
    for name, role in DEPLOY["roles"].items():
        assert role["run"].split()[-2:] == ["chervilstage.platform", name]


def test_metrics_ports_match_the_deploy_file() -> None:
    """Guards against metrics on a port that the monitoring does not read."""
    for name, role in DEPLOY["roles"].items():
        assert role["metrics"] == f"{METRICS_PORTS[name]}/metrics"


def test_build_installs_the_pinned_versions() -> None:
    """Guards against a build with other dependency versions than the tests."""
    script = (ROOT / "deploy" / "build.sh").read_text()
    assert DEPLOY["build"] == "sh deploy/build.sh"
    assert "-c constraints.txt" in script


def test_every_vm_with_a_disk_runs_a_replica() -> None:
    """Guards against too few replicas to survive the loss of two disks at once.

    Three replicas lost accepted changes when two disks were lost.
    """
    control = DEPLOY["roles"]["control"]
    assert control["on"] == "core"
    assert control["share"] == 1.0
    assert "count" not in control
