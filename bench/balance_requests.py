"""Measure how evenly four entries load seven equal upstreams.

Requests arrive at random at each entry, at 50 % and 80 % of the capacity of the
upstreams, with 4 and with 2 slots each. The figure is the ratio of the busiest upstream
to the mean, by requests in flight averaged over 10 s of simulated time; the largest
ratio of all cases counts.
"""

from __future__ import annotations

from collections.abc import Iterator

from testing.support.upstream_fakes import STEP_SECONDS, FakeGroup, make_announcement
from testing.support.upstream_load import ChooseUpstreamKey, FakeLoad

from .figures import Figure
from .upstream_baselines import selection_policies

UPSTREAM_COUNT = 7
SLOT_COUNTS = (4, 2)
LOAD_SHARES = (0.5, 0.8)
SEEDS = range(4)
WORK_SECONDS_RANGE = (0.2, 0.6)
# Half of the capacity until the ramp has ended and its backlog is served.
WARM_UP_LOAD_SHARE = 0.5
WARM_UP_SECONDS = 20.0
SETTLE_SECONDS = 5.0
AVERAGING_SECONDS = 10.0


def measure() -> Iterator[Figure]:
    """Yield the figure of the implemented selection and of the baselines."""
    for variant, pick in selection_policies().items():
        max_ratio = max(
            imbalance_ratio(pick, slots, offered_load, seed)
            for slots in SLOT_COUNTS
            for offered_load in LOAD_SHARES
            for seed in SEEDS
        )
        yield Figure(
            name="balance.requests", value=max_ratio, how="decisions", variant=variant
        )


def imbalance_ratio(
    pick: ChooseUpstreamKey | None, slots: int, load_share: float, seed: int
) -> float:
    """Return the ratio of the busiest upstream to the mean in one case."""
    group = FakeGroup(seed=seed)
    fake_load = FakeLoad(group=group, work_seconds_bounds=WORK_SECONDS_RANGE, pick=pick)
    group.run(1)
    for number in range(UPSTREAM_COUNT):
        # Upstreams are warm after their first request, since the ramp is not measured.
        fake_load.add(make_announcement(number, slots=slots)).step = 0
    entry_capacity = (
        UPSTREAM_COUNT * slots / (sum(WORK_SECONDS_RANGE) / 2) / len(group.entries)
    )
    fake_load.rates = dict.fromkeys(group.entries, WARM_UP_LOAD_SHARE * entry_capacity)
    fake_load.run(WARM_UP_SECONDS)
    fake_load.rates = dict.fromkeys(group.entries, load_share * entry_capacity)
    fake_load.run(SETTLE_SECONDS)
    in_flight_totals = dict.fromkeys(fake_load.upstreams, 0)
    for _ in range(round(AVERAGING_SECONDS / STEP_SECONDS)):
        fake_load.run(STEP_SECONDS)
        for key, upstream in fake_load.upstreams.items():
            in_flight_totals[key] += len(upstream.running)
    return (
        max(in_flight_totals.values()) * UPSTREAM_COUNT / sum(in_flight_totals.values())
    )
