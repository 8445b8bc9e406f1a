"""Functions and constants shared by the daemons on the users' platform."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from ..state.types import Address
from ..transport.application import Application
from ..transport.listed_seeds import ListedSeeds, make_seed_reader
from .settings import NodeSettings, read_settings

# The platform provides no secret, so message tags only filter out foreign datagrams;
# they authenticate nothing.
SHARED_KEY = b"chervilstage-platform"
# Must match the ports in ``deploy/system.toml``.
METRICS_PORTS = {"entry": 9464, "control": 9465}
# Time between the end of the drain and SIGKILL, for the process to exit.
STOP_MARGIN_SECONDS = 1.0
REPLICA_PORT_OFFSET = 0
ENTRY_PORT_OFFSET = 1


def make_application(settings: NodeSettings, started_at: float) -> Application:
    """Return the application of a daemon, which drains within the platform's stop time.

    :param started_at: when the process started, in seconds of the replica clock.
    """
    return Application(
        name=settings.name,
        drain_seconds=settings.stop_seconds - STOP_MARGIN_SECONDS,
        started_at=started_at,
    )


def entry_port(settings: NodeSettings) -> int:
    """Return the port on which an entry receives messages from other processes."""
    return settings.internal_port + ENTRY_PORT_OFFSET


def replica_addresses(settings: NodeSettings) -> list[Address]:
    """Return the frame addresses of the control replicas in the settings."""
    return [replica_address(settings, seed) for seed in settings.seeds]


def replica_address(settings: NodeSettings, host: str) -> Address:
    """Return the frame address of the control replica on a host."""
    return Address(host=host, port=settings.internal_port + REPLICA_PORT_OFFSET)


def follow_seeds(settings: NodeSettings, path: Path) -> Callable[[], list[Address]]:
    """Return a function that returns the current replica addresses of a settings file.

    :param path: the settings file, which may change at any time.
    """

    def read_seeds() -> ListedSeeds:
        """Read the current seeds from the file."""
        latest = read_settings(path)
        seeds = replica_addresses(latest)
        return ListedSeeds(addresses=seeds, unreadable_count=latest.unreadable_seeds)

    return make_seed_reader(replica_addresses(settings), read_seeds)
