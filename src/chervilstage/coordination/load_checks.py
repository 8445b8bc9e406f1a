"""Checks that the callers of a load run apply to answers, packets and feeds."""

from __future__ import annotations

from typing import NamedTuple

from ..state.load_packets import FeedUpdate, PacketAnswer, UpstreamName
from ..state.load_results import (
    AnswerFault,
    CallerOutcome,
    Finding,
    FlowBreak,
    FlowRecord,
    LoadResults,
)

STATUS_OK = 200
OUTCOMES_BY_HEADER = {
    "not-run": CallerOutcome.NOT_RUN,
    "unknown": CallerOutcome.UNKNOWN,
}


class RequestIdentity(NamedTuple):
    """The fields that identify a request."""

    method: str
    target: str
    key: str
    request: str


class RequestContent(NamedTuple):
    """The body that arrived at the upstream, and the size of its answer."""

    body_bytes: int
    body_hash: str
    answer_bytes: int


class ExpectedAnswer(NamedTuple):
    """The contents of a complete answer to the caller's own request."""

    service: str
    identity: RequestIdentity
    content: RequestContent


class RequestAnswer(NamedTuple):
    """The contents of an answer; ``run`` counts the runs of the key so far."""

    upstream: UpstreamName
    identity: RequestIdentity
    content: RequestContent
    run: int


def classify_attempt(status: int, outcome: str) -> CallerOutcome:
    """Return the outcome of an attempt from its status and outcome header."""
    if outcome in OUTCOMES_BY_HEADER:
        return OUTCOMES_BY_HEADER[outcome]
    return CallerOutcome.ANSWERED if status == STATUS_OK else CallerOutcome.REFUSED


def check_answer(
    expected: ExpectedAnswer, answer: RequestAnswer, at: float
) -> list[Finding]:
    """Return the findings for the answer to a request."""
    name, key = expected.identity.request, expected.identity.key
    faults: list[tuple[AnswerFault, str]] = []
    if answer.upstream.service != expected.service:
        faults.append((AnswerFault.OTHER_SERVICE, f"answered by {answer.upstream}"))
    if answer.identity != expected.identity:
        faults.append((AnswerFault.NOT_OWN, f"answer to {answer.identity}"))
    elif answer.content != expected.content:
        difference = f"{answer.content} in place of {expected.content}"
        faults.append((AnswerFault.DAMAGED, difference))
    if key and answer.run != 1:
        faults.append((AnswerFault.SECOND_RUN, f"run {answer.run} of {key}"))
    return [
        Finding(fault=fault, at=at, detail=f"{name}: {detail}")
        for fault, detail in faults
    ]


def record_sent_packet(flow: FlowRecord, sequence: int, now: float) -> None:
    """Record that a packet of a flow is sent."""
    flow.sent_at[sequence] = now
    flow.sent += 1
    flow.unanswered_in_row += 1


def check_packet_answer(
    results: LoadResults,
    flow: FlowRecord,
    answer: PacketAnswer,
    body: bytes,
    now: float,
) -> None:
    """Check the answer to a packet of a flow.

    :param body: the body that the caller sent with the sequence of the answer.
    """
    packet = answer.packet
    is_own = (packet.flow, packet.service) == (flow.name, flow.service)
    if not is_own or packet.sequence > flow.sent or packet.body != body:
        detail = f"{flow.name}: answer to {packet.flow} {packet.sequence}"
        results.record_finding(
            Finding(fault=AnswerFault.NOT_OWN, at=now, detail=detail)
        )
        return
    _check_upstream(results, flow, answer.upstream, now)
    sent_at = flow.sent_at.pop(packet.sequence, None)
    if sent_at is None:
        results.counts["packets_answered_twice"] += 1
        return
    flow.answered += 1
    flow.unanswered_in_row = 0
    results.increment_series("packets", now)
    results.count_answer(answer.upstream, sent_at)
    results.add_latency(f"packets {flow.service}", now - sent_at)


def check_update(
    results: LoadResults, flow: FlowRecord, update: FeedUpdate, now: float
) -> None:
    """Check an update that an upstream pushed to a flow."""
    if update.feed != flow.name:
        detail = f"{flow.name}: update of {update.feed}"
        results.record_finding(
            Finding(fault=AnswerFault.NOT_OWN, at=now, detail=detail)
        )
        return
    _check_upstream(results, flow, update.upstream, now)
    flow.updates += 1
    results.counts["updates"] += 1
    results.increment_series("updates", now)


def check_feed_line(
    results: LoadResults, feed: str, line: bytes, expected: int, now: float
) -> None:
    """Check one line of a streamed feed; lines are numbered from 1."""
    number = line.rpartition(b" ")[2].strip()
    if number != str(expected).encode():
        detail = f"{feed}: line {line!r} in place of {expected}"
        results.record_finding(
            Finding(fault=AnswerFault.GAP_IN_FEED, at=now, detail=detail)
        )
    results.counts["feed_lines"] += 1


def _check_upstream(
    results: LoadResults, flow: FlowRecord, upstream: UpstreamName, now: float
) -> None:
    if upstream.service != flow.service:
        detail = f"{flow.name}: answered by {upstream}"
        results.record_finding(
            Finding(fault=AnswerFault.OTHER_SERVICE, at=now, detail=detail)
        )
    before, flow.upstream = flow.upstream, upstream
    if before is None or before == upstream:
        return
    results.breaks.append(
        FlowBreak(flow=flow.name, at=now, before=before, after=upstream)
    )
    results.increment_series("broken flows", now)
