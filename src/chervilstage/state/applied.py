"""The state that results from the committed entries of the log."""

from __future__ import annotations

from collections.abc import Iterable

from .configuration import ChangeOutcome, Configuration


class AppliedState:
    """The configuration in force and the outcomes of past changes, oldest first.

    :param kept: the maximum number of outcomes. The change of a dropped outcome was
        based on a superseded revision, so resending it results in a conflict and it is
        never applied twice.
    """

    def __init__(
        self,
        *,
        configuration: Configuration,
        outcomes: Iterable[ChangeOutcome],
        kept: int,
    ) -> None:
        self.configuration = configuration
        self.kept = kept
        self.outcomes = {outcome.operation_id: outcome for outcome in outcomes}

    def remember(self, outcome: ChangeOutcome) -> None:
        """Record an outcome and drop the oldest ones over the limit."""
        self.outcomes[outcome.operation_id] = outcome
        while len(self.outcomes) > self.kept:
            del self.outcomes[next(iter(self.outcomes))]
