"""Flows stay in their data centre and spill over where it does not suffice."""

from __future__ import annotations

from random import Random

import pytest

from chervilstage.coordination.locality import EXPLORING_SHARE, prefers_own
from testing.support.placement_play import Load, Outcome, PlacementPlay
from testing.support.token_relays import RelayDriver, make_record

CENTRES = ("gl-erie", "gl-huron", "gl-superior")
SECONDS = 10.0
# The objective of a request that takes 55 ms of a slot.
OBJECTIVE_SECONDS = 0.25
# 10.4 of 16 slots of each data centre, or of 48, are busy.
EVEN = Load(
    upstreams=dict.fromkeys(CENTRES, 8), rates=dict.fromkeys(CENTRES, 190.0), entries=4
)
# 27 of 48 slots are busy; the callers of one data centre would need more than its own.
UNEVEN = EVEN._replace(rates={"gl-erie": 400.0, "gl-huron": 45.0, "gl-superior": 45.0})
SEEDS = (1, 2)


def play(load: Load, seed: int, *, prefers_own: bool = True) -> Outcome:
    """Return what becomes of the requests of a load."""
    return PlacementPlay(load=load, seed=seed, prefers_own=prefers_own).play(SECONDS)


@pytest.mark.parametrize("seed", SEEDS)
def test_even_traffic_stays_in_its_data_centre(seed: int) -> None:
    """Guards against flows that a partition cuts although they need not cross it."""
    load = EVEN._replace(rates=dict.fromkeys(CENTRES, 90.0))
    outcome = play(load, seed)
    assert outcome.away_share() < 2 * EXPLORING_SHARE
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.999


@pytest.mark.parametrize("seed", SEEDS)
def test_a_data_centre_that_is_cut_off_serves_its_callers(seed: int) -> None:
    """Guards against callers on both sides who wait for upstreams beyond the cut."""
    load = EVEN._replace(
        rates=dict.fromkeys(CENTRES, 90.0), cut=frozenset({"gl-huron"})
    )
    outcome = play(load, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.98
    before = play(load, seed, prefers_own=False)
    assert before.answered_within(OBJECTIVE_SECONDS) < 0.9


@pytest.mark.parametrize("seed", SEEDS)
def test_traffic_beyond_the_slots_of_a_data_centre_spills_over(seed: int) -> None:
    """Guards against callers who wait while upstreams elsewhere are idle."""
    outcome = play(UNEVEN, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_high_even_traffic_is_served_as_well_as_without_a_preference(seed: int) -> None:
    """Guards against queues in one data centre beside idle slots in another one."""
    kept = play(EVEN, seed)
    spread = play(EVEN, seed, prefers_own=False)
    within = OBJECTIVE_SECONDS
    assert kept.answered_within(within) > spread.answered_within(within) - 0.005
    assert kept.failed <= spread.failed


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("own", [1, 2])
def test_few_upstreams_in_a_data_centre_get_no_more_than_they_bear(
    seed: int, own: int
) -> None:
    """Guards against the whole traffic of a data centre at its only upstream."""
    upstreams = {"gl-erie": own, "gl-huron": 10, "gl-superior": 10}
    load = EVEN._replace(rates=dict.fromkeys(CENTRES, 90.0), upstreams=upstreams)
    outcome = play(load, seed)
    assert outcome.failed == 0
    assert outcome.answered_within(OBJECTIVE_SECONDS) > 0.99


@pytest.mark.parametrize("seed", SEEDS)
def test_flows_leave_a_data_centre_whose_upstreams_are_all_slow(seed: int) -> None:
    """Guards against a comparison of slow upstreams with slow ones only."""
    load = EVEN._replace(
        rates=dict.fromkeys(CENTRES, 60.0), slow=frozenset({"gl-erie"})
    )
    kept = play(load, seed)
    spread = play(load, seed, prefers_own=False)
    within = OBJECTIVE_SECONDS
    assert kept.answered_within(within) > spread.answered_within(within)
    assert kept.away_share() > 0.2


def test_an_entry_without_a_data_centre_has_no_preference() -> None:
    """Guards against a preference for upstreams that tell no data centre."""
    driver = RelayDriver(records=[make_record(1, data_centre="")])
    records = driver.state.eligible["alley-desk"]
    assert not any(prefers_own(driver.state, records, Random(1)) for _ in range(50))
