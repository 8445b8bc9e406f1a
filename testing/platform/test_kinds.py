"""Traffic kinds in a configuration, with a real control daemon."""

from __future__ import annotations

import json
from pathlib import Path

from testing.support.platform_fleet import PlatformFleet
from testing.support.processes import wait_until

from .test_documents import CONFIGURATION, ROUTE, encode

KINDS = ("safe", "unsafe", "upload", "download", "another")


def test_a_configuration_with_every_kind_is_accepted_and_read_back(
    tmp_path: Path,
) -> None:
    """Guards against refusing all routes because of one unknown kind."""
    routes = [
        {**ROUTE, "Name": f"r-{kind}", "PathPrefix": f"/{8000 + number}/", "Kind": kind}
        for number, kind in enumerate(KINDS)
    ]
    table = encode({**CONFIGURATION, "Routes": routes})
    fleet = PlatformFleet(folder=tmp_path)
    try:
        control, entry = fleet.start("control"), fleet.start("entry")
        fleet.wait_until_accepted("/configuration/put", table)
        status, stored = fleet.send_call("GET", "/configuration/get", b"")
        assert (status, json.loads(stored)) == (200, json.loads(table))
        wait_until(
            lambda: entry.log_lines("configuration_in_force"),
            "the entry puts the table in force",
        )
        status, refusal = fleet.send_call("POST", "/configuration/put", table[:-9])
        assert status == 400
        assert b"no JSON at line 1" in refusal
        assert b"Error:" not in refusal
        assert control.log_lines("route_kinds_unknown")
    finally:
        fleet.close()
