"""The results that the callers of a load test run record."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

from .load_packets import UpstreamName

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
MAXIMUM_FINDINGS = 50
BUCKETS_PER_SECOND = 10


class CallerOutcome(StrEnum):
    """The outcome of an attempt for its caller.

    ``UNREACHABLE`` means that the entry accepted no connection, ``CUT`` that the
    connection was lost after the request was sent, ``TIMED_OUT`` that the caller
    stopped waiting, and ``REFUSED`` an error that is neither *not run* nor *unknown*.
    ``LEFT`` and ``HALF_SENT`` are callers that closed the connection on purpose, before
    the answer or in the middle of the body.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    CUT = "cut"
    TIMED_OUT = "timed_out"
    REFUSED = "refused"
    LEFT = "left"
    HALF_SENT = "half_sent"


class AnswerFault(StrEnum):
    """The kinds of incorrect answers."""

    DAMAGED = "damaged"
    NOT_OWN = "not_own"
    OTHER_SERVICE = "other_service"
    SECOND_RUN = "second_run"
    GAP_IN_FEED = "gap_in_feed"


class Finding(NamedTuple):
    """A fault found by a check; ``at`` is in seconds of the wall clock."""

    fault: AnswerFault
    at: float
    detail: str


class FlowBreak(NamedTuple):
    """A flow that was answered by another upstream than before."""

    flow: str
    at: float
    before: UpstreamName
    after: UpstreamName


class AttemptRecord(NamedTuple):
    """One attempt of a caller; ``name`` is unique in the run."""

    name: str
    entry: str
    outcome: CallerOutcome


class CallerRequestRecord(NamedTuple):
    """A request whose caller makes no further attempts.

    ``home`` is the data centre of the entry that was tried first; ``seconds`` counts
    from when the request was due.
    """

    load: str
    key: str
    home: str
    due_at: float
    seconds: float
    in_time: bool
    attempts: tuple[AttemptRecord, ...]

    @property
    def outcome(self) -> CallerOutcome:
        """Return how the last attempt ended."""
        return self.attempts[-1].outcome


class FlowRecord:
    """The packets and answers that one flow's caller has counted.

    :param name: unique in the run.
    """

    def __init__(self, *, name: str, service: str) -> None:
        self.name = name
        self.service = service
        self.upstream: UpstreamName | None = None
        self.sent_at: dict[int, float] = {}
        self.sent = 0
        self.answered = 0
        self.unanswered_in_row = 0
        self.updates = 0


class LoadResults:
    """The results of all callers of one run.

    ``served`` counts answers by the data centre of the upstream and the tenth of a
    second in which the packet or request was sent. ``answered_by`` counts answered
    requests by service and upstream address.
    """

    def __init__(self) -> None:
        self.flows: dict[str, FlowRecord] = {}
        self.breaks: list[FlowBreak] = []
        self.requests: list[CallerRequestRecord] = []
        self.faults: Counter[AnswerFault] = Counter()
        self.findings: list[Finding] = []
        self.series: dict[str, Counter[int]] = {}
        self.served: Counter[tuple[str, int]] = Counter()
        self.answered_by: Counter[tuple[str, str]] = Counter()
        self.counts: Counter[str] = Counter()
        self.latencies: dict[str, HdrHistogram] = {}

    def record_finding(self, finding: Finding) -> None:
        """Record a finding; the stored findings are bounded, the counts are not."""
        self.faults[finding.fault] += 1
        if len(self.findings) < MAXIMUM_FINDINGS:
            self.findings.append(finding)

    def increment_series(self, series: str, at: float) -> None:
        """Increment a time series at the second of a time."""
        self.series.setdefault(series, Counter())[int(at)] += 1

    def count_answer(self, upstream: UpstreamName, sent_at: float) -> None:
        """Count an answer by data centre and time of sending."""
        bucket = int(sent_at * BUCKETS_PER_SECOND)
        self.served[(upstream.data_centre, bucket)] += 1

    def add_latency(self, name: str, seconds: float) -> None:
        """Record a latency."""
        histogram = self.latencies.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
            )
            self.latencies[name] = histogram
        microseconds = max(LOWEST_MICROSECONDS, int(seconds * 1_000_000))
        histogram.record_value(min(microseconds, HIGHEST_MICROSECONDS))
