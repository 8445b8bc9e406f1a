"""``chervilstage-standin``: a stand-in upstream for tests and the demo."""

from __future__ import annotations

import time
from typing import Annotated

import typer

from ..transport.application import Application
from ..transport.standin_server import StandinServer
from .addresses import parse_address
from .running import run_daemon

app = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


@app.command()
def main(
    host: Annotated[str, typer.Option(help="Address to listen on.")],
    service: Annotated[str, typer.Option(help="Service to announce.")],
    data_centre: Annotated[str, typer.Option(help="Data centre to announce.")],
    entry: Annotated[
        list[str], typer.Option(help="HOST:PORT for announcements; repeatable.")
    ],
    slots: Annotated[int, typer.Option(help="Requests run at once.")] = 4,
    work_ms: Annotated[float, typer.Option(help="Duration of a request.")] = 5.0,
) -> None:
    """Run a stand-in upstream that announces itself to the entries."""
    entries = [parse_address(text) for text in entry]

    def build() -> Application:
        application = Application(name=f"standin-{service}")
        server = StandinServer(
            host=host,
            service=service,
            data_centre=data_centre,
            incarnation=time.time_ns() // 1_000_000,
            slots=slots,
            work_seconds=work_ms / 1000,
            entries=entries,
        )
        application.add(server.hooks())
        return application

    run_daemon(build, "info")


if __name__ == "__main__":
    app()
