"""``chervilstage-load``: the load and experiment tool."""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path
from typing import Annotated

import anyio
import typer

from ..errors import ChervilstageError
from ..errors.settings import FileUnreadableError
from ..protocol.load_plan import mark_line, read_marks, read_plan
from ..protocol.load_plot import plot_svg
from ..protocol.load_report import encode_load_report, read_load_report
from ..protocol.load_tables import print_report
from ..state.load_plan import Mark
from ..state.load_report import LoadReport, promises_held
from ..transport.event_log import configure_logging
from ..transport.load_runner import run_plan
from .running import EXIT_SETTINGS, exit_with

EXIT_BROKEN = 1

app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, no_args_is_help=True
)

Plot = Annotated[Path | None, typer.Option(help="Write an SVG plot over time here.")]


@app.command()
def run(
    plan: Annotated[Path, typer.Argument(help="Plan in TOML.")],
    out: Annotated[Path | None, typer.Option(help="Write the JSON here.")] = None,
    plot: Plot = None,
    quiet: Annotated[bool, typer.Option(help="Print no tables.")] = False,
) -> None:
    """Run a plan; exit with 1 where a promise broke and 2 on bad input."""
    configure_logging("info")
    try:
        report = anyio.run(partial(run_plan, read_plan(plan)))
    except ChervilstageError as error:
        exit_with(error, EXIT_SETTINGS)
    if out:
        write(out, encode_load_report(report))
    show(report, plot, quiet)


@app.command()
def report(
    file: Annotated[Path, typer.Argument(help="JSON report of a run.")],
    marks: Annotated[Path | None, typer.Option(help="Marks for the plot.")] = None,
    plot: Plot = None,
) -> None:
    """Print the tables of a report and plot it."""
    try:
        loaded = read_load_report(file)
        if marks:
            loaded = loaded._replace(marks=tuple(read_marks(marks)))
    except ChervilstageError as error:
        exit_with(error, EXIT_SETTINGS)
    show(loaded, plot, quiet=False)


@app.command()
def mark(
    file: Annotated[Path, typer.Argument(help="File of marks to append to.")],
    word: Annotated[str, typer.Argument(help="What happens, for example: out")],
    name: Annotated[str, typer.Argument(help="To what, for example: gl-erie")] = "",
) -> None:
    """Append a mark with the present time to a file."""
    line = mark_line(Mark(at=time.time(), word=word, name=name))
    try:
        with file.open("a", encoding="utf-8") as target:
            target.write(line)
    except OSError as error:
        exit_with(FileUnreadableError(file=file, reason=error), EXIT_SETTINGS)


def show(shown: LoadReport, plot: Path | None, quiet: bool) -> None:
    """Print and plot a report, and exit with its verdict."""
    if not quiet:
        print_report(shown)
    if plot:
        write(plot, plot_svg(shown))
    if not promises_held(shown):
        raise typer.Exit(EXIT_BROKEN)


def write(path: Path, content: bytes) -> None:
    """Write a file, or exit with a typed error."""
    try:
        path.write_bytes(content)
    except OSError as error:
        exit_with(FileUnreadableError(file=path, reason=error), EXIT_SETTINGS)


if __name__ == "__main__":
    app()
