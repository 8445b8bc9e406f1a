"""Tests of compare-and-set changes and the audit trail."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Contains, Equals

from chervilstage.coordination.configuration import (
    apply_change,
    check_resend,
    select_outcomes,
)
from chervilstage.errors.configuration import OperationReusedError
from chervilstage.state.applied import AppliedState
from chervilstage.state.configuration import (
    Change,
    ChangeOutcome,
    Configuration,
    DataCentre,
    Inventory,
)

INVENTORY = Inventory(
    data_centres=(DataCentre(name="gl-erie"), DataCentre(name="gl-huron"))
)


class ChangeTests(TestCase):
    """Guards against changes that are lost, applied twice or not reported."""

    def setUp(self) -> None:
        super().setUp()
        self.applied = AppliedState(
            configuration=Configuration(), outcomes=(), max_outcomes=3
        )
        self.submit("first", 0, inventory=INVENTORY)

    def submit(
        self,
        operation: str,
        base: int,
        *,
        out: frozenset[str] | None = None,
        inventory: Inventory | None = None,
        operator: str = "maria",
        at: float = 10.0,
    ) -> ChangeOutcome:
        """Apply a change."""
        change = Change(
            operation_id=operation,
            operator=operator,
            base_revision=base,
            inventory=inventory,
            out=out,
        )
        return apply_change(self.applied, change, at)

    def test_conflict_names_operator_difference_and_time_of_the_winner(self) -> None:
        self.submit("take-out", 1, out=frozenset({"gl-erie"}), operator="jo")
        outcome = self.submit("late", 1, out=frozenset({"gl-huron"}))
        self.assertThat(outcome.code, Equals("CS-CONFIG-001"))
        self.assertThat(outcome.message, Contains("by jo at 1970-01-01T00:00:10"))
        self.assertThat(outcome.message, Contains("out.gl-erie"))
        self.assertThat(self.applied.configuration.revision, Equals(2))

    def test_refused_change_is_in_the_audit_trail_with_its_difference(self) -> None:
        outcome = self.submit("wrong", 1, out=frozenset({"atlantis"}))
        self.assertThat(outcome.code, Equals("CS-CONFIG-002"))
        self.assertThat(outcome.difference, Contains("atlantis"))
        self.assertThat(self.applied.outcomes["wrong"], Equals(outcome))
        self.assertThat(outcome.revision_after, Equals(1))

    def test_resend_gets_the_first_outcome_and_changes_nothing(self) -> None:
        first = self.submit("take-out", 1, out=frozenset({"gl-erie"}))
        self.submit("back", 2, out=frozenset())
        again = self.submit("take-out", 1, out=frozenset({"gl-erie"}), at=99.0)
        self.assertThat(again, Equals(first))
        self.assertThat(self.applied.configuration.out, Equals(frozenset()))

    def test_operation_id_of_another_operator_is_refused(self) -> None:
        first = self.submit("take-out", 1, out=frozenset({"gl-erie"}))
        self.assertRaises(OperationReusedError, check_resend, first, "jo")

    def test_resend_after_its_outcome_was_dropped_is_not_applied_again(self) -> None:
        self.submit("take-out", 1, out=frozenset({"gl-erie"}))
        for base in range(2, 7):
            self.submit(f"back-{base}", base, out=frozenset())
        self.assertThat(len(self.applied.outcomes), Equals(3))
        outcome = self.submit("take-out", 1, out=frozenset({"gl-erie"}))
        self.assertThat(outcome.code, Equals("CS-CONFIG-001"))
        self.assertThat(self.applied.configuration.out, Equals(frozenset()))

    def test_audit_trail_can_be_filtered(self) -> None:
        self.submit("take-out", 1, out=frozenset({"gl-erie"}), operator="jo", at=20.0)
        self.submit("other", 2, out=frozenset({"gl-huron", "gl-erie"}), at=30.0)

        def select_ids(
            since: float = 0, until: float = 99, operator: str = "", centre: str = ""
        ) -> list[str]:
            outcomes = select_outcomes(
                self.applied.outcomes.values(),
                since=since,
                until=until,
                operator=operator,
                data_centre=centre,
            )
            return [outcome.operation_id for outcome in outcomes]

        self.assertThat(select_ids(operator="jo"), Equals(["take-out"]))
        self.assertThat(select_ids(since=25), Equals(["other"]))
        self.assertThat(select_ids(until=15), Equals(["first"]))
        self.assertThat(select_ids(centre="gl-huron"), Equals(["first", "other"]))
