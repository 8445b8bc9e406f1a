"""``chervilstage-control``: the daemon that keeps the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Literal

import typer

from ..protocol.settings import read_control_settings, read_key
from ..transport.control_daemon import build_control
from .daemon_command import CheckOption, Daemon, SettingsArgument, run_command

TLS_FILES: tuple[Literal["tls_certificate_file", "tls_key_file"], ...] = (
    "tls_certificate_file",
    "tls_key_file",
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(settings: SettingsArgument, check: CheckOption = False) -> None:
    """Run a control replica: the durable configuration and its audit trail."""
    run_command(read_daemon, settings, check_only=check)


def read_daemon(settings: Path) -> Daemon:
    """Return the control replica of a settings file.

    :raises ChervilstageError: the settings or a key are not usable.
    """
    loaded = read_control_settings(settings)
    key = read_key(settings, loaded["key_file"])
    operator_key = read_key(settings, loaded["operator_key_file"])
    for name in TLS_FILES:
        if name in loaded:
            loaded[name] = str(settings.parent / loaded[name])
    return Daemon(
        build=lambda: build_control(loaded, key, operator_key),
        log_level=loaded.get("log_level", "info"),
    )


if __name__ == "__main__":
    app()
