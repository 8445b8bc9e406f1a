"""The owner side of capacity leases: division of the slots of an upstream."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from ..state.leases import (
    Claim,
    LeaseBook,
    LeaseGrantItem,
    LeaseRequestItem,
    OwnedLeases,
    Ramp,
)
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry, is_leaving
from ..state.types import UpstreamRecord
from .ownership import grantable_share, owner_of, remaining_entries, upstream_name
from .ramp import count_successes, ramp_concurrency, ramp_entries, restart_ramp
from .rendezvous import rendezvous_order

CAPACITY_LEASE_SECONDS = 4.0
# The clocks of two VMs differ in rate by far less than this.
CLOCK_RATE_ERROR = 0.01
# A request that is in flight when its lease expires continues at the upstream, at most
# until its deadline; the default deadline of a service is 5 s.
IN_FLIGHT_SECONDS = 5.0
# Both sides of a partition detect it within one membership lease and a heartbeat.
PARTITION_DETECTION_SECONDS = 2.0
OWNER_LEASE_SECONDS = CAPACITY_LEASE_SECONDS * (1 + CLOCK_RATE_ERROR)
TAKEOVER_SECONDS = OWNER_LEASE_SECONDS + IN_FLIGHT_SECONDS + PARTITION_DETECTION_SECONDS
REPORT_REQUEST_SECONDS = 0.25
# A holder keeps its slot unless another entry's need is 1.5 times as high, so that
# entries of similar need do not take slots from each other in turn.
HOLDER_ADVANTAGE = 1.5
# Shares of the capacity of an upstream are compared in thousandths.
SHARE_SCALE = 1_000


class Grant(NamedTuple):
    """Send a grant to an entry, which may be this one."""

    entry: str
    item: LeaseGrantItem


def receive_capacity_request(
    owned: OwnedLeases,
    registry: UpstreamRegistry,
    table: MemberTable,
    sender: str,
    number: int,
    items: Sequence[LeaseRequestItem],
    now: float,
) -> list[Grant]:
    """Apply the capacity request of an entry and return the resulting grants."""
    update_ownership(owned, registry, table, now)
    grants: list[Grant] = []
    for item in items:
        record = registry.find_by_key(item.key)
        if record is None or not _is_owner(table, record, now):
            continue
        if number <= owned.last_request_numbers.get((item.key, sender), -1):
            continue
        owned.last_request_numbers[(item.key, sender)] = number
        book = _get_or_create_book(owned, table, record, item.key)
        previous_epoch = book.ramp.epoch
        apply_request_item(book, table, record, sender, number, item, now)
        changed = reallocate_slots(book, table, record, now)
        if book.ramp.epoch != previous_epoch:
            changed = set(book.claims)
        grants += _make_grants(book, item.key, sorted(changed | {sender}))
    return grants


def update_ownership(
    owned: OwnedLeases, registry: UpstreamRegistry, table: MemberTable, now: float
) -> None:
    """Remove the books of upstreams that this entry no longer owns.

    If the share that this entry may grant has grown, the takeover starts again, because
    another entry may have granted the rest.

    After a pause of the process all books are removed, because other entries may own
    the upstreams since.
    """
    paused = now - owned.checked_at > table.lease_seconds
    owned.checked_at = now
    if paused or not table.is_own_lease_valid(now):
        owned.books.clear()
        owned.live = ()
    live = tuple(n for n in table.live() if table.is_staying(n))
    if live == owned.live:
        return
    owned.live = live
    owned.live_since = now
    for key, book in list(owned.books.items()):
        record = registry.find_by_key(key)
        if record is None or owner_of(table, record) != table.name:
            del owned.books[key]
            continue
        share = grantable_share(table, record, SHARE_SCALE)
        if share > book.share:
            book.takeover_started_at, book.reported_entries = now, set()
            book.precounted_entries = set(book.claims)
            book.reported_slots = sum(c.occupied for c in book.claims.values())
        book.share = share


def tick_owner(
    owned: OwnedLeases, registry: UpstreamRegistry, table: MemberTable, now: float
) -> list[Grant]:
    """Expire leases, grant free slots and request missing reports."""
    update_ownership(owned, registry, table, now)
    grants: list[Grant] = []
    for key, book in list(owned.books.items()):
        record = registry.find_by_key(key)
        if record is None:
            del owned.books[key]
            continue
        grants += _make_grants(
            book, key, sorted(reallocate_slots(book, table, record, now))
        )
        grants += _request_reports(book, table, key, now)
    return grants


def apply_request_item(
    book: LeaseBook,
    table: MemberTable,
    record: UpstreamRecord,
    sender: str,
    number: int,
    item: LeaseRequestItem,
    now: float,
) -> None:
    """Apply one item of a capacity request to a lease book."""
    if sender not in book.reported_entries and not is_takeover_complete(
        book, table, now
    ):
        book.reported_slots += item.held if sender not in book.precounted_entries else 0
        known = Ramp(epoch=item.epoch, stage=item.stage)
        if known[:2] > book.ramp[:2]:
            book.ramp = known
    book.reported_entries.add(sender)
    claim = book.claims.get(sender)
    if claim is not None and item.epoch == book.ramp.epoch:
        # The first report after a restart may include successes from before it.
        if claim.epoch == item.epoch:
            successes = max(0, item.successes - claim.successes)
            book.ramp = count_successes(book.ramp, successes, record.slots)
        if item.cold > claim.cold:
            book.ramp = restart_ramp(book.ramp)
    book.claims[sender] = Claim(
        number=number,
        want=item.want,
        need=item.need,
        occupied=item.held,
        target=item.held,
        expires_at=now + OWNER_LEASE_SECONDS,
        successes=item.successes,
        cold=item.cold,
        epoch=item.epoch,
        running=item.running,
    )


def reallocate_slots(
    book: LeaseBook, table: MemberTable, record: UpstreamRecord, now: float
) -> set[str]:
    """Divide the slots again and return the entries whose target changed."""
    _expire_claims(book, now)
    active = {n: c for n, c in book.claims.items() if now < c.expires_at}
    concurrency = ramp_concurrency(book.ramp.stage, record.slots)
    limit = 0 if is_leaving(record) else grantable_share(table, record, concurrency)
    if not is_takeover_complete(book, table, now):
        limit = min(limit, book.reported_slots)
    maximum_entries = ramp_entries(book.ramp.stage, len(table.members) + 1)
    targets = divide_slots(active, upstream_name(record), limit, maximum_entries)
    changed = set()
    for name, claim in active.items():
        total = sum(c.occupied for c in book.claims.values())
        free = max(0, limit - total)
        target = min(targets.get(name, 0), claim.occupied + free)
        if target != claim.target:
            changed.add(name)
        occupied = max(claim.occupied, target)
        book.claims[name] = claim._replace(target=target, occupied=occupied)
    return changed


def divide_slots(
    claims: dict[str, Claim], upstream: str, limit: int, maximum_entries: int
) -> dict[str, int]:
    """Divide a limit by need, one slot per round, and return the targets.

    Slots that other entries use cannot be returned yet, so they are not divided.

    :param limit: the number of slots of the upstream.
    :param maximum_entries: how many entries may get slots.
    """
    rank = {n: i for i, n in enumerate(rendezvous_order(upstream, claims))}

    def sort_key(name: str) -> tuple[float, int]:
        """Return the sort key of an entry; the highest need sorts first."""
        claim = claims[name]
        advantage = HOLDER_ADVANTAGE if claim.occupied else 1.0
        return (-claim.need * advantage, rank[name])

    ranked = sorted((n for n, c in claims.items() if c.want), key=sort_key)[
        :maximum_entries
    ]
    targets = dict.fromkeys(ranked, 0)
    divisible = limit - sum(c.running for n, c in claims.items() if n not in targets)
    while divisible > 0:
        unsatisfied = [n for n in ranked if targets[n] < claims[n].want][:divisible]
        if not unsatisfied:
            break
        for name in unsatisfied:
            targets[name] += 1
        divisible -= len(unsatisfied)
    return targets


def is_takeover_complete(book: LeaseBook, table: MemberTable, now: float) -> bool:
    """Return whether every lease of an earlier owner has expired or been reported."""
    if now - book.takeover_started_at >= TAKEOVER_SECONDS:
        return True
    return book.reported_entries.issuperset({*remaining_entries(table), *table.live()})


def _is_owner(table: MemberTable, record: UpstreamRecord, now: float) -> bool:
    return owner_of(table, record) == table.name and table.is_own_lease_valid(now)


def _get_or_create_book(
    owned: OwnedLeases, table: MemberTable, record: UpstreamRecord, key: int
) -> LeaseBook:
    if key not in owned.books:
        share = grantable_share(table, record, SHARE_SCALE)
        owned.books[key] = LeaseBook(since=owned.live_since, share=share)
    return owned.books[key]


def _expire_claims(book: LeaseBook, now: float) -> None:
    for name, claim in list(book.claims.items()):
        grace = IN_FLIGHT_SECONDS if claim.occupied else 0.0
        if now >= claim.expires_at + grace:
            del book.claims[name]


def _make_grants(book: LeaseBook, key: int, names: Sequence[str]) -> list[Grant]:
    return [
        Grant(
            entry=name,
            item=LeaseGrantItem(
                key=key,
                number=book.claims[name].number,
                target=book.claims[name].target,
                epoch=book.ramp.epoch,
                stage=book.ramp.stage,
            ),
        )
        for name in names
        if name in book.claims
    ]


def _request_reports(
    book: LeaseBook, table: MemberTable, key: int, now: float
) -> list[Grant]:
    if (
        is_takeover_complete(book, table, now)
        or now - book.last_solicited_at < REPORT_REQUEST_SECONDS
    ):
        return []
    book.last_solicited_at = now
    item = LeaseGrantItem(key=key, number=0, target=0, epoch=0, stage=0, report=True)
    missing = sorted(set(table.live()) - book.reported_entries)
    return [Grant(entry=name, item=item) for name in missing]
