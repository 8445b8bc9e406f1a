"""Summarise the results of a load run in its report."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping, Sequence

from hdrh.histogram import HdrHistogram

from ..state.load_plan import LoadPlan, Mark
from ..state.load_report import Imbalance, Latency, LoadReport, RequestSummary
from ..state.load_results import CallerOutcome, CallerRequestRecord, LoadResults
from ..state.standin_report import StandinReport
from .load_verdict import count_broken_flows, evaluate_promises

MICROSECONDS_PER_MILLISECOND = 1000.0
EXCLUDED_OUTCOMES = (CallerOutcome.LEFT, CallerOutcome.HALF_SENT)


def make_report(
    plan: LoadPlan,
    results: LoadResults,
    reports: Sequence[StandinReport],
    marks: Sequence[Mark],
    started_at: float,
) -> LoadReport:
    """Return the report of a run.

    :param started_at: when the run began, in seconds of the wall clock.
    """
    causes = count_broken_flows(results, marks)
    return LoadReport(
        started_at=started_at,
        seconds=plan.seconds,
        promises=tuple(evaluate_promises(plan, results, reports, marks)),
        requests=tuple(_request_summaries(results.requests)),
        latencies=tuple(_latency(*item) for item in sorted(results.latencies.items())),
        imbalances=tuple(_imbalances(results, reports)),
        counts=_counts(results, reports),
        broken_flows={cause.value: count for cause, count in causes.items()},
        findings=tuple(f"{f.fault.value}: {f.detail}" for f in results.findings),
        marks=tuple(marks),
        series=_series(results.series, started_at),
    )


def _request_summaries(
    requests: Iterable[CallerRequestRecord],
) -> Iterable[RequestSummary]:
    groups: dict[tuple[str, str], list[CallerRequestRecord]] = {}
    for request in requests:
        groups.setdefault((request.load, request.home), []).append(request)
    for (load, home), members in sorted(groups.items()):
        counted = [r for r in members if r.outcome not in EXCLUDED_OUTCOMES]
        yield RequestSummary(
            load=load,
            home=home,
            due=len(counted),
            in_time=sum(r.in_time for r in counted),
            outcomes=Counter(r.outcome.value for r in members),
        )


def _latency(name: str, histogram: HdrHistogram) -> Latency:
    def percentile_ms(percentile: float) -> float:
        """Return a percentile in milliseconds."""
        value: float = histogram.get_value_at_percentile(percentile)
        return value / MICROSECONDS_PER_MILLISECOND

    return Latency(
        name=name,
        samples=histogram.total_count,
        p50=percentile_ms(50),
        p90=percentile_ms(90),
        p99=percentile_ms(99),
        p999=percentile_ms(99.9),
        maximum=percentile_ms(100),
    )


def _imbalances(
    results: LoadResults, reports: Sequence[StandinReport]
) -> Iterable[Imbalance]:
    """Compare the busiest upstream with the mean of all known upstreams.

    A stand-in without work counts too, otherwise an upstream that gets no work would
    make the balance look better.
    """
    known_upstreams = {(r.upstream.service, r.upstream.address) for r in reports}
    flows_by_upstream: Counter[tuple[str, str]] = Counter(
        (flow.service, flow.upstream.address)
        for flow in results.flows.values()
        if flow.upstream
    )
    for kind, by_upstream in (
        ("flows", flows_by_upstream),
        ("requests", results.answered_by),
    ):
        for service in sorted({service for service, _ in by_upstream}):
            service_upstreams = sorted(
                item
                for item in known_upstreams | by_upstream.keys()
                if item[0] == service
            )
            shares = [by_upstream[item] for item in service_upstreams]
            yield Imbalance(
                service=service,
                what=kind,
                upstreams=len(shares),
                ratio=max(shares) * len(shares) / sum(shares),
            )


def _counts(
    results: LoadResults, reports: Sequence[StandinReport]
) -> Mapping[str, int]:
    flows = results.flows.values()
    sent = sum(flow.sent for flow in flows)
    answered = sum(flow.answered for flow in flows)
    attempts = Counter(
        f"attempts_{attempt.outcome.value}"
        for request in results.requests
        for attempt in request.attempts
    )
    upstreams: Counter[str] = Counter()
    for report in reports:
        for name, value in report.counts._asdict().items():
            upstreams[f"upstream_{name}"] += value
    return {
        "flows": len(flows),
        "packets_sent": sent,
        "packets_answered": answered,
        "packets_unanswered": sent - answered,
        **attempts,
        **results.counts,
        **upstreams,
    }


def _series(
    series: Mapping[str, Counter[int]], started_at: float
) -> Mapping[str, Mapping[int, int]]:
    start = int(started_at)
    return {
        name: {second - start: count for second, count in sorted(counts.items())}
        for name, counts in series.items()
    }
