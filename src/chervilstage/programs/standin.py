"""``chervilstage-standin``: a stand-in upstream for tests and the demo."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Annotated

import typer

from ..state.standin import StandinState
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
        list[str],
        typer.Option(help="HOST:PORT of an entry to announce to; repeatable."),
    ],
    slots: Annotated[int, typer.Option(help="Requests that run concurrently.")] = 4,
    work_ms: Annotated[float, typer.Option(help="Duration of a request.")] = 5.0,
    cold: Annotated[
        bool, typer.Option(help="Start with a capacity of one request.")
    ] = False,
    warm_successes: Annotated[
        int, typer.Option(help="Successful requests before the capacity doubles.")
    ] = 5,
    control_port: Annotated[
        int, typer.Option(help="Port for fault commands and counters; 0 for none.")
    ] = 0,
    linger_seconds: Annotated[
        float, typer.Option(help="Time that a stop waits for open flows and feeds.")
    ] = 0.0,
    counters_file: Annotated[
        Path | None, typer.Option(help="File to write the counters to on exit.")
    ] = None,
) -> None:
    """Run a stand-in upstream that announces itself to the entries."""
    entries = [parse_address(text) for text in entry]

    def build() -> Application:
        """Return the application of the stand-in."""
        application = Application(name=f"standin-{service}")
        server = StandinServer(
            host=host,
            service=service,
            data_centre=data_centre,
            incarnation=time.time_ns() // 1_000_000,
            state=StandinState(slots=slots, cold=cold, warm_successes=warm_successes),
            work_seconds=work_ms / 1000,
            entries=entries,
            control_port=control_port,
            linger_seconds=linger_seconds,
            counters_file=counters_file,
        )
        application.add(server.hooks())
        return application

    run_daemon(build, "info")


if __name__ == "__main__":
    app()
