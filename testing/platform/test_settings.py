"""The platform's settings file."""

from __future__ import annotations

import json
from math import inf
from pathlib import Path
from typing import Any

import pytest

from chervilstage.errors.settings import DocumentError, FileUnreadableError
from chervilstage.platform.settings import read_settings
from chervilstage.platform.shared import (
    entry_port,
    follow_seeds,
    replica_addresses,
)
from chervilstage.state.types import Address

DOCUMENT: dict[str, Any] = {
    "NodeName": "front-gl-erie-1",
    "Zone": "gl-erie",
    "Zones": {"gl-erie": "great-lakes", "gl-huron": "great-lakes"},
    "IpAddress": "10.1.0.10",
    "InternalPorts": [7720, 7735],
    "Seeds": ["10.1.0.12:8166", "10.2.0.41:8166"],
    "Bootstrap": True,
    "Tolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
    "Bounds": {"GraceS": 6},
    "HeartbeatIntervalMs": 1200,
    "DataDirectory": None,
    "Listen": {"DatagramAddress": "10.1.0.10:8172", "Ready": "10.1.0.10:8167"},
    "Limits": {"CpuShare": 0.236, "LinkMbps": 4.0, "DiskMb": 0},
    "SomethingNew": {"later": 1},
}
OPTIONAL_FIELDS = {"SomethingNew", "Limits"}


def write_settings(folder: Path, document: object) -> Path:
    """Write a settings file."""
    path = folder / "settings.json"
    path.write_text(json.dumps(document))
    return path


def test_settings_are_decoded(tmp_path: Path) -> None:
    """Guards against a field that is decoded with the wrong meaning."""
    settings = read_settings(write_settings(tmp_path, DOCUMENT))
    assert settings.data_centre == "gl-erie"
    assert settings.datagram_address == Address(host="10.1.0.10", port=8172)
    assert settings.control_address is None
    assert (settings.can_bootstrap, settings.tolerated_vms) == (True, 1)
    assert (settings.stop_seconds, settings.announcement_seconds) == (6, 1.2)
    assert replica_addresses(settings) == [
        Address(host="10.1.0.12", port=7720),
        Address(host="10.2.0.41", port=7720),
    ]
    assert entry_port(settings) == 7721
    assert settings.link_bytes_per_second == 500_000


def test_link_without_a_rate_is_unlimited(tmp_path: Path) -> None:
    """Guards against an entry that does not start without a link rate."""
    for limits in ({}, {"LinkMbps": None}):
        settings = read_settings(
            write_settings(tmp_path, {**DOCUMENT, "Limits": limits})
        )
        assert settings.link_bytes_per_second == inf


@pytest.mark.parametrize("rate", [0, -1, "4", [], True, float("nan")])
def test_link_rate_that_is_not_a_positive_number_is_refused(
    tmp_path: Path, rate: object
) -> None:
    """Guards against an entry that sends nothing, or crashes, on invalid settings."""
    document = {**DOCUMENT, "Limits": {"LinkMbps": rate}}
    with pytest.raises(DocumentError, match="LinkMbps"):
        read_settings(write_settings(tmp_path, document))


@pytest.mark.parametrize("key", [k for k in DOCUMENT if k not in OPTIONAL_FIELDS])
def test_missing_field_is_named_in_the_error(tmp_path: Path, key: str) -> None:
    """Guards against a process that starts with incomplete settings."""
    document = {k: v for k, v in DOCUMENT.items() if k != key}
    path = write_settings(tmp_path, document)
    if key == "DataDirectory":
        assert read_settings(path).data_folder == ""
        return
    with pytest.raises(DocumentError, match=key):
        read_settings(path)


def test_seeds_follow_the_file_and_survive_a_partial_write(tmp_path: Path) -> None:
    """Guards against a daemon that crashes while its settings file is written."""
    path = write_settings(tmp_path, DOCUMENT)
    current_replicas = follow_seeds(read_settings(path), path)
    write_settings(tmp_path, {**DOCUMENT, "Seeds": ["10.9.0.1:8166"]})
    changed = [Address(host="10.9.0.1", port=7720)]
    assert current_replicas() == changed
    path.write_text("{")
    assert current_replicas() == changed


def test_invalid_seed_does_not_hide_the_others(tmp_path: Path) -> None:
    """Guards against a daemon that finds no replica, or does not start."""
    for invalid in ("nowhere", "10.1.0.12:99999", "\ud800:1", "", 7, None, [[]]):
        seeds = [invalid, *DOCUMENT["Seeds"]]
        settings = read_settings(write_settings(tmp_path, {**DOCUMENT, "Seeds": seeds}))
        assert settings.seeds == ("10.1.0.12", "10.2.0.41")
        assert settings.unreadable_seeds == 1


INVALID_VALUES: list[dict[str, Any]] = [
    {"HeartbeatIntervalMs": "1200"},
    {"HeartbeatIntervalMs": 1e999},
    {"Bounds": {"GraceS": None}},
    {"Tolerance": {"Machines": 0.5}},
    {"InternalPorts": ["7720"]},
    {"InternalPorts": []},
    {"Listen": {"DatagramAddress": "10.1.0.10:99999"}},
]


@pytest.mark.parametrize("changes", INVALID_VALUES, ids=str)
def test_value_of_the_wrong_type_is_refused(
    tmp_path: Path, changes: dict[str, Any]
) -> None:
    """Guards against a daemon that crashes later on a value read at its start."""
    with pytest.raises(DocumentError):
        read_settings(write_settings(tmp_path, {**DOCUMENT, **changes}))


def test_deep_nesting_in_a_changed_file_keeps_the_known_seeds(tmp_path: Path) -> None:
    """Guards against a daemon that crashes when it reads its settings again."""
    path = write_settings(tmp_path, DOCUMENT)
    current_replicas = follow_seeds(read_settings(path), path)
    known = current_replicas()
    text = json.dumps(DOCUMENT)[:-1]
    path.write_text(text + ', "x": ' + "[" * 100_000 + "]" * 100_000 + "}")
    assert current_replicas() == known


def test_unreadable_settings_are_refused(tmp_path: Path) -> None:
    """Guards against a start with a settings file that is only partly written."""
    with pytest.raises(FileUnreadableError):
        read_settings(tmp_path / "missing")
    for content in ([], "x", 7, None, {**DOCUMENT, "Seeds": ["nowhere"]}):
        with pytest.raises(DocumentError):
            read_settings(write_settings(tmp_path, content))
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(DOCUMENT)[:-9])
    with pytest.raises(DocumentError):
        read_settings(path)
