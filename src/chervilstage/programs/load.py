"""``chervilstage-load``: generates load and checks the promises of the system."""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import typer

from ..errors import ChervilstageError
from ..errors.settings import FileUnreadableError
from ..protocol.load_plan import format_mark, read_marks, read_plan
from ..protocol.load_plot import plot_svg
from ..protocol.load_report import encode_load_report, read_load_report
from ..protocol.load_tables import print_report
from ..state.load_plan import Mark
from ..state.load_report import LoadReport, has_no_violations
from ..transport.event_log import configure_logging
from ..transport.load_runner import run_plan
from .running import EXIT_SETTINGS, log_error_and_exit

EXIT_PROMISE_BROKEN = 1

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, no_args_is_help=True
)

PlotOption = Annotated[
    Path | None, typer.Option(help="Write an SVG plot over time to this file.")
]


@app.command()
def run(
    plan: Annotated[Path, typer.Argument(help="Plan in TOML.")],
    out: Annotated[
        Path | None, typer.Option(help="Write the JSON report to this file.")
    ] = None,
    plot: PlotOption = None,
    quiet: Annotated[bool, typer.Option(help="Print no tables.")] = False,
) -> None:
    """Run a plan; exit with 1 if a promise was broken and with 2 on bad input."""
    configure_logging("info")
    try:
        report = anyio.run(partial(run_plan, read_plan(plan)))
    except ChervilstageError as error:
        log_error_and_exit(error, EXIT_SETTINGS)
    if out:
        write_file(out, encode_load_report(report))
    show_report(report, plot, quiet)


@app.command()
def report(
    file: Annotated[Path, typer.Argument(help="JSON report of a run.")],
    marks: Annotated[
        Path | None, typer.Option(help="File of marks to show in the plot.")
    ] = None,
    plot: PlotOption = None,
) -> None:
    """Print the tables of a report and plot it."""
    try:
        loaded = read_load_report(file)
        if marks:
            loaded = loaded._replace(marks=tuple(read_marks(marks)))
    except ChervilstageError as error:
        log_error_and_exit(error, EXIT_SETTINGS)
    show_report(loaded, plot, quiet=False)


@app.command()
def mark(
    file: Annotated[Path, typer.Argument(help="File of marks to append to.")],
    word: Annotated[str, typer.Argument(help="Event, for example: out")],
    name: Annotated[
        str, typer.Argument(help="Subject of the event, for example: gl-erie")
    ] = "",
) -> None:
    """Append a mark, an event at the current time, to a file."""
    line = format_mark(Mark(at=time.time(), word=word, name=name))
    try:
        with file.open("a", encoding="utf-8") as stream:
            stream.write(line)
    except OSError as error:
        log_error_and_exit(FileUnreadableError(file=file, reason=error), EXIT_SETTINGS)


def show_report(load_report: LoadReport, plot: Path | None, quiet: bool) -> None:
    """Print and plot a report, and exit with an error if a promise was broken."""
    if not quiet:
        print_report(load_report)
    if plot:
        write_file(plot, plot_svg(load_report))
    if not has_no_violations(load_report):
        raise typer.Exit(EXIT_PROMISE_BROKEN)


def write_file(path: Path, content: bytes) -> None:
    """Write a file, or exit with a typed error."""
    try:
        path.write_bytes(content)
    except OSError as error:
        log_error_and_exit(FileUnreadableError(file=path, reason=error), EXIT_SETTINGS)


if __name__ == "__main__":
    app()
