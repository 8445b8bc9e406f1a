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
    """Run an entry: front ends for callers, choice of upstreams, peers."""
    run_command(read_daemon, settings, check_only=check)


def read_daemon(settings: Path) -> Daemon:
    """Return the entry of a settings file.

    :raises ChervilstageError: the settings or the key are not usable.
    """
    loaded = read_entry_settings(settings)
    key = read_key(settings, loaded["key_file"])
    return Daemon(
        build=lambda: build_entry(loaded, key),
        log_level=loaded.get("log_level", "info"),
    )


if __name__ == "__main__":
    app()
