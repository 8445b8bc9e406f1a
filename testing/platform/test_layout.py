"""Location and limits of the platform adapter."""

from __future__ import annotations

import json
import platform
import re
from pathlib import Path

import chervilstage

ROOT = Path(chervilstage.__file__).parent
WIRE_NAME = re.compile(r'"([A-Z][a-z]+(?:[A-Z][a-z]*)+)"')
MAX_ADAPTER_LINES = 900


def test_standard_library_module_is_not_shadowed() -> None:
    """Guards against ``chervilstage.platform`` shadowing the module ``platform``."""
    assert Path(platform.__file__).parent == Path(json.__file__).parent.parent


def test_wire_names_stay_in_the_adapter() -> None:
    """Guards against decisions that depend on one platform's names."""
    names = {
        name
        for path in (ROOT / "platform").glob("*.py")
        for name in WIRE_NAME.findall(path.read_text())
    }
    assert {"HeartbeatIntervalMs", "PathPrefix", "ColdRemainingMs"} <= names
    outside = [
        f"{path}: {name}"
        for path in ROOT.rglob("*.py")
        if (ROOT / "platform") not in path.parents
        for name in names
        if f'"{name}"' in path.read_text()
    ]
    assert outside == []


def test_adapter_stays_small() -> None:
    """Guards against decisions that move into the adapter."""
    lines = sum(
        path.read_text().count("\n") for path in (ROOT / "platform").glob("*.py")
    )
    assert lines < MAX_ADAPTER_LINES
