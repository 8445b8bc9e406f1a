"""The command line that the daemons share."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path
from typing import Annotated, NamedTuple

import typer

from ..errors import ChervilstageError
from ..transport.application import Application
from .running import EXIT_SETTINGS, exit_with, run_daemon

SettingsArgument = Annotated[Path, typer.Argument(help="Settings file in TOML.")]
CheckOption = Annotated[
    bool, typer.Option("--check", help="Check the settings and exit.")
]


class Daemon(NamedTuple):
    """A daemon whose settings have been read; ``build`` needs the event loop."""

    build: Callable[[], Application]
    log_level: str


def run_command(
    read: Callable[[Path], Daemon], settings: Path, *, check_only: bool
) -> None:
    """Read the settings of a daemon and run it, or exit with a typed error.

    :param check_only: whether to return once the settings have been read.
    """
    try:
        daemon = read(settings)
    except ChervilstageError as error:
        exit_with(error, EXIT_SETTINGS)
    if not check_only:
        run_daemon(daemon.build, daemon.log_level)
