"""Detection of upstreams and data centres that leave packets unanswered."""

from __future__ import annotations

from ..state.token_flows import (
    NEVER,
    TokenRelayState,
    UnresponsiveUpstreams,
    UpstreamLoad,
)
from ..state.types import UpstreamRecord

FIRST_SUSPICION_SECONDS = 0.5
MAXIMUM_SUSPICION_SECONDS = 4.0
UNREACHABLE_SECONDS = 0.8
# Two missing answers this far apart are not due to a single pause of this entry.
SILENCE_INTERVAL_SECONDS = 0.3
MINIMUM_SILENT_UPSTREAMS = 2


def record_expected_answer(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> None:
    """Record that a packet that expects an answer was sent to an upstream."""
    load = state.load_of(record)
    _reset_old_silence(load, now)
    load.asked_at = now


def record_upstream_answer(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> None:
    """Record an answer of an upstream and end its suspicion."""
    load = state.load_of(record)
    load.answered_at = now
    load.unanswered = 0
    load.suspect_until = NEVER
    state.unresponsive_upstreams.pop(record.data_centre, None)


def record_missing_answer(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> None:
    """Avoid an upstream for a time that doubles with each missing answer in a row.

    A caller repeats many packets at once, so missing answers at nearly the same time
    count as one.
    """
    load = state.load_of(record)
    _reset_old_silence(load, now)
    if load.unanswered and now - load.last_unanswered_at < SILENCE_INTERVAL_SECONDS:
        return
    load.last_unanswered_at = now
    seconds = min(
        FIRST_SUSPICION_SECONDS * 2.0**load.unanswered, MAXIMUM_SUSPICION_SECONDS
    )
    load.unanswered += 1
    load.suspect_until = max(load.suspect_until, now + seconds)
    unresponsive = state.unresponsive_upstreams.get(record.data_centre)
    if unresponsive is None or now - unresponsive.since > MAXIMUM_SUSPICION_SECONDS:
        unresponsive = state.unresponsive_upstreams[record.data_centre] = (
            UnresponsiveUpstreams(since=now)
        )
    unresponsive.addresses.add(record.identity.address)


def is_suspect(state: TokenRelayState, record: UpstreamRecord, now: float) -> bool:
    """Return whether an upstream should be avoided for new flows."""
    if now < state.load_of(record).suspect_until:
        return True
    unresponsive = state.unresponsive_upstreams.get(record.data_centre)
    if unresponsive is None or now - unresponsive.since > MAXIMUM_SUSPICION_SECONDS:
        return False
    return len(unresponsive.addresses) >= MINIMUM_SILENT_UPSTREAMS


def has_no_reachable_upstream(state: TokenRelayState, now: float) -> bool:
    """Return whether no upstream that may take new flows has answered for some time.

    Another entry may reach them if the fabric routes the packets there. Open flows may
    still be answered by upstreams that take no new ones.
    """
    records = [r for found in state.eligible.values() for r in found]
    if len(records) < MINIMUM_SILENT_UPSTREAMS:
        return False
    return all(
        is_suspect(state, record, now)
        and now - state.load_of(record).answered_at >= UNREACHABLE_SECONDS
        for record in records
    )


def _reset_old_silence(load: UpstreamLoad, now: float) -> None:
    """Reset the count after a time without packets to answer or missing answers.

    The fabric may have moved a flow, so that another entry received its answer.
    """
    if now - max(load.asked_at, load.last_unanswered_at) > MAXIMUM_SUSPICION_SECONDS:
        load.unanswered = 0
