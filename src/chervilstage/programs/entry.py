"""``chervilstage-entry``: the daemon on every entry VM."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from ..errors import ChervilstageError
from ..protocol.settings import read_entry_settings, read_key
from ..transport.entry_daemon import build_entry
from .running import EXIT_SETTINGS, exit_with, run_daemon

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Annotated[Path, typer.Argument(help="Settings file in TOML.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Run an entry: front ends for callers, choice of upstreams, peers."""
    try:
        loaded = read_entry_settings(settings)
        key = read_key(settings, loaded["key_file"])
    except ChervilstageError as error:
        exit_with(error, EXIT_SETTINGS)
    if check:
        return
    run_daemon(lambda: build_entry(loaded, key), loaded.get("log_level", "info"))


if __name__ == "__main__":
    app()
