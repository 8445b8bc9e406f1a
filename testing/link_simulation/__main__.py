"""Prints and plots the results of rising loads on low-capacity links.

``python -m testing.link_simulation [--seeds N ...] [--entries N] [--plot FILE.svg]``
simulates entries that send immediately, entries that pace to the rate of their link,
and entries that pace and also limit the admitted requests.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from pathlib import Path
from statistics import mean
from typing import NamedTuple

from .runner import BOOKING, UPLOAD, Conditions, Outcome, RequestKind, run_seed

LOADS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)
VARIANTS = {
    "at once": Conditions(load=0.0, is_paced=False, is_limited=False),
    "paced": Conditions(load=0.0, is_limited=False),
    "paced and limited": Conditions(load=0.0),
}


class Point(NamedTuple):
    """Means of several seeds at one load: shares, and ``lost`` in datagrams."""

    load: float
    offered: float
    goodput: float
    uploads_in_time: float
    bookings_in_time: float
    uploads_failed: float
    lost: float


def mean_point(load: float, outcomes: Sequence[Outcome]) -> Point:
    """Return the means of the outcomes of one load."""

    def mean_share_in_time(kind: RequestKind) -> float:
        """Return the mean share of a kind that was answered in time."""
        return mean(outcome.share_in_time(kind) for outcome in outcomes)

    failed = [
        mean(request.seconds is None for request in outcome.requests_of(UPLOAD))
        for outcome in outcomes
    ]
    return Point(
        load=load,
        offered=mean(outcome.offered() for outcome in outcomes),
        goodput=mean(outcome.goodput() for outcome in outcomes),
        uploads_in_time=mean_share_in_time(UPLOAD),
        bookings_in_time=mean_share_in_time(BOOKING),
        uploads_failed=mean(failed),
        lost=mean(outcome.lost for outcome in outcomes),
    )


def format_outcome(outcome: Outcome) -> str:
    """Return the figures of one outcome as a line."""
    carried = outcome.carried_bytes / outcome.conditions.capacity_bytes()
    upload, booking = (
        f"{outcome.share_in_time(kind):.3f} "
        f"p50={outcome.quantile(kind, 0.5):.2f} p99={outcome.quantile(kind, 0.99):.2f}"
        for kind in (UPLOAD, BOOKING)
    )
    return (
        f"load={outcome.conditions.load:.2f} offered={outcome.offered():.3f} "
        f"goodput={outcome.goodput():.3f} carried={carried:.3f} lost={outcome.lost} "
        f"uploads {upload} bookings {booking}"
    )


def plot(path: Path, curves: dict[str, list[Point]]) -> None:
    """Write a plot of goodput and of requests in time against the offered load."""
    from matplotlib.figure import Figure

    figure = Figure(figsize=(11, 4.5), layout="constrained")
    goodput_axes, in_time_axes = figure.subplots(1, 2)
    for name, points in curves.items():
        offered = [point.offered for point in points]
        (line,) = goodput_axes.plot(offered, [p.goodput for p in points], label=name)
        color = line.get_color()
        in_time_axes.plot(offered, [p.uploads_in_time for p in points], color=color)
        bookings = [p.bookings_in_time for p in points]
        in_time_axes.plot(offered, bookings, color=color, linestyle="--")
    goodput_axes.plot([0, 1], [0, 1], color="grey", linewidth=0.8, label="all in time")
    goodput_axes.set_ylabel("answered in time, share of the links")
    goodput_axes.legend(loc="upper left", fontsize=8)
    in_time_axes.set_ylabel("answered in time: uploads, bookings (dashed)")
    for axes in (goodput_axes, in_time_axes):
        axes.set_xlabel("offered, share of the links")
        axes.set_ylim(bottom=0.0)
    figure.savefig(path, format="svg")


def main() -> int:
    """Run the loads with the seeds given on the command line."""
    parser = argparse.ArgumentParser(prog="python -m testing.link_simulation")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--entries", type=int, default=8)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    curves: dict[str, list[Point]] = {}
    for name, variant in VARIANTS.items():
        for load in LOADS:
            conditions = variant._replace(load=load, entries=arguments.entries)
            outcomes = [run_seed(seed, conditions) for seed in arguments.seeds]
            point = mean_point(load, outcomes)
            curves.setdefault(name, []).append(point)
            fields = (f"{key}={value:.3f}" for key, value in point._asdict().items())
            print(f"{name}:", *fields, flush=True)
    if arguments.plot:
        plot(arguments.plot, curves)
    return 0


if __name__ == "__main__":
    sys.exit(main())
