"""Tests that the checks of the load tool find injected faults."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination.load_checks import (
    ExpectedAnswer,
    RequestAnswer,
    RequestContent,
    RequestIdentity,
    check_answer,
    check_feed_line,
    check_packet_answer,
    check_update,
    classify_attempt,
    record_sent_packet,
)
from chervilstage.coordination.load_schedule import packet_body
from chervilstage.state.load_packets import (
    CallerPacket,
    FeedUpdate,
    PacketAnswer,
    UpstreamName,
)
from chervilstage.state.load_results import (
    AnswerFault,
    CallerOutcome,
    FlowRecord,
    LoadResults,
)

FIRST = UpstreamName(
    service="alley-desk", address="127.0.0.1:1", incarnation=1, data_centre="gl-erie"
)
SECOND = FIRST._replace(address="127.0.0.2:1")
OTHER_SERVICE = FIRST._replace(service="league-ledger")
OWN = RequestIdentity(
    method="POST", target="/bookings", key="v1.1.gl-erie.a", request="bookings-1"
)
WHOLE = RequestContent(body_bytes=4, body_hash="h", answer_bytes=10)
EXPECTED = ExpectedAnswer(service="alley-desk", identity=OWN, content=WHOLE)
ANSWER = RequestAnswer(upstream=FIRST, identity=OWN, content=WHOLE, run=1)
FAULTY_ANSWERS = [
    (ANSWER._replace(identity=OWN._replace(request="bookings-2")), AnswerFault.NOT_OWN),
    (ANSWER._replace(identity=OWN._replace(key="v1.1.gl-erie.b")), AnswerFault.NOT_OWN),
    (ANSWER._replace(identity=OWN._replace(target="/other")), AnswerFault.NOT_OWN),
    (ANSWER._replace(identity=OWN._replace(method="PUT")), AnswerFault.NOT_OWN),
    (ANSWER._replace(content=WHOLE._replace(body_bytes=3)), AnswerFault.DAMAGED),
    (ANSWER._replace(content=WHOLE._replace(body_hash="i")), AnswerFault.DAMAGED),
    (ANSWER._replace(content=WHOLE._replace(answer_bytes=9)), AnswerFault.DAMAGED),
    (ANSWER._replace(run=2), AnswerFault.SECOND_RUN),
    (ANSWER._replace(upstream=OTHER_SERVICE), AnswerFault.OTHER_SERVICE),
]


def packet_of(flow: FlowRecord, sequence: int) -> CallerPacket:
    """Return a packet of a flow."""
    return CallerPacket(
        service=flow.service,
        flow=flow.name,
        sequence=sequence,
        subscribe=False,
        body=packet_body(1, flow.name, sequence, 40),
    )


class FlowCase(NamedTuple):
    """A run with two flows."""

    results: LoadResults
    flow: FlowRecord
    other: FlowRecord


def flow_case() -> FlowCase:
    """Return two flows that have sent five packets each."""
    flows = [FlowRecord(name=name, service="alley-desk") for name in ("f1", "f2")]
    for flow in flows:
        for sequence in range(1, 6):
            record_sent_packet(flow, sequence, 1.0)
    return FlowCase(results=LoadResults(), flow=flows[0], other=flows[1])


def receive(case: FlowCase, upstream: UpstreamName, packet: CallerPacket) -> None:
    """Check an answer to the first flow."""
    body = packet_body(1, case.flow.name, packet.sequence, 40)
    answer = PacketAnswer(upstream=upstream, packet=packet)
    check_packet_answer(case.results, case.flow, answer, body, 2.0)


class RequestAnswerTests(TestCase):
    """Guards against checks of answers that never fail."""

    def test_complete_and_matching_answer_passes(self) -> None:
        self.assertThat(check_answer(EXPECTED, ANSWER, 1.0), Equals([]))

    def test_each_injected_fault_is_found(self) -> None:
        for answer, fault in FAULTY_ANSWERS:
            findings = check_answer(EXPECTED, answer, 1.0)
            self.assertThat([f.fault for f in findings], Equals([fault]))

    def test_outcome_header_takes_precedence_over_the_status(self) -> None:
        self.assertThat(classify_attempt(200, ""), Equals(CallerOutcome.ANSWERED))
        self.assertThat(classify_attempt(503, "not-run"), Equals(CallerOutcome.NOT_RUN))
        self.assertThat(classify_attempt(504, "unknown"), Equals(CallerOutcome.UNKNOWN))
        self.assertThat(classify_attempt(503, ""), Equals(CallerOutcome.REFUSED))


class FlowAnswerTests(TestCase):
    """Guards against checks of flows that never fail."""

    @given(st.permutations([1, 2, 3, 4, 5]), st.integers(0, 4))
    def test_answers_in_any_order_pass_and_a_second_upstream_is_found(
        self, order: list[int], position: int
    ) -> None:
        case = flow_case()
        for sequence in order:
            receive(case, FIRST, packet_of(case.flow, sequence))
        self.assertThat(case.results.breaks, Equals([]))
        self.assertThat(case.results.faults.total(), Equals(0))
        broken = flow_case()
        for number, sequence in enumerate(order):
            upstream = SECOND if number == position else FIRST
            receive(broken, upstream, packet_of(broken.flow, sequence))
        self.assertTrue(broken.results.breaks)

    def test_swapped_damaged_and_foreign_answers_are_found(self) -> None:
        case = flow_case()
        receive(case, FIRST, packet_of(case.other, 1))
        receive(case, FIRST, packet_of(case.flow, 1)._replace(body=b"cut"))
        receive(case, FIRST, packet_of(case.flow, 6))
        self.assertThat(case.results.faults[AnswerFault.NOT_OWN], Equals(3))
        receive(case, OTHER_SERVICE, packet_of(case.flow, 1))
        self.assertThat(case.results.faults[AnswerFault.OTHER_SERVICE], Equals(1))

    def test_update_of_another_flow_or_upstream_is_found(self) -> None:
        case = flow_case()
        receive(case, FIRST, packet_of(case.flow, 1))
        update = FeedUpdate(upstream=FIRST, feed=case.flow.name, number=1)
        check_update(case.results, case.flow, update, 2.0)
        check_update(case.results, case.flow, update._replace(feed="f2"), 2.0)
        check_update(case.results, case.flow, update._replace(upstream=SECOND), 2.0)
        self.assertThat(case.results.faults[AnswerFault.NOT_OWN], Equals(1))
        self.assertThat(len(case.results.breaks), Equals(1))
        self.assertThat(case.flow.updates, Equals(2))

    def test_missing_line_of_a_feed_is_found(self) -> None:
        results = LoadResults()
        check_feed_line(results, "feed", b"free alleys 1", 1, 1.0)
        self.assertThat(results.faults.total(), Equals(0))
        check_feed_line(results, "feed", b"free alleys 3", 2, 1.0)
        self.assertThat(results.faults[AnswerFault.GAP_IN_FEED], Equals(1))
