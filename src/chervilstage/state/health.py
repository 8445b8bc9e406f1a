"""An entry's observations of the health of upstreams."""

from __future__ import annotations

from typing import NamedTuple


class Outcome(NamedTuple):
    """The result of one attempt: when it ended and whether it failed."""

    at: float
    failed: bool


class Observed(NamedTuple):
    """The observations of one upstream.

    ``latency`` is smoothed over the last successes, ``usual_latency`` over a longer
    period. Both are in seconds, 0 before the first success. ``slow_streak`` counts
    consecutive successes that took much longer than usual. ``trial_at`` is when an
    ejected upstream may receive a trial request, ``None`` if it is not ejected.
    ``strikes`` counts the ejections since the upstream last was healthy for long;
    ``well`` counts the successes since the last failure or ejection.
    """

    outcomes: tuple[Outcome, ...] = ()
    refusals: tuple[float, ...] = ()
    latency: float = 0.0
    usual_latency: float = 0.0
    samples: int = 0
    slow_streak: int = 0
    cold_at: float = float("-inf")
    trial_at: float | None = None
    trial_running: bool = False
    strikes: int = 0
    well: int = 0


class HealthTable:
    """Observations by upstream key."""

    def __init__(self) -> None:
        self.observed: dict[int, Observed] = {}

    def get(self, key: int) -> Observed:
        """Return the observations of an upstream."""
        return self.observed.get(key, Observed())

    def ejected(self) -> set[int]:
        """Return the keys of the ejected upstreams."""
        return {k for k, o in self.observed.items() if o.trial_at is not None}
