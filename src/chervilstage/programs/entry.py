"""``chervilstage-entry``: the daemon on every entry VM."""

from __future__ import annotations

from pathlib import Path

import typer

from ..protocol.settings import read_entry_settings, read_key
from ..transport.entry_daemon import build_entry
from .daemon_command import CheckOption, Daemon, SettingsArgument, run_command

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(settings: SettingsArgument, check: CheckOption = False) -> None:
    """Run an entry, which accepts callers' traffic and forwards it to upstreams."""
    run_command(read_daemon, settings, check_only=check)


def read_daemon(settings_file: Path) -> Daemon:
    """Read the settings file of an entry.

    :raises ChervilstageError: the settings or the key are invalid.
    """
    entry_settings = read_entry_settings(settings_file)
    key = read_key(settings_file, entry_settings["key_file"])
    return Daemon(
        build=lambda: build_entry(entry_settings, key),
        log_level=entry_settings.get("log_level", "info"),
    )


if __name__ == "__main__":
    app()
