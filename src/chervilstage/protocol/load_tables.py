"""The report of a load run as text tables."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from rich.console import Console
from rich.table import Table

from ..state.load_report import LoadReport, Promise

WIDTH = 110


def print_report(report: LoadReport, console: Console | None = None) -> None:
    """Print the tables of a report.

    :param console: the console to print to; standard output if absent.
    """
    target = console or Console(width=WIDTH)
    for table in (
        _promise_table(report.promises),
        _request_table(report),
        _latency_table(report),
        _imbalance_table(report),
        _count_table(report),
    ):
        if table.row_count:
            target.print(table)
    for finding in report.findings:
        target.print(f"finding {finding}", markup=False)


def _promise_table(promises: Sequence[Promise]) -> Table:
    rows = [
        (p.name, _promise_result(p), str(p.violations), str(p.checked), p.detail)
        for p in promises
    ]
    headings = ("promise", "held", "violations", "checked", "detail")
    return _table("Promises", headings, rows)


def _promise_result(promise: Promise) -> str:
    if promise.violations:
        return "NO"
    return "yes" if promise.checked else "not tested"


def _request_table(report: LoadReport) -> Table:
    rows = [
        (
            item.load,
            item.home,
            str(item.due),
            str(item.in_time),
            f"{item.in_time / item.due:.4%}" if item.due else "-",
            " ".join(f"{k}={v}" for k, v in sorted(item.outcomes.items())),
        )
        for item in report.requests
    ]
    headings = ("load", "first asked in", "due", "in time", "share", "outcomes")
    return _table("Requests", headings, rows)


def _latency_table(report: LoadReport) -> Table:
    rows = [
        (
            item.name,
            str(item.samples),
            *(
                f"{value:.1f}"
                for value in (item.p50, item.p90, item.p99, item.p999, item.maximum)
            ),
        )
        for item in report.latencies
    ]
    headings = ("latency in ms", "samples", "p50", "p90", "p99", "p99.9", "max")
    return _table("Latency", headings, rows)


def _imbalance_table(report: LoadReport) -> Table:
    rows = [
        (item.service, item.what, str(item.upstreams), f"{item.ratio:.2f}")
        for item in report.imbalances
    ]
    headings = ("service", "of", "upstreams", "busiest over mean")
    return _table("Imbalance", headings, rows)


def _count_table(report: LoadReport) -> Table:
    broken = {f"broken flows: {k}": v for k, v in report.broken_flows.items()}
    counts = {**report.counts, **broken}
    rows = [(name, str(value)) for name, value in counts.items() if value]
    return _table("Counts", ("what", "count"), rows)


def _table(title: str, headings: Sequence[str], rows: Iterable[Sequence[str]]) -> Table:
    table = Table(title=title, title_justify="left")
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*row)
    return table
