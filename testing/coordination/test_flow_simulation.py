"""Open flows in random simulations.

A simulation varies the entries, the upstreams, the arrival of updates and the rotation.
As in the FLOW rule, flows whose upstream has died and flows whose route a
configuration removes are not counted.
"""

from __future__ import annotations

from testtools import TestCase
from testtools.content import text_content
from testtools.matchers import Equals, GreaterThan

from testing.flow_simulation.runner import (
    draw_conditions,
    format_result,
    run_seed,
    run_seeds,
)

# The seeds from 16 on found faults that have been fixed.
SEEDS = (
    *range(1, 11),
    *(16, 18, 19, 35, 55, 65, 67, 109, 114, 124),
    *(1020, 1076, 1090, 1106, 2001, 2104, 3140),
)
# An opening packet is delayed on its path and arrives after its copy opened the flow.
LATE_OPENING_SEEDS = (1089, 1109, 1210, 2249)
LATER_DATA_SEEDS = (1366715304,)
# An entry learns of the removal of a route after the route has been added again.
QUICK_ROUTE_SEEDS = (18, 19, 47, 51, 60)
QUICK_ROUTE_GAP_SECONDS = 0.5


class FlowSimulationTests(TestCase):
    """Simulations with fixed seeds."""

    def test_no_open_flow_of_a_living_upstream_is_reset_or_moved(self) -> None:
        """Guards against violations of the FLOW rule that no other test covers."""
        result = run_seeds(SEEDS)
        self.addDetail("simulations", text_content(format_result(result)))
        self.assertThat(result.counts["opened"], GreaterThan(100 * len(SEEDS)))
        self.assertThat(result.findings, Equals(()))

    def test_an_opening_packet_that_is_late_on_its_path_breaks_no_open_flow(
        self,
    ) -> None:
        """Guards against opening a flow again that a copy has opened elsewhere."""
        result = run_seeds(LATE_OPENING_SEEDS)
        self.addDetail("simulations", text_content(format_result(result)))
        self.assertThat(result.findings, Equals(()))

    def test_later_data_after_a_late_opening_packet_reaches_no_other_upstream(
        self,
    ) -> None:
        """Guards against treating later data as data that has overtaken the first."""
        result = run_seeds(LATER_DATA_SEEDS)
        self.addDetail("simulations", text_content(format_result(result)))
        self.assertThat(result.findings, Equals(()))

    def test_a_route_that_is_added_again_at_once_keeps_its_new_flows(self) -> None:
        """Guards against resets by an entry whose routing table is two versions old."""
        for seed in QUICK_ROUTE_SEEDS:
            conditions = draw_conditions(seed)._replace(
                delayed=0.0, route_gap_seconds=QUICK_ROUTE_GAP_SECONDS
            )
            self.assertThat(run_seed(seed, conditions).findings, Equals([]))

    def test_a_seed_gives_the_same_result_each_time(self) -> None:
        """Guards against findings that cannot be reproduced."""
        first, again = run_seed(7), run_seed(7)
        self.assertThat(again.counts, Equals(first.counts))
