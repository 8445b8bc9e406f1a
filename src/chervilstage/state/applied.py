"""What the committed entries of the log have led to."""

from __future__ import annotations

from collections.abc import Iterable

from .configuration import ChangeOutcome, Configuration


class AppliedState:
    """The configuration in force and the outcomes of past changes, oldest first.

    :param kept: how many outcomes are remembered. The change of a forgotten outcome
        was made from a revision that has passed, so a resend gets a conflict and is
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
        """Keep an outcome and forget the oldest ones over the bound."""
        self.outcomes[outcome.operation_id] = outcome
        while len(self.outcomes) > self.kept:
            del self.outcomes[next(iter(self.outcomes))]
