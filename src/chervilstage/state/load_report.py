"""The report of a load test run."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple

from .load_plan import Mark


class Promise(NamedTuple):
    """The check of one guarantee of the design page.

    ``violations`` is how often the guarantee was violated and ``checked`` the number of
    cases checked; with 0 cases the guarantee was not tested.
    """

    name: str
    violations: int
    checked: int
    detail: str = ""


class Latency(NamedTuple):
    """Quantiles of a latency, in milliseconds."""

    name: str
    samples: int
    p50: float
    p90: float
    p99: float
    p999: float
    maximum: float


class RequestSummary(NamedTuple):
    """The outcomes of the requests of one load and home data centre.

    ``in_time`` counts the requests that were answered completely within their deadline,
    retries included. ``due`` is the number of requests without those whose callers left
    or sent only half of the body.
    """

    load: str
    home: str
    due: int
    in_time: int
    outcomes: Mapping[str, int]


class Imbalance(NamedTuple):
    """The load of a service's busiest upstream relative to the mean of all of them.

    ``what`` is the load that was compared: flows or requests.
    """

    service: str
    what: str
    upstreams: int
    ratio: float


class LoadReport(NamedTuple):
    """The complete report; series count by second from the start of the run."""

    started_at: float
    seconds: float
    promises: tuple[Promise, ...]
    requests: tuple[RequestSummary, ...]
    latencies: tuple[Latency, ...]
    imbalances: tuple[Imbalance, ...]
    counts: Mapping[str, int]
    broken_flows: Mapping[str, int]
    findings: tuple[str, ...]
    marks: tuple[Mark, ...]
    series: Mapping[str, Mapping[int, int]]


def has_no_violations(report: LoadReport) -> bool:
    """Return whether no guarantee was violated."""
    return all(promise.violations == 0 for promise in report.promises)
