"""The report of a load run as a plot over time."""

from __future__ import annotations

from io import BytesIO

from ..state.load_report import LoadReport


def plot_svg(report: LoadReport) -> bytes:
    """Return an SVG plot of the events per second, with a line at each mark."""
    # The plotting library is an extra of the package and slow to import.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 6))
    axes = figure.add_subplot()
    seconds = range(int(report.seconds) + 1)
    for name, counts in sorted(report.series.items()):
        axes.plot(seconds, [counts.get(s, 0) for s in seconds], label=name)
    for mark in report.marks:
        mark_seconds = mark.at - report.started_at
        axes.axvline(mark_seconds, color="grey", linestyle="--", linewidth=0.8)
        axes.annotate(
            f"{mark.word} {mark.name}",
            xy=(mark_seconds, 1.0),
            xycoords=("data", "axes fraction"),
            rotation=90,
            verticalalignment="top",
            fontsize=7,
        )
    axes.set_xlabel("seconds from the start of the run")
    axes.set_ylabel("events per second")
    axes.set_yscale("symlog")
    axes.legend(loc="lower right", fontsize=7)
    target = BytesIO()
    figure.savefig(target, format="svg")
    return target.getvalue()
