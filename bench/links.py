"""What entries on narrow links answer in time, against what is offered."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import mean

from testing.link_simulation.__main__ import VARIANTS
from testing.link_simulation.play import Conditions, play

from .figures import Figure

SEEDS = (1, 2, 3)
# The load that the users name, two near the rate of the links, and one above it.
THIRD = 1 / 3
RISING_LOADS = (THIRD, 0.8, 1.0)
OVERLOAD = 1.5


def goodput(variant: Conditions, load: float) -> float:
    """Return what is answered in time at a load, as a share of the links."""
    outcomes = [play(seed, variant._replace(load=load)) for seed in SEEDS]
    return mean(outcome.goodput() for outcome in outcomes)


def goodput_ratio(variant: Conditions, load: float) -> float:
    """Return what is answered in time at a load, as a share of what is offered."""
    outcomes = [play(seed, variant._replace(load=load)) for seed in SEEDS]
    return mean(outcome.goodput() / outcome.offered() for outcome in outcomes)


def measure() -> Iterator[Figure]:
    """Yield the figures of entries as they are, and of those without pace or limit."""
    for name, variant in reversed(VARIANTS.items()):
        shown = "" if variant.is_limited else name.replace(" ", "_")
        third = goodput_ratio(variant, THIRD)
        best = max(goodput(variant, load) for load in RISING_LOADS)
        kept = goodput(variant, OVERLOAD) / best
        for figure, value in (
            ("link.goodput_third", third),
            ("link.goodput_kept", kept),
        ):
            yield Figure(name=figure, value=value, how="decisions", variant=shown)
