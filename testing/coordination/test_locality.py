"""Tests that flows stay in their data centre unless its capacity is too low."""

from __future__ import annotations

from random import Random

import pytest

from chervilstage.coordination.locality import (
    EXPLORATION_SHARE,
    prefers_own_data_centre,
)
from testing.support.placement_simulation import (
    LoadProfile,
    PlacementResult,
    PlacementSimulation,
)
from testing.support.token_relays import RelayDriver, make_record

CENTRES = ("gl-erie", "gl-huron", "gl-superior")
SECONDS = 10.0
# The latency objective of a request that occupies a slot for 55 ms.
OBJECTIVE_SECONDS = 0.25
# 10.4 of the 16 slots of each data centre are busy, and 31 of all 48.
EVEN = LoadProfile(
    upstreams=dict.fromkeys(CENTRES, 8), rates=dict.fromkeys(CENTRES, 190.0), entries=4
)
# 27 of 48 slots are busy; the callers of one data centre need more slots than it has.
UNEVEN = EVEN._replace(rates={"gl-erie": 400.0, "gl-huron": 45.0, "gl-superior": 45.0})
SEEDS = (1, 2)


def run_placement(
    load: LoadProfile, seed: int, *, prefers_own: bool = True
) -> PlacementResult:
    """Return the outcome of the requests of a load."""
    return PlacementSimulation(load=load, seed=seed, prefers_own=prefers_own).run(
        SECONDS
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_even_traffic_stays_in_its_data_centre(seed: int) -> None:
    """Guards against avoidable flows between data centres, which partitions break."""
    load = EVEN._replace(rates=dict.fromkeys(CENTRES, 90.0))
    outcome = run_placement(load, seed)
    assert outcome.remote_share() < 2 * EXPLORATION_SHARE
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.999


@pytest.mark.parametrize("seed", SEEDS)
def test_partitioned_data_centre_serves_its_callers(seed: int) -> None:
    """Guards against callers on both sides who wait for unreachable upstreams."""
    load = EVEN._replace(
        rates=dict.fromkeys(CENTRES, 90.0), cut=frozenset({"gl-huron"})
    )
    outcome = run_placement(load, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.98
    without = run_placement(load, seed, prefers_own=False)
    assert without.answered_within(OBJECTIVE_SECONDS) < 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_traffic_beyond_the_slots_of_a_data_centre_spills_over(seed: int) -> None:
    """Guards against callers who wait while upstreams elsewhere are idle."""
    outcome = run_placement(UNEVEN, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_preference_does_not_delay_high_even_traffic(seed: int) -> None:
    """Guards against queues in one data centre beside idle slots in another one."""
    with_preference = run_placement(EVEN, seed)
    without_preference = run_placement(EVEN, seed, prefers_own=False)
    within = OBJECTIVE_SECONDS
    assert (
        with_preference.answered_within(within)
        > without_preference.answered_within(within) - 0.005
    )
    assert with_preference.failed <= without_preference.failed


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("own", [1, 2])
def test_few_upstreams_in_a_data_centre_are_not_overloaded(seed: int, own: int) -> None:
    """Guards against sending all traffic of a data centre to its only upstream."""
    upstreams = {"gl-erie": own, "gl-huron": 10, "gl-superior": 10}
    load = EVEN._replace(rates=dict.fromkeys(CENTRES, 90.0), upstreams=upstreams)
    outcome = run_placement(load, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_flows_leave_a_data_centre_whose_upstreams_are_all_slow(seed: int) -> None:
    """Guards against comparing slow upstreams only with other slow ones."""
    load = EVEN._replace(
        rates=dict.fromkeys(CENTRES, 60.0), slow=frozenset({"gl-erie"})
    )
    with_preference = run_placement(load, seed)
    without_preference = run_placement(load, seed, prefers_own=False)
    within = OBJECTIVE_SECONDS
    assert with_preference.answered_within(within) > without_preference.answered_within(
        within
    )
    assert with_preference.remote_share() > 0.2


def test_entry_without_a_data_centre_has_no_preference() -> None:
    """Guards against a preference for upstreams that announce no data centre."""
    driver = RelayDriver(records=[make_record(1, data_centre="")])
    records = driver.state.eligible["alley-desk"]
    assert not any(
        prefers_own_data_centre(driver.state, records, Random(1)) for _ in range(50)
    )
