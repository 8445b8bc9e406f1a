"""Tests that the evaluation of a load run reports each injected violation."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination.load_summary import make_report
from chervilstage.coordination.load_verdict import (
    BreakCause,
    break_cause,
    evaluate_promises,
)
from chervilstage.state.load_packets import UpstreamName
from chervilstage.state.load_plan import EntryTarget, LoadPlan, Mark
from chervilstage.state.load_report import has_no_violations
from chervilstage.state.load_results import (
    AnswerFault,
    AttemptRecord,
    CallerOutcome,
    CallerRequestRecord,
    Finding,
    FlowBreak,
    FlowRecord,
    LoadResults,
)
from chervilstage.state.standin import StandinCounts
from chervilstage.state.standin_report import StandinReport

UPSTREAM = UpstreamName(
    service="alley-desk", address="127.0.0.1:1", incarnation=1, data_centre="gl-erie"
)
MOVED = UPSTREAM._replace(address="127.0.0.2:1", data_centre="gl-huron")
BREAK = FlowBreak(flow="f1", at=20.0, before=UPSTREAM, after=MOVED)
PLAN = LoadPlan(
    seed=1,
    seconds=10,
    planned=True,
    entries=(EntryTarget(host="127.0.0.1", data_centre="gl-erie"),),
)
REPORT = StandinReport(
    upstream=UPSTREAM,
    counts=StandinCounts(requests=2, requests_cold=1, started=2, packets=5),
    slots=4,
    most_in_flight=1,
    leaving_at=50.0,
    last_new_work_at=51.9,
    last_packet_at=0.0,
    last_request_at=0.0,
    runs={"answered": 1},
    attempt_runs={"answered.1": 1},
)


class Run(NamedTuple):
    """The inputs of an evaluation."""

    results: LoadResults
    reports: list[StandinReport]
    marks: list[Mark]


def request(key: str, outcome: CallerOutcome) -> CallerRequestRecord:
    """Return a request with one attempt."""
    attempt = AttemptRecord(name=f"{key}.1", entry="127.0.0.1", outcome=outcome)
    return CallerRequestRecord(
        load="bookings",
        key=key,
        home="gl-erie",
        due_at=1.0,
        seconds=0.1,
        in_time=outcome is CallerOutcome.ANSWERED,
        attempts=(attempt,),
    )


def clean_run() -> Run:
    """Return a run in which each promise was checked and kept."""
    results = LoadResults()
    results.flows["f1"] = FlowRecord(name="f1", service="alley-desk")
    results.flows["f1"].unanswered_in_row = 7
    results.requests += [
        request("answered", CallerOutcome.ANSWERED),
        request("refused", CallerOutcome.NOT_RUN),
        request("half", CallerOutcome.HALF_SENT),
    ]
    results.count_answer(UPSTREAM, 32.9)
    results.count_answer(MOVED, 34.0)
    results.count_answer(UPSTREAM, 40.0)
    marks = [Mark(at=29.0, word="out", name="gl-erie")]
    marks.append(Mark(at=30.0, word="out-accepted", name="gl-erie"))
    marks.append(Mark(at=39.0, word="back", name="gl-erie"))
    return Run(results=results, reports=[REPORT], marks=marks)


def add_report(run: Run, **fields: object) -> None:
    """Add the report of another stand-in."""
    empty = REPORT._replace(counts=StandinCounts(), runs={}, attempt_runs={})
    run.reports.append(empty._replace(**fields))  # type: ignore[arg-type]


def inject_finding(fault: AnswerFault) -> Callable[[Run], None]:
    """Return a function that injects a finding."""
    return lambda run: run.results.record_finding(
        Finding(fault=fault, at=1.0, detail="")
    )


def inject_counts(**fields: int) -> Callable[[Run], None]:
    """Return a function that adds a stand-in with counts."""
    return lambda run: add_report(run, counts=StandinCounts(**fields))


def stall(run: Run) -> None:
    """Leave a flow without answers."""
    run.results.flows["f1"].unanswered_in_row = 8


VIOLATIONS: list[tuple[str, Callable[[Run], None]]] = [
    ("1", lambda run: run.results.breaks.append(BREAK)),
    ("1", stall),
    ("2", inject_counts(foreign_packets=1)),
    ("2", inject_counts(foreign_requests=1)),
    ("2", inject_finding(AnswerFault.OTHER_SERVICE)),
    ("3", inject_counts(over_capacity_cold=1)),
    ("4", lambda run: run.results.count_answer(UPSTREAM, 33.1)),
    ("5", inject_finding(AnswerFault.DAMAGED)),
    ("5", inject_finding(AnswerFault.NOT_OWN)),
    ("5", inject_finding(AnswerFault.GAP_IN_FEED)),
    ("6", lambda run: add_report(run, attempt_runs={"refused.1": 1})),
    ("6", lambda run: add_report(run, runs={"refused": 1})),
    ("7", lambda run: add_report(run, runs={"answered": 1})),
    ("7", lambda run: add_report(run, attempt_runs={"half.1": 1})),
    ("7", inject_finding(AnswerFault.SECOND_RUN)),
    ("8", lambda run: add_report(run, last_new_work_at=52.1)),
    ("9", lambda run: run.results.requests.append(request("cut", CallerOutcome.CUT))),
]


class VerdictTests(TestCase):
    """Guards against promises whose check never fails."""

    def test_clean_run_keeps_and_checks_every_promise(self) -> None:
        promises = evaluate_promises(PLAN, *clean_run())
        self.assertThat([p.violations for p in promises], Equals([0] * 9))
        self.assertThat([p.name for p in promises if not p.checked], Equals([]))

    def test_each_injected_violation_breaks_its_promise(self) -> None:
        for number, inject in VIOLATIONS:
            run = clean_run()
            inject(run)
            broken = [p.name[0] for p in evaluate_promises(PLAN, *run) if p.violations]
            self.assertThat(broken, Equals([number]))
            report = make_report(PLAN, *run, started_at=1.0)
            self.assertThat(has_no_violations(report), Equals(False))

    def test_upstream_without_work_counts_in_the_imbalance(self) -> None:
        run = clean_run()
        add_report(run, upstream=MOVED)
        run.results.answered_by[(UPSTREAM.service, UPSTREAM.address)] = 9
        report = make_report(PLAN, *run, started_at=1.0)
        ratios = [(i.what, i.upstreams, i.ratio) for i in report.imbalances]
        self.assertThat(ratios, Equals([("requests", 2, 2.0)]))

    def test_every_promise_has_an_injected_violation(self) -> None:
        names = {p.name[0] for p in evaluate_promises(PLAN, *clean_run())}
        self.assertThat({number for number, _ in VIOLATIONS}, Equals(names))


class BreakCauseTests(TestCase):
    """Guards against attributing flows that a planned change broke to an outage."""

    @given(st.floats(0, 40), st.floats(0, 20))
    def test_a_data_centre_out_explains_a_break_only_while_out(
        self, out: float, duration: float
    ) -> None:
        marks = [Mark(at=out, word="out", name="gl-huron")]
        marks.append(Mark(at=out + duration, word="back", name="gl-huron"))
        is_out = out <= BREAK.at < out + duration
        expected = BreakCause.DATA_CENTRE_OUT if is_out else BreakCause.PLANNED
        self.assertThat(break_cause(BREAK, marks), Equals(expected))

    def test_kills_explain_only_breaks_of_affected_flows(self) -> None:
        def cause(word: str, name: str, at: float) -> BreakCause:
            return break_cause(BREAK, [Mark(at=at, word=word, name=name)])

        address = UPSTREAM.address
        lost = BreakCause.UPSTREAM_KILLED
        self.assertThat(cause("upstream-killed", address, 19.0), Equals(lost))
        for word, name, at in (
            ("upstream-killed", "127.0.0.9:1", 19.0),
            ("upstream-killed", address, 21.0),
            ("entry-killed", "127.0.0.9", 14.0),
            ("upstream-leaves", address, 19.0),
        ):
            self.assertThat(cause(word, name, at), Equals(BreakCause.PLANNED))
