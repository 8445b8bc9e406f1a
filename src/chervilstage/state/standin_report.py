"""The counters of a stand-in upstream as its control port reports them."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .load_packets import UpstreamName
from .standin import StandinCounts


class StandinReport(NamedTuple):
    """The counters of one stand-in; times are seconds of the wall clock."""

    upstream: UpstreamName
    counts: StandinCounts
    slots: int
    most_in_flight: int
    leaving_at: float
    last_new_work_at: float
    last_packet_at: float
    last_request_at: float
    runs: Mapping[str, int]
    attempt_runs: Mapping[str, int]
