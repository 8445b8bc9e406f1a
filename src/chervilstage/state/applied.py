"""The state that results from the committed entries of the log."""

from __future__ import annotations

from collections.abc import Iterable

from .configuration import ChangeOutcome, Configuration


class AppliedState:
    """The configuration in force and the outcomes of past changes, oldest first.

    :param max_outcomes: the maximum number of outcomes to retain. The change of a
        dropped outcome was based on a superseded revision, so if it is sent again it
        is rejected as a conflict and never applied twice.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        outcomes: Iterable[ChangeOutcome],
        max_outcomes: int,
    ) -> None:
        self.configuration = configuration
        self.max_outcomes = max_outcomes
        self.outcomes = {outcome.operation_id: outcome for outcome in outcomes}

    def record_outcome(self, outcome: ChangeOutcome) -> None:
        """Record an outcome and drop the oldest ones over the limit."""
        self.outcomes[outcome.operation_id] = outcome
        while len(self.outcomes) > self.max_outcomes:
            del self.outcomes[next(iter(self.outcomes))]
