"""Ownership of the record of an idempotency key, and when its request may run."""

from __future__ import annotations

from collections.abc import Collection
from typing import NamedTuple

from ..errors.requests import KeyExpiredError, KeyMalformedError, KeyReusedError
from ..state.epoch import Epoch, EpochMember, EpochState
from ..state.outcomes import Answered, NotRun, Outcome, Unknown
from ..state.request_records import (
    Answer,
    RecordPhase,
    RecordTable,
    RequestKey,
    RequestRecord,
)
from .epoch_agreement import FENCE_SECONDS, MAXIMUM_CLOCK_SKEW_MS, mark_records_received
from .rendezvous import rendezvous_order


class RecordHolders(NamedTuple):
    """The owner of a key and its second holder."""

    owner: EpochMember
    second: EpochMember | None


class Finish(NamedTuple):
    """Return a known outcome to the caller without running the request."""

    outcome: Outcome


class Relay(NamedTuple):
    """Relay the request to the entry that owns the key."""

    owner: EpochMember


class Join(NamedTuple):
    """Wait for the outcome of the request, which is already running here."""


class CopyFirst(NamedTuple):
    """Copy the record to the second holder before the request may be sent."""

    record: RequestRecord
    second: EpochMember | None


class Wait(NamedTuple):
    """Retry the decision soon; ``outcome`` is for a caller that cannot wait longer."""

    outcome: Outcome


RequestDecision = Finish | Relay | Join | CopyFirst | Wait


class RecordCopy(NamedTuple):
    """A copy of a record for a holder, with the epoch of the sender."""

    epoch: int
    record: RequestRecord


class RecordPush(NamedTuple):
    """A batch of the records of an entry for a member of an epoch."""

    epoch: int
    records: tuple[RequestRecord, ...]
    last: bool


def check_key(
    key: RequestKey, homes: Collection[str], now_ms: int, retention_ms: int
) -> None:
    """Validate a key before its request may run.

    :param retention_ms: how long records are kept.
    :raises KeyMalformedError: the home is unknown or the time stamp is in the future.
    :raises KeyExpiredError: the key is older than the retention.
    """
    if key.home not in homes:
        raise KeyMalformedError(reason=f"unknown data centre {key.home}")
    if key.stamp_ms > now_ms + MAXIMUM_CLOCK_SKEW_MS:
        raise KeyMalformedError(reason="stamp is in the future")
    if now_ms - key.stamp_ms > retention_ms:
        raise KeyExpiredError(age_ms=now_ms - key.stamp_ms, limit_ms=retention_ms)


def find_holders(epoch: Epoch, key: RequestKey) -> RecordHolders | None:
    """Return the holders of a key, or None if its home has no entry."""
    home = [m.name for m in epoch.home_members(key.home)]
    order = rendezvous_order(key.text, home)
    if not order:
        return None
    if len(order) == 1:
        others = [m.name for m in epoch.members if m.data_centre != key.home]
        order += rendezvous_order(key.text, others)[:1]
    members = [m for name in order[:2] if (m := epoch.member(name))]
    return RecordHolders(
        owner=members[0], second=members[1] if len(members) > 1 else None
    )


def has_ownership_lease(
    state: EpochState, home: str, recent_members: Collection[EpochMember]
) -> bool:
    """Return whether no later epoch can have assigned this entry's keys to others.

    For that, a majority of the members, or all members in the home data centre, must
    have been in the current epoch recently.

    :param recent_members: peers that were in the same epoch less than a lease ago.
    """
    confirmed = {*recent_members, state.own}
    members = set(state.current.members)
    if len(confirmed & members) * 2 > len(members):
        return True
    at_home = set(state.current.home_members(home))
    return state.own in at_home and at_home <= confirmed


def begin_request(
    state: EpochState,
    table: RecordTable,
    key: RequestKey,
    digest: bytes,
    attempt: int,
    running: Collection[str],
    now_ms: int,
    now: float,
) -> RequestDecision:
    """Return how this entry should handle a request with a key.

    :param attempt: the number of this attempt, 1 if no attempt came before it.
    :param running: the keys whose requests are running on this entry.
    :raises KeyReusedError: the key belongs to another request.
    :raises RecordsFullError: there is no room for the record.
    """
    holders = find_holders(state.current, key)
    record = table.get(key)
    if record and record.digest != digest:
        raise KeyReusedError
    if record and record.phase is RecordPhase.ANSWERED and record.answer:
        return Finish(outcome=Answered(answer=record.answer))
    if holders is None:
        return Finish(
            outcome=unsent_outcome(attempt, "no holder of the key is reachable")
        )
    if holders.owner != state.own:
        return Relay(owner=holders.owner)
    if key.text in running:
        return Join()
    if record and record.phase is RecordPhase.SENT:
        return Finish(outcome=Unknown(reason="an earlier attempt lost its answer"))
    if record and attempt and attempt < record.refused:
        return Finish(outcome=NotRun(reason="a later attempt was refused"))
    refusal = _refuse_unsafe_key(state, key, record, attempt)
    if refusal:
        return refusal
    if not _can_run(state, key, holders, now):
        return Wait(outcome=unsent_outcome(attempt, "the other holder is not known"))
    return CopyFirst(
        record=_store_next_version(state, table, key, digest, RecordPhase.SENT),
        second=holders.second,
    )


def unsent_outcome(attempt: int, reason: str) -> Outcome:
    """Return the outcome of an attempt that sent nothing.

    Earlier attempts may have sent the request, so it is certain not to have run only if
    this is the first attempt.
    """
    if attempt == 1:
        return NotRun(reason=reason)
    return Unknown(reason=reason)


def can_send(
    state: EpochState,
    record: RequestRecord,
    is_copy_acknowledged: bool,
    recent_members: Collection[EpochMember],
) -> bool:
    """Return whether the request of a record may be sent now.

    :param is_copy_acknowledged: whether the second holder has acknowledged its copy.
    """
    holders = find_holders(state.current, record.key)
    return (
        is_copy_acknowledged
        and holders is not None
        and holders.owner == state.own
        and record.epoch == state.current.number
        and has_ownership_lease(state, record.key.home, recent_members)
    )


def reopen_record(
    table: RecordTable, record: RequestRecord, attempt: int = 0
) -> RequestRecord:
    """Reopen a record whose request did not run, so that a retry may run it.

    The new version keeps the epoch in which the request was sent, so that it never
    overrides a change by the owner in a later epoch.

    :param attempt: the latest attempt that gets the outcome "not run"; an earlier
        attempt that is still in transit must not run after that.
    """
    reopened = record._replace(
        phase=RecordPhase.OPEN,
        version=record.version + 1,
        refused=max(record.refused, attempt),
    )
    merge_record(table, reopened)
    return reopened


def finish_record(
    table: RecordTable, record: RequestRecord, answer: Answer
) -> RequestRecord:
    """Store the answer in a record."""
    finished = record._replace(
        phase=RecordPhase.ANSWERED, version=record.version + 1, answer=answer
    )
    merge_record(table, finished)
    return finished


def receive_copy(state: EpochState, table: RecordTable, copy: RecordCopy) -> bool:
    """Store a copy of a record and return whether to acknowledge it.

    A copy from another epoch, or at an entry that is not a member, is refused. This
    fences an owner that has not learned of the newer epoch.

    :raises RecordsFullError: there is no room for the record.
    """
    if copy.epoch != state.current.number or not state.is_member():
        return False
    merge_record(table, copy.record)
    return True


def merge_record(table: RecordTable, record: RequestRecord) -> None:
    """Store a record unless the stored version is as new; an answer is final."""
    known = table.get(record.key)
    if known is None:
        table.put(record)
    elif _version_order(known) < _version_order(record):
        table.put(record._replace(refused=max(known.refused, record.refused)))


def receive_push(
    state: EpochState, table: RecordTable, sender: str, push: RecordPush
) -> bool:
    """Store records of another entry and return whether to acknowledge them.

    The last batch of a member marks its records as complete.
    """
    if push.epoch != state.current.number:
        return False
    for record in push.records:
        merge_record(table, record)
    if push.last and state.current.member(sender):
        mark_records_received(state, sender)
    return True


def record_acknowledgement(
    table: RecordTable, record: RequestRecord, member: EpochMember
) -> None:
    """Record that a member has acknowledged the current version of a record."""
    if table.records.get(record.key.text) == record:
        table.acknowledged_by[record.key.text].add((member.name, member.incarnation))


def unacknowledged_records(
    state: EpochState, table: RecordTable, member: EpochMember
) -> list[RequestRecord]:
    """Return the records of which a member is a holder and has no acknowledged copy."""
    return [
        record
        for text, record in table.records.items()
        if (member.name, member.incarnation) not in table.acknowledged_by[text]
        and (holders := find_holders(state.current, record.key))
        and member in holders
    ]


def _refuse_unsafe_key(
    state: EpochState, key: RequestKey, record: RequestRecord | None, attempt: int
) -> Finish | Wait | None:
    """Return how to refuse a key that an earlier holder may have tried, else None."""
    epoch = state.current
    if record and record.epoch == epoch.number:
        return None
    if key.stamp_ms < epoch.floor(key.home):
        return Finish(
            outcome=unsent_outcome(attempt, "the record of the key may be lost")
        )
    is_new_key = key.stamp_ms >= epoch.formed_floor_ms
    if state.is_settled() or (is_new_key and key.home not in epoch.joined):
        return None
    return Wait(outcome=unsent_outcome(attempt, "records are being copied"))


def _can_run(
    state: EpochState, key: RequestKey, holders: RecordHolders, now: float
) -> bool:
    if key.home in state.current.fenced and now - state.adopted_at < FENCE_SECONDS:
        return False
    return holders.second is not None or len(state.configured) == 1


def _store_next_version(
    state: EpochState,
    table: RecordTable,
    key: RequestKey,
    digest: bytes,
    phase: RecordPhase,
) -> RequestRecord:
    known = table.get(key)
    record = RequestRecord(
        key=key,
        digest=digest,
        phase=phase,
        epoch=state.current.number,
        version=known.version + 1 if known else 1,
        refused=known.refused if known else 0,
    )
    table.put(record)
    return record


def _version_order(record: RequestRecord) -> tuple[bool, int, int]:
    return (record.phase is RecordPhase.ANSWERED, record.epoch, record.version)
