"""An entry's observations of the health of upstreams."""

from __future__ import annotations

from typing import NamedTuple


class AttemptOutcome(NamedTuple):
    """The result of one attempt: when it ended and whether it failed."""

    at: float
    failed: bool


class UpstreamObservations(NamedTuple):
    """The observations of one upstream.

    ``outcomes`` are the last attempts and ``refusals`` the times of the last refused
    ones. ``latency`` is smoothed over the last successes, ``usual_latency`` over a
    longer period. Both are in seconds, 0 before the first success. ``samples`` counts
    the successes. ``consecutive_slow`` counts consecutive successes that took much
    longer than usual. ``last_cold_at`` is when the upstream was last found to be cold.
    ``trial_at`` is when an ejected upstream may receive a trial request, ``None`` if it
    is not ejected. ``ejection_count`` counts the ejections, and is reset to 0 after a
    long series of successes. ``successes_since_failure`` counts the successes since the
    last failure or ejection.
    """

    outcomes: tuple[AttemptOutcome, ...] = ()
    refusals: tuple[float, ...] = ()
    latency: float = 0.0
    usual_latency: float = 0.0
    samples: int = 0
    consecutive_slow: int = 0
    last_cold_at: float = float("-inf")
    trial_at: float | None = None
    trial_running: bool = False
    ejection_count: int = 0
    successes_since_failure: int = 0


class HealthTable:
    """Observations by upstream key."""

    def __init__(self) -> None:
        self.observed: dict[int, UpstreamObservations] = {}

    def get(self, key: int) -> UpstreamObservations:
        """Return the observations of an upstream."""
        return self.observed.get(key, UpstreamObservations())

    def ejected_keys(self) -> set[int]:
        """Return the keys of the ejected upstreams."""
        return {k for k, o in self.observed.items() if o.trial_at is not None}
