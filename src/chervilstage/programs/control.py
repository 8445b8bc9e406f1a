"""``chervilstage-control``: the daemon that stores the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import typer

from ..protocol.settings import read_control_settings, read_key
from ..transport.control_daemon import build_control
from .daemon_command import CheckOption, Daemon, SettingsArgument, run_command

TLS_FILE_KEYS: tuple[Literal["tls_certificate_file", "tls_key_file"], ...] = (
    "tls_certificate_file",
    "tls_key_file",
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(settings: SettingsArgument, check: CheckOption = False) -> None:
    """Run a control replica, which stores the configuration and its audit trail."""
    run_command(read_daemon, settings, check_only=check)


def read_daemon(settings_file: Path) -> Daemon:
    """Read the settings file of a control replica; TLS paths are relative to it.

    :raises ChervilstageError: the settings or a key are invalid.
    """
    control_settings = read_control_settings(settings_file)
    key = read_key(settings_file, control_settings["key_file"])
    operator_key = read_key(settings_file, control_settings["operator_key_file"])
    for setting_name in TLS_FILE_KEYS:
        if setting_name in control_settings:
            control_settings[setting_name] = str(
                settings_file.parent / control_settings[setting_name]
            )
    return Daemon(
        build=lambda: build_control(control_settings, key, operator_key),
        log_level=control_settings.get("log_level", "info"),
    )


if __name__ == "__main__":
    app()
