"""``chervilstage-control``: the daemon that keeps the configuration."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

import typer

from ..errors import ChervilstageError
from ..protocol.settings import read_control_settings, read_key
from ..transport.control_daemon import build_control
from .running import EXIT_SETTINGS, exit_with, run_daemon

TLS_FILES: tuple[Literal["tls_certificate_file", "tls_key_file"], ...] = (
    "tls_certificate_file",
    "tls_key_file",
)

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    settings: Annotated[Path, typer.Argument(help="Settings file in TOML.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings and exit.")
    ] = False,
) -> None:
    """Run a control replica: the durable configuration and its audit trail."""
    try:
        loaded = read_control_settings(settings)
        key = read_key(settings, loaded["key_file"])
        operator_key = read_key(settings, loaded["operator_key_file"])
        for name in TLS_FILES:
            if name in loaded:
                loaded[name] = str(settings.parent / loaded[name])
    except ChervilstageError as error:
        exit_with(error, EXIT_SETTINGS)
    if check:
        return
    run_daemon(
        lambda: build_control(loaded, key, operator_key),
        loaded.get("log_level", "info"),
    )


if __name__ == "__main__":
    app()
