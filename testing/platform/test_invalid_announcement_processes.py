"""An invalid announcement among those of the targets, with real processes."""

from __future__ import annotations

from pathlib import Path

from testing.support.platform_fleet import PlatformFleet
from testing.support.processes import wait_until

from .test_documents import CONFIGURATION, HEARTBEAT, encode


def test_daemons_survive_an_invalid_announcement(
    tmp_path: Path,
) -> None:
    """Guards against replicas that crash one by one as each gets the announcement."""
    fleet = PlatformFleet(folder=tmp_path)
    try:
        control, entry = fleet.start("control"), fleet.start("entry")
        fleet.wait_until_accepted("/configuration/put", encode(CONFIGURATION))
        fleet.wait_until_accepted("/instances/i-1/heartbeat", encode(HEARTBEAT))
        invalid = {**HEARTBEAT, "Address": "10.128.0.66:8080", "Zone": "\ud800"}
        fleet.call("/instances/i-2/heartbeat", encode(invalid))
        later = encode({**HEARTBEAT, "Address": "10.128.0.10:8080"})

        def has_learned_of_later_target() -> bool:
            """Return whether the entry has learned of a later target."""
            fleet.call("/instances/i-3/heartbeat", later)
            lines = entry.log_lines("upstream_changed")
            return any("upstream=10.128.0.10:8080" in line for line in lines)

        wait_until(
            lambda: (
                control.has_ended()
                or entry.has_ended()
                or has_learned_of_later_target()
            ),
            "the entry learns of a later target",
        )
        assert not control.has_ended(), control.log.read_text()
        assert not entry.has_ended(), entry.log.read_text()
    finally:
        fleet.close()
