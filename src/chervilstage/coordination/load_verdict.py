"""Evaluate which promises of the design page a load run kept."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping, Sequence
from enum import StrEnum

from ..state.load_packets import UpstreamName
from ..state.load_plan import LoadPlan, Mark
from ..state.load_report import Promise
from ..state.load_results import (
    BUCKETS_PER_SECOND,
    AnswerFault,
    CallerOutcome,
    FlowBreak,
    LoadResults,
)
from ..state.standin_report import StandinReport

# Packets may still arrive at a data centre for this long after it was taken out.
OUT_GRACE_SECONDS = 3.0
# An upstream may still get new work for this long after it began to leave.
LEAVE_GRACE_SECONDS = 2.0
# A break of a flow within this time after an entry was killed is attributed to that.
ENTRY_KILL_WINDOW_SECONDS = 5.0
# A flow counts as broken if at least this many of its last packets stayed unanswered.
STALL_THRESHOLD_PACKETS = 8
OUT_ACCEPTED_MARK = "out-accepted"


class BreakCause(StrEnum):
    """Why a flow broke; only ``PLANNED`` and ``UNANSWERED`` break a promise."""

    PLANNED = "planned"
    DATA_CENTRE_OUT = "data_centre_out"
    UPSTREAM_KILLED = "upstream_killed"
    ENTRY_KILLED = "entry_killed"
    UNANSWERED = "unanswered"


def evaluate_promises(
    plan: LoadPlan,
    results: LoadResults,
    reports: Sequence[StandinReport],
    marks: Sequence[Mark],
) -> list[Promise]:
    """Return the promises with their violations."""
    return [
        _check_flow_affinity(results, marks),
        _check_service_isolation(results, reports),
        _check_cold_load(reports),
        _check_data_centre_out(results, marks),
        _check_answers(results),
        _check_not_run(results, reports),
        _check_single_runs(results, reports),
        _check_leaving(reports),
        _check_planned_stops(plan, results),
    ]


def count_broken_flows(
    results: LoadResults, marks: Sequence[Mark]
) -> Counter[BreakCause]:
    """Count broken flows by cause; a flow that broke twice counts twice."""
    causes = Counter(break_cause(item, marks) for item in results.breaks)
    killed = {mark.name for mark in marks if mark.word == "upstream-killed"}
    for flow in results.flows.values():
        if flow.unanswered_in_row < STALL_THRESHOLD_PACKETS:
            continue
        is_killed = flow.upstream is not None and flow.upstream.address in killed
        cause = BreakCause.UPSTREAM_KILLED if is_killed else BreakCause.UNANSWERED
        causes[cause] += 1
    return causes


def break_cause(item: FlowBreak, marks: Sequence[Mark]) -> BreakCause:
    """Return why a flow was answered by a different upstream than before."""
    upstreams = (item.before, item.after)
    if any(_is_out(upstream, item.at, marks) for upstream in upstreams):
        return BreakCause.DATA_CENTRE_OUT
    addresses = {upstream.address for upstream in upstreams}
    for mark in marks:
        elapsed = item.at - mark.at
        if mark.word == "upstream-killed" and elapsed >= 0 and mark.name in addresses:
            return BreakCause.UPSTREAM_KILLED
        if mark.word == "entry-killed" and 0 <= elapsed <= ENTRY_KILL_WINDOW_SECONDS:
            return BreakCause.ENTRY_KILLED
    return BreakCause.PLANNED


def _is_out(upstream: UpstreamName, at: float, marks: Sequence[Mark]) -> bool:
    """Return whether the data centre of an upstream was out of service at a time."""
    out = False
    for mark in marks:
        if mark.at <= at and mark.name == upstream.data_centre:
            out = {"out": True, "back": False}.get(mark.word, out)
    return out


def _check_flow_affinity(results: LoadResults, marks: Sequence[Mark]) -> Promise:
    causes = count_broken_flows(results, marks)
    moved, unanswered = causes[BreakCause.PLANNED], causes[BreakCause.UNANSWERED]
    detail = (
        f"{moved} moved, {unanswered} left unanswered" if moved + unanswered else ""
    )
    return Promise(
        name="1 flows keep their upstream",
        violations=moved + unanswered,
        checked=len(results.flows),
        detail=detail,
    )


def _check_service_isolation(
    results: LoadResults, reports: Sequence[StandinReport]
) -> Promise:
    foreign = [r.counts.foreign_packets + r.counts.foreign_requests for r in reports]
    received = sum(r.counts.packets + r.counts.requests for r in reports)
    return Promise(
        name="2 no packet to another service",
        violations=sum(foreign) + results.faults[AnswerFault.OTHER_SERVICE],
        checked=received,
    )


def _check_cold_load(reports: Sequence[StandinReport]) -> Promise:
    return Promise(
        name="3 cold upstreams are not overloaded",
        violations=sum(r.counts.over_capacity_cold for r in reports),
        checked=sum(r.counts.requests_cold for r in reports),
    )


def _check_data_centre_out(results: LoadResults, marks: Sequence[Mark]) -> Promise:
    windows = _out_windows(marks)
    late = Counter(
        name
        for (data_centre, bucket), count in results.served.items()
        for name, begin, end in windows
        if data_centre == name
        and begin + OUT_GRACE_SECONDS <= _bucket_start_seconds(bucket) < end
        for _ in range(count)
    )
    return Promise(
        name="4 a data centre taken out gets no packets",
        violations=late.total(),
        checked=len(windows),
        detail=", ".join(
            f"{count} after taking out {dc}" for dc, count in late.items()
        ),
    )


def _out_windows(marks: Sequence[Mark]) -> list[tuple[str, float, float]]:
    """Return each data centre that was taken out, and when that began and ended.

    A window begins when the change was accepted, if there is a mark for that.
    """
    windows = []
    for mark in marks:
        if mark.word != "out":
            continue
        backs = [m.at for m in marks if (m.word, m.name) == ("back", mark.name)]
        end = min((at for at in backs if at > mark.at), default=float("inf"))
        accepted = [
            m.at for m in marks if (m.word, m.name) == (OUT_ACCEPTED_MARK, mark.name)
        ]
        begin = min((at for at in accepted if mark.at <= at < end), default=mark.at)
        windows.append((mark.name, begin, end))
    return windows


def _bucket_start_seconds(bucket: int) -> float:
    return bucket / BUCKETS_PER_SECOND


def _check_answers(results: LoadResults) -> Promise:
    faults = (AnswerFault.DAMAGED, AnswerFault.NOT_OWN, AnswerFault.GAP_IN_FEED)
    answered = sum(r.outcome is CallerOutcome.ANSWERED for r in results.requests)
    packets = sum(flow.answered for flow in results.flows.values())
    return Promise(
        name="5 answers are whole and the caller's own",
        violations=sum(results.faults[fault] for fault in faults),
        checked=answered + packets + results.counts["feed_lines"],
    )


def _check_not_run(results: LoadResults, reports: Sequence[StandinReport]) -> Promise:
    runs_by_attempt = _sum_runs([r.attempt_runs for r in reports])
    runs_by_key = _sum_runs([r.runs for r in reports])
    false_refusals, checked = [], 0
    for request in results.requests:
        refused = [a for a in request.attempts if a.outcome is CallerOutcome.NOT_RUN]
        checked += len(refused)
        ran = any(runs_by_attempt[a.name] for a in refused)
        if request.outcome is CallerOutcome.NOT_RUN and request.key:
            ran = ran or runs_by_key[request.key] > 0
        if ran:
            false_refusals.append(request.key or request.attempts[0].name)
    return Promise(
        name="6 refusals that say not run are true",
        violations=len(false_refusals),
        checked=checked,
        detail=" ".join(false_refusals[:3]),
    )


def _check_single_runs(
    results: LoadResults, reports: Sequence[StandinReport]
) -> Promise:
    runs = _sum_runs([r.runs for r in reports])
    twice = [key for key, count in runs.items() if count > 1]
    runs_by_attempt = _sum_runs([r.attempt_runs for r in reports])
    half_sent = [
        r.attempts[-1].name
        for r in results.requests
        if r.outcome is CallerOutcome.HALF_SENT
        and runs_by_attempt[r.attempts[-1].name] > 0
    ]
    answered_again = results.faults[AnswerFault.SECOND_RUN]
    return Promise(
        name="7 keyed requests run at most once, half-sent ones never",
        violations=max(len(twice), answered_again) + len(half_sent),
        checked=len(runs),
        detail=" ".join((twice + half_sent)[:3]),
    )


def _check_leaving(reports: Sequence[StandinReport]) -> Promise:
    left = [r for r in reports if r.leaving_at]
    late = [r for r in left if r.last_new_work_at - r.leaving_at > LEAVE_GRACE_SECONDS]
    return Promise(
        name="8 leaving upstreams get no new work after 2 s",
        violations=len(late),
        checked=len(left),
        detail=" ".join(r.upstream.address for r in late),
    )


def _check_planned_stops(plan: LoadPlan, results: LoadResults) -> Promise:
    attempts = [a for r in results.requests for a in r.attempts]
    cut = sum(a.outcome is CallerOutcome.CUT for a in attempts)
    return Promise(
        name="9 planned stops cut no request",
        violations=cut if plan.planned else 0,
        checked=len(attempts) if plan.planned else 0,
        detail="" if plan.planned else f"not judged; {cut} cut",
    )


def _sum_runs(runs: Sequence[Mapping[str, int]]) -> Counter[str]:
    total: Counter[str] = Counter()
    for item in runs:
        total.update(item)
    return total
