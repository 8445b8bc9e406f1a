"""Prints what callers get at rising loads on narrow links.

``python -m testing.link_simulation [--seed N] [--seconds N] [--plot FILE]``
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from .play import BOOKING, UPLOAD, Conditions, Outcome, play

LOADS = (0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0)


def describe(outcome: Outcome) -> str:
    """Return a line of figures."""
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


def main() -> int:
    """Play the loads of the command line."""
    parser = argparse.ArgumentParser(prog="python -m testing.link_simulation")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    outcomes = []
    for load in LOADS:
        conditions = Conditions(load=load, seconds=arguments.seconds)
        outcomes.append(play(arguments.seed, conditions))
        print(describe(outcomes[-1]), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
