"""Measure the goodput of entries on narrow links relative to the offered load."""

from __future__ import annotations

from collections.abc import Iterator
from statistics import mean

from testing.link_simulation.__main__ import VARIANTS
from testing.link_simulation.runner import Conditions, run_seed

from .figures import Figure

SEEDS = (1, 2, 3)
# The load that the users specify, two near the capacity of the links, one above it.
THIRD_LOAD = 1 / 3
LOADS_WITHIN_CAPACITY = (THIRD_LOAD, 0.8, 1.0)
OVERLOAD = 1.5


def goodput(variant: Conditions, load: float) -> float:
    """Return the mean goodput at a load, as a share of the link capacity."""
    outcomes = [run_seed(seed, variant._replace(load=load)) for seed in SEEDS]
    return mean(outcome.goodput() for outcome in outcomes)


def goodput_ratio(variant: Conditions, load: float) -> float:
    """Return the mean goodput at a load, as a share of the offered load."""
    outcomes = [run_seed(seed, variant._replace(load=load)) for seed in SEEDS]
    return mean(outcome.goodput() / outcome.offered() for outcome in outcomes)


def measure() -> Iterator[Figure]:
    """Yield the figures as implemented, and without pacing or admission limit."""
    for name, variant in reversed(VARIANTS.items()):
        variant_name = "" if variant.is_limited else name.replace(" ", "_")
        goodput_third = goodput_ratio(variant, THIRD_LOAD)
        max_goodput = max(goodput(variant, load) for load in LOADS_WITHIN_CAPACITY)
        goodput_kept = goodput(variant, OVERLOAD) / max_goodput
        for figure_name, value in (
            ("link.goodput_third", goodput_third),
            ("link.goodput_kept", goodput_kept),
        ):
            yield Figure(
                name=figure_name, value=value, how="decisions", variant=variant_name
            )
