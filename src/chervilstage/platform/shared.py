"""What the start programs of the platform share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..state.types import Address
from ..transport.application import Application
from ..transport.listed_seeds import ListedSeeds, follow_listed
from .settings import NodeSettings, read_settings

# The platform hands out no secret, so the tag of messages only tells ours from strays.
SHARED_KEY = b"chervilstage-platform"
# The ports of the deploy file, by role.
METRICS_PORTS = {"entry": 9464, "control": 9465}
# Left for the end of the process after its drain.
STOP_MARGIN_SECONDS = 1.0
REPLICA_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1


def make_application(settings: NodeSettings, started_at: float) -> Application:
    """Return the application of a daemon, bounded by the platform's time for a stop.

    :param started_at: when the process started, in seconds of the replica clock.
    """
    return Application(
        name=settings.name,
        drain_seconds=settings.stop_seconds - STOP_MARGIN_SECONDS,
        started_at=started_at,
    )


def entry_port(settings: NodeSettings) -> int:
    """Return the port of an entry for messages between our processes."""
    return settings.internal_port + ENTRY_PORT_OFFSET


def replica_addresses(settings: NodeSettings) -> list[Address]:
    """Return where the control replicas of the settings take frames."""
    return [replica_address(settings, seed) for seed in settings.seeds]


def replica_address(settings: NodeSettings, host: str) -> Address:
    """Return where the control replica of a host takes frames."""
    return Address(host=host, port=settings.internal_port + REPLICA_PORT_OFFSET)


def follow_seeds(settings: NodeSettings, path: Path) -> Callable[[], list[Address]]:
    """Return a function that says where the replicas of the settings file are by now.

    :param path: the settings file, which may change at any time.
    """

    def read() -> ListedSeeds:
        """Read the seeds of the file as it is now."""
        newest = read_settings(path)
        addresses = replica_addresses(newest)
        return ListedSeeds(addresses=addresses, unread=newest.unread_seeds)

    return follow_listed(replica_addresses(settings), read)
