"""Distribution of upstream records between entries: deltas, refreshes and repair."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import NamedTuple

from ..state.dissemination import DigestItem, DisseminationState, SilentRecord
from ..state.members import MemberTable
from ..state.registry import (
    RemovedUpstream,
    UpstreamRegistry,
    has_left,
    is_leaving,
    later_phase,
)
from ..state.types import Address, UpstreamRecord
from ..state.upstream_keys import upstream_key

REFRESH_SECONDS = 0.5
FULL_DIGEST_SECONDS = 5.0
# Repeats cover the loss of several refreshes in a row; the first four are sent within
# the 2 s in which leaving has to take effect.
LEAVING_REPEAT_SECONDS = 10.0
# Time without announcements after which an upstream is removed.
SILENT_SECONDS = 5.0
# Partitions between regions occasionally last an hour.
UNREACHABLE_RETENTION_SECONDS = 7_200.0
RECORDS_PER_MESSAGE = 10
ITEMS_PER_DIGEST = 50


class SendRecords(NamedTuple):
    """Send complete records to a peer."""

    peer: str
    records: tuple[UpstreamRecord, ...]


class SendSilentRecords(NamedTuple):
    """Send the records of silent upstreams to a peer."""

    peer: str
    records: tuple[SilentRecord, ...]


class SendDigest(NamedTuple):
    """Send the newest announcement sequences to a peer."""

    peer: str
    items: tuple[DigestItem, ...]


class FetchRecords(NamedTuple):
    """Ask a peer for the records of these keys."""

    peer: str
    keys: tuple[int, ...]


Effect = SendRecords | SendSilentRecords | SendDigest | FetchRecords


def receive_announcement(
    registry: UpstreamRegistry,
    dissemination: DisseminationState,
    table: MemberTable,
    record: UpstreamRecord,
    now: float,
) -> list[Effect]:
    """Merge an announcement that an upstream sent to this entry.

    Changes beyond sequence and load are sent to all peers at once; the rest waits for
    the next refresh.
    """
    address = record.identity.address
    before = registry.records.get(address)
    if not registry.merge(record, now):
        return []
    dissemination.newly_announced.add(address)
    after = registry.records[address]
    _schedule_leaving_repeats(dissemination, before, after, now)
    if not is_significant_change(before, after):
        return []
    return [SendRecords(peer=p, records=(after,)) for p in sorted(table.members)]


def is_significant_change(before: UpstreamRecord | None, after: UpstreamRecord) -> bool:
    """Return whether two records differ in more than sequence and load."""
    if before is None:
        return True
    return before._replace(sequence=after.sequence, load=after.load) != after


def receive_records(
    registry: UpstreamRegistry,
    dissemination: DisseminationState,
    sender: str,
    records: Sequence[UpstreamRecord],
    now: float,
) -> list[Effect]:
    """Merge the records of a peer and reply to outdated ones with newer ones."""
    newer: list[UpstreamRecord] = []
    for record in records:
        address = record.identity.address
        before = registry.records.get(address)
        if registry.merge(record, now):
            _schedule_leaving_repeats(
                dissemination, before, registry.records[address], now
            )
            continue
        current = registry.newest_record(address)
        if current is not None and is_significant_change(record, current):
            newer.append(current)
    return _record_messages(sender, newer)


def make_refresh(
    registry: UpstreamRegistry,
    dissemination: DisseminationState,
    table: MemberTable,
    now: float,
    rng: Random,
) -> list[Effect]:
    """Return the digests of one refresh interval.

    Every live peer gets the records announced since the last refresh. At a longer
    interval, one random peer gets all records, which repairs lost updates.
    """
    for address, until in list(dissemination.repeat_leaving_until.items()):
        if now >= until or address not in registry.records:
            del dissemination.repeat_leaving_until[address]
    addresses = sorted(
        dissemination.newly_announced | set(dissemination.repeat_leaving_until)
    )
    dissemination.newly_announced.clear()
    items = [
        _make_digest_item(registry.records[a])
        for a in addresses
        if a in registry.records
    ]
    peers = sorted(table.live_names)
    effects = [e for peer in peers for e in _digest_messages(peer, items)]
    if peers and now >= dissemination.full_digest_at:
        dissemination.full_digest_at = now + FULL_DIGEST_SECONDS
        effects += make_full_digest(registry, rng.choice(peers))
    return effects


def make_full_digest(registry: UpstreamRegistry, peer: str) -> list[Effect]:
    """Return a digest of all records for a peer, including silent upstreams.

    An entry that joins while an upstream is silent needs its record, because open flows
    stay with it.
    """
    items = [
        _make_digest_item(record)._replace(is_silent=address in registry.unreachable)
        for address, record in sorted(registry.records.items())
    ]
    items += [
        _make_digest_item(removed_upstream.record)._replace(is_silent=True)
        for _, removed_upstream in sorted(registry.removed_upstreams.items())
        if not removed_upstream.has_ended
    ]
    return _digest_messages(peer, items)


def receive_digest(
    registry: UpstreamRegistry,
    dissemination: DisseminationState,
    sender: str,
    items: Sequence[DigestItem],
    now: float,
) -> list[Effect]:
    """Apply newer items, fetch unknown records and send phases that the peer missed."""
    unknown: list[int] = []
    missed: list[UpstreamRecord] = []
    _apply_silent_items(
        registry, [item for item in items if item.is_silent], unknown, now
    )
    for item in items:
        current = registry.find_by_key(item.key)
        if item.is_silent:
            continue
        if current is None:
            unknown.append(item.key)
            continue
        newer = current._replace(
            sequence=item.sequence, load=item.load, phase=item.phase
        )
        registry.merge(newer, now)
        after = registry.records[current.identity.address]
        _schedule_leaving_repeats(dissemination, current, after, now)
        if after.phase is not item.phase:
            missed.append(after)
    effects: list[Effect] = list(_record_messages(sender, missed))
    if unknown:
        effects.append(FetchRecords(peer=sender, keys=tuple(unknown)))
    return effects


def _apply_silent_items(
    registry: UpstreamRegistry,
    items: Sequence[DigestItem],
    unknown: list[int],
    now: float,
) -> None:
    """Apply the phases of upstreams silent at a peer; add other keys to ``unknown``."""
    if not items:
        return
    removed_by_key = _removed_by_key(registry)
    for item in items:
        known = registry.find_by_key(item.key)
        if known is None and item.key in removed_by_key:
            known = removed_by_key[item.key].record
        if known is None:
            unknown.append(item.key)
            continue
        phase = later_phase(known.phase, item.phase)
        registry.merge(known._replace(phase=phase), now)


def _removed_by_key(registry: UpstreamRegistry) -> dict[int, RemovedUpstream]:
    return {
        upstream_key(d.record.identity): d for d in registry.removed_upstreams.values()
    }


def answer_fetch(
    registry: UpstreamRegistry, sender: str, keys: Sequence[int], now: float
) -> list[Effect]:
    """Return the records that a peer requests."""
    removed_by_key = _removed_by_key(registry)
    reachable: list[UpstreamRecord] = []
    silent: list[SilentRecord] = []
    for key in keys:
        record = registry.find_by_key(key)
        removed_upstream = removed_by_key.get(key)
        if record is not None and record.identity.address in registry.unreachable:
            seconds = now - registry.last_received_at[record.identity.address]
            silent.append(SilentRecord(record=record, seconds=seconds))
        elif record is not None:
            reachable.append(record)
        elif removed_upstream is not None and not removed_upstream.has_ended:
            silent.append(
                SilentRecord(
                    record=removed_upstream.record,
                    seconds=now - removed_upstream.removed_at,
                )
            )
    return [*_record_messages(sender, reachable), *_silent_messages(sender, silent)]


def receive_silent_records(
    registry: UpstreamRegistry, records: Sequence[SilentRecord], now: float
) -> None:
    """Store the records of silent upstreams that a peer sends."""
    for record, seconds in records:
        registry.record_silent(record, now - seconds)


def expire_records(
    registry: UpstreamRegistry, table: MemberTable, now: float
) -> list[UpstreamRecord]:
    """Remove and return silent upstreams; keep those of unreachable data centres.

    A removed upstream gets no new requests or flows. Its last record is kept for its
    open flows, for as long as those of unreachable data centres.
    """
    removed: list[UpstreamRecord] = []
    for address, record in list(registry.records.items()):
        is_unreachable = not is_data_centre_reachable(table, record.data_centre)
        if is_unreachable:
            registry.unreachable.add(address)
        elif address in registry.unreachable and _is_silent(registry, address, now):
            # Announcements of a recovered data centre take time to arrive.
            registry.last_received_at[address] = now - SILENT_SECONDS / 2
        maximum_silence = (
            UNREACHABLE_RETENTION_SECONDS if is_unreachable else SILENT_SECONDS
        )
        if now - registry.last_received_at[address] > maximum_silence:
            removed.append(registry.remove(address, now))
    registry.expire_removed(now - UNREACHABLE_RETENTION_SECONDS)
    return removed


def is_data_centre_reachable(table: MemberTable, data_centre: str) -> bool:
    """Return whether a data centre has a live entry or no entry at all."""
    if data_centre == table.data_centre:
        return True
    peers = [m.peer for m in table.members.values()]
    names = [p.name for p in peers if p.data_centre == data_centre]
    return not names or any(name in table.live_names for name in names)


def _is_silent(registry: UpstreamRegistry, address: Address, now: float) -> bool:
    return now - registry.last_received_at[address] > SILENT_SECONDS


def _schedule_leaving_repeats(
    dissemination: DisseminationState,
    before: UpstreamRecord | None,
    after: UpstreamRecord,
    now: float,
) -> None:
    if before is None or before.identity != after.identity:
        should_repeat = is_leaving(after)
    else:
        should_repeat = before.phase is not after.phase
    if should_repeat:
        address = after.identity.address
        dissemination.repeat_leaving_until[address] = now + LEAVING_REPEAT_SECONDS


def _make_digest_item(record: UpstreamRecord) -> DigestItem:
    return DigestItem(
        key=upstream_key(record.identity),
        sequence=record.sequence,
        load=record.load,
        leaving=is_leaving(record),
        left=has_left(record),
    )


def _record_messages(peer: str, records: Sequence[UpstreamRecord]) -> list[Effect]:
    return [
        SendRecords(peer=peer, records=tuple(records[i : i + RECORDS_PER_MESSAGE]))
        for i in range(0, len(records), RECORDS_PER_MESSAGE)
    ]


def _silent_messages(peer: str, records: Sequence[SilentRecord]) -> list[Effect]:
    return [
        SendSilentRecords(
            peer=peer, records=tuple(records[i : i + RECORDS_PER_MESSAGE])
        )
        for i in range(0, len(records), RECORDS_PER_MESSAGE)
    ]


def _digest_messages(peer: str, items: Sequence[DigestItem]) -> list[Effect]:
    return [
        SendDigest(peer=peer, items=tuple(items[i : i + ITEMS_PER_DIGEST]))
        for i in range(0, len(items), ITEMS_PER_DIGEST)
    ]
