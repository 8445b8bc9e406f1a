"""Upstreams and data centres that leave packets without an answer."""

from __future__ import annotations

from ..state.token_flows import NEVER, Silence, TokenRelayState, UpstreamLoad
from ..state.types import UpstreamRecord

FIRST_SUSPICION_SECONDS = 0.5
LONGEST_SUSPICION_SECONDS = 4.0
# An upstream that is full answers no opening packets, but the requests in its queue
# within some multiples of the latency that callers expect.
UNREACHABLE_OBJECTIVES = 3.0
SHORTEST_UNREACHABLE_SECONDS = 0.4
UNREACHABLE_SECONDS = 0.8
# Two signs that far apart do not come from one moment in which this entry stood still.
SIGNS_APART_SECONDS = 0.3
# An entry that hears no upstream at all may itself be the one that is cut off.
OWN_CONTACT_SECONDS = 0.5
# The packets of one flow may be lost on a link that is full.
UNREACHABLE_FLOWS = 2
# An announcement reaches entries up to a second after it was made.
UNHEARD_ANNOUNCEMENTS = 2.25
SILENT_UPSTREAMS = 2


def note_question(state: TokenRelayState, record: UpstreamRecord, now: float) -> None:
    """Take note that an upstream has something to answer."""
    load = state.load_of(record)
    _forget_old_silence(load, now)
    if load.asked_at <= load.answered_at:
        load.asked_at = now
    load.questioned_at = now


def note_answer(state: TokenRelayState, record: UpstreamRecord, now: float) -> None:
    """Take note that an upstream has answered."""
    load = state.load_of(record)
    load.answered_at = state.answered_at = now
    load.unanswered = 0
    load.silent_flows.clear()
    load.suspect_until = NEVER
    state.silences.pop(record.data_centre, None)


def note_silence(
    state: TokenRelayState, record: UpstreamRecord, flow: bytes, now: float
) -> None:
    """Avoid an upstream for a time that doubles with each sign in a row.

    A caller repeats many packets at once; signs close to each other count as one.

    :param flow: the flow whose packet came again.
    """
    load = state.load_of(record)
    _forget_old_silence(load, now)
    if len(load.silent_flows) < UNREACHABLE_FLOWS:
        load.silent_flows.add(flow)
    if load.unanswered and now - load.silent_at < SIGNS_APART_SECONDS:
        return
    load.silent_at = now
    seconds = min(
        FIRST_SUSPICION_SECONDS * 2.0**load.unanswered, LONGEST_SUSPICION_SECONDS
    )
    if not load.unanswered:
        load.suspect_since = now
    load.unanswered += 1
    load.suspect_until = max(load.suspect_until, now + seconds)
    silence = state.silences.get(record.data_centre)
    if silence is None or now - silence.since > LONGEST_SUSPICION_SECONDS:
        silence = state.silences[record.data_centre] = Silence(since=now)
    silence.addresses.add(record.identity.address)


def is_suspect(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Tell whether an upstream should be avoided for new flows."""
    if now < state.load_of(record).suspect_until:
        return True
    silence = state.silences.get(record.data_centre)
    if silence is None or now - silence.since > LONGEST_SUSPICION_SECONDS:
        return False
    return len(silence.addresses) >= SILENT_UPSTREAMS


def reaches_nobody(state: TokenRelayState, now: float) -> bool:
    """Tell whether no upstream that may take new flows has answered for some time.

    Another entry may reach them, if the fabric sends it the packets. Flows that are
    open may still be answered by upstreams that take no new ones.
    """
    records = [r for found in state.eligible.values() for r in found]
    if len(records) < SILENT_UPSTREAMS:
        return False
    return all(
        is_suspect(state, record, now)
        and now - state.load_of(record).answered_at >= UNREACHABLE_SECONDS
        for record in records
    )


def unreachable_seconds(objective_seconds: float) -> float:
    """Return how long an upstream is silent before its flows count as lost.

    :param objective_seconds: the latency that callers of the route expect.
    """
    return max(UNREACHABLE_OBJECTIVES * objective_seconds, SHORTEST_UNREACHABLE_SECONDS)


def is_unreachable(
    state: TokenRelayState, record: UpstreamRecord, seconds: float, now: float
) -> bool:
    """Tell whether an upstream has been silent for so long that its flows are lost.

    A single slow or full upstream does not count while it answers or announces itself,
    nor one that has left nothing unanswered itself: it may have had nothing to answer.
    An entry that asks it rarely counts its silence from the first question.
    """
    if now - state.answered_at > OWN_CONTACT_SECONDS:
        return False
    load = state.load_of(record)
    if now - max(load.answered_at, load.asked_at) < seconds:
        return False
    if not load.unanswered or now - load.suspect_since < SIGNS_APART_SECONDS:
        return False
    silence = state.silences.get(record.data_centre)
    if silence is not None and len(silence.addresses) >= SILENT_UPSTREAMS:
        return now - silence.since >= seconds
    return len(load.silent_flows) >= UNREACHABLE_FLOWS and _is_unheard(state, record)


def _forget_old_silence(load: UpstreamLoad, now: float) -> None:
    """Start over after a time without questions or signs of silence.

    The fabric may have moved a flow, so that another entry saw its answer.
    """
    if now - max(load.questioned_at, load.silent_at) > LONGEST_SUSPICION_SECONDS:
        load.asked_at = now
        load.unanswered = 0
        load.silent_flows.clear()


def _is_unheard(state: TokenRelayState, record: UpstreamRecord) -> bool:
    """Tell whether an upstream has stopped announcing itself while others go on."""
    heard_at = state.registry.heard_at
    last = heard_at.get(record.identity.address)
    if last is None:
        return False
    silence = max(heard_at.values()) - last
    return silence > UNHEARD_ANNOUNCEMENTS * state.announcement_seconds
