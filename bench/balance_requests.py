"""Measure how evenly four entries load seven equal upstreams.

Requests arrive at random at each entry, at half and at four fifths of what the
upstreams bear, with 4 and with 2 slots. The figure is the busiest upstream over the
mean, in flight averaged over 10 s of simulated time, the worst of all cases.
"""

from __future__ import annotations

from collections.abc import Iterator

from testing.support.upstream_fakes import STEP_SECONDS, FakeGroup, record_of
from testing.support.upstream_load import FakeLoad, Pick

from .figures import Figure
from .upstream_baselines import picks

UPSTREAMS = 7
SLOTS = (4, 2)
LOADS = (0.5, 0.8)
SEEDS = range(4)
WORK_SECONDS = (0.2, 0.6)
# Half load until the ramp has ended and its backlog is gone.
WARM_LOAD = 0.5
WARM_SECONDS = 20.0
SETTLE_SECONDS = 5.0
AVERAGED_SECONDS = 10.0


def measure() -> Iterator[Figure]:
    """Yield the figure of the built choice and of the baselines."""
    for variant, pick in picks().items():
        worst = max(
            imbalance(pick, slots, load, seed)
            for slots in SLOTS
            for load in LOADS
            for seed in SEEDS
        )
        yield Figure(
            name="balance.requests", value=worst, how="decisions", variant=variant
        )


def imbalance(pick: Pick | None, slots: int, share: float, seed: int) -> float:
    """Return the busiest over the mean in one case."""
    group = FakeGroup(seed=seed)
    load = FakeLoad(group=group, work=WORK_SECONDS, pick=pick)
    group.run(1)
    for number in range(UPSTREAMS):
        # The upstreams are warm after their first request: the ramp is not measured.
        load.add(record_of(number, slots=slots)).step = 0
    full = UPSTREAMS * slots / (sum(WORK_SECONDS) / 2) / len(group.entries)
    load.rates = dict.fromkeys(group.entries, WARM_LOAD * full)
    load.run(WARM_SECONDS)
    load.rates = dict.fromkeys(group.entries, share * full)
    load.run(SETTLE_SECONDS)
    totals = dict.fromkeys(load.upstreams, 0)
    for _ in range(round(AVERAGED_SECONDS / STEP_SECONDS)):
        load.run(STEP_SECONDS)
        for key, upstream in load.upstreams.items():
            totals[key] += len(upstream.running)
    return max(totals.values()) * UPSTREAMS / sum(totals.values())
