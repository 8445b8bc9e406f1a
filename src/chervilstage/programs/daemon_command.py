"""Command-line options and startup shared by the daemons."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from ..errors import ChervilstageError
from ..transport.application import Application
from .running import EXIT_SETTINGS, log_error_and_exit, run_daemon

SettingsArgument = Annotated[Path, typer.Argument(help="Settings file in TOML.")]
CheckOption = Annotated[
    bool, typer.Option("--check", help="Check the settings and exit.")
]


class Daemon(NamedTuple):
    """A daemon with valid settings; ``build`` must run inside the event loop."""

    build: Callable[[], Application]
    log_level: str


def run_command(
    read_daemon: Callable[[Path], Daemon], settings_file: Path, *, check_only: bool
) -> None:
    """Read the settings of a daemon and run it, or exit with a typed error.

    :param check_only: whether to return after reading the settings.
    """
    try:
        daemon = read_daemon(settings_file)
    except ChervilstageError as error:
        log_error_and_exit(error, EXIT_SETTINGS)
    if not check_only:
        run_daemon(daemon.build, daemon.log_level)
