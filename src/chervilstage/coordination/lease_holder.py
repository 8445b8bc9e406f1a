"""The holder side of capacity leases: an entry requests, uses and returns slots."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..state.capacity import Permit
from ..state.leases import (
    Demand,
    EntryLease,
    EntryLeases,
    LeaseGrantItem,
    LeaseRequestItem,
    LingeringSlot,
)
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import UpstreamRecord
from ..state.upstream_keys import upstream_key
from .lease_owner import CAPACITY_LEASE_SECONDS, CLOCK_RATE_ERROR
from .ownership import owner_of
from .ramp import SUCCESSES_PER_SLOT, is_warm

HOLDER_LEASE_SECONDS = CAPACITY_LEASE_SECONDS * (1 - CLOCK_RATE_ERROR)
# Minimum times since the last request for a lease before the next one: to renew it, to
# repeat an unanswered request, to report a change, and while requests wait for slots.
RENEW_SECONDS = CAPACITY_LEASE_SECONDS / 2
RETRY_SECONDS = 0.25
URGENT_REQUEST_SECONDS = 0.1
WAITING_RETRY_SECONDS = 0.5
PEAK_DECAY_SECONDS = 3.0
AVERAGING_SECONDS = 1.0
# A recent peak below this counts as no demand.
MINIMUM_PEAK_DEMAND = 0.05
# Slots beyond the recent peak keep an ordinary burst from waiting for a grant.
PEAK_HEADROOM = 1.25
# An owner counts the slots of a silent entry for 5 s after their lease. A request that
# is sent later than this after its permit could use a slot that another entry holds.
PERMIT_VALID_SECONDS = 1.5
# An upstream notices a cancelled attempt only when its connection closes; a slot that
# is released at once could be used again before that.
LINGER_SECONDS = 0.1
# A need is the load of a service in percent of the slots that the entry holds for it.
NEED_PERCENT = 100
MAXIMUM_NEED = 10_000
# An entry without slots is counted with this many, so that its need ranks first.
MINIMUM_COUNTED_SLOTS = 0.25


class SendCapacityRequest(NamedTuple):
    """Send a capacity request to an owner, which may be this entry."""

    owner: str
    number: int
    items: tuple[LeaseRequestItem, ...]


def update_demand(
    held: EntryLeases, service: str, concurrent: int, now: float
) -> Demand:
    """Update the demand of a service from its running and waiting requests."""
    known = held.demand.get(service, Demand(at=now))
    negative_age = known.at - now
    peak = max(known.peak * math.exp(negative_age / PEAK_DECAY_SECONDS), concurrent)
    weight = 1 - math.exp(negative_age / AVERAGING_SECONDS)
    demand = Demand(
        peak=peak if peak >= MINIMUM_PEAK_DEMAND else 0.0,
        average=known.average + weight * (concurrent - known.average),
        at=now,
    )
    held.demand[service] = demand
    return demand


def effective_limit(lease: EntryLease, now: float) -> int:
    """Return the limit of a lease, 0 once it has expired by this entry's clock."""
    return lease.limit if now < lease.expires_at else 0


def free_slots(held: EntryLeases, key: int, now: float) -> int:
    """Return how many requests may be started at an upstream now."""
    lease = held.leases.get(key)
    return effective_limit(lease, now) - held.in_flight[key] if lease else 0


def is_permit_valid(permit: Permit, now: float) -> bool:
    """Return whether a permit is recent enough for its request to be sent.

    An entry that was suspended after the permit may have lost the slot meanwhile.
    """
    return now - permit.granted_at < PERMIT_VALID_SECONDS


def acquire_slot(held: EntryLeases, key: int) -> None:
    """Count a request as in flight at an upstream."""
    held.in_flight[key] += 1


def release_slot(held: EntryLeases, key: int, *, succeeded: bool, cold: bool) -> None:
    """Count a request as ended and lower a limit that is above its target."""
    held.in_flight[key] -= 1
    lease = held.leases.get(key)
    if lease is None:
        return
    limit = min(lease.limit, max(lease.target, held.in_flight[key]))
    held.leases[key] = lease._replace(
        limit=limit,
        successes=lease.successes + succeeded,
        cold=lease.cold + cold,
        is_request_due=lease.is_request_due or cold,
    )


def can_release_slot(
    slot: LingeringSlot, held: EntryLeases, registry: UpstreamRegistry, now: float
) -> bool:
    """Return whether an upstream has ended an attempt that was cancelled unanswered.

    A paused upstream starts the attempt when it resumes. One that is warming up has
    no capacity for a second one, so its slot is kept until its next announcement.
    """
    since = slot.ended_at
    record = registry.find_by_key(slot.key)
    lease = held.leases.get(slot.key)
    if record is not None and lease and not is_warm(lease.stage, record.slots):
        heard_at = registry.last_received_at[record.identity.address]
        if heard_at < slot.ended_at:
            return False
        since = heard_at
    return now - since >= LINGER_SECONDS


def receive_grant(
    held: EntryLeases, sender: str, item: LeaseGrantItem, now: float
) -> bool:
    """Apply a grant and return whether it allows more requests to be started.

    Only the answer to the newest capacity request counts, because the entry has
    limited itself to the slots that it reported in that request.
    """
    lease = held.leases.get(item.key)
    if lease is None or lease.owner != sender:
        return False
    if item.report:
        held.leases[item.key] = lease._replace(is_request_due=True)
        return False
    if item.number != lease.request_number:
        return False
    running = held.in_flight[item.key]
    limit = item.target
    if item.target < lease.limit:
        limit = max(item.target, min(lease.limit, running))
    # The owner waits for a slot that it takes for idle, and asks no other entry.
    has_unreported_use = running > max(item.target, lease.reported_running)
    held.leases[item.key] = lease._replace(
        limit=limit,
        target=item.target,
        expires_at=lease.asked_at + HOLDER_LEASE_SECONDS,
        answered=True,
        is_request_due=lease.is_request_due or has_unreported_use,
        accounted_slots=max(lease.accounted_slots, item.target),
        epoch=item.epoch,
        stage=item.stage,
    )
    return limit > lease.limit and now < lease.asked_at + HOLDER_LEASE_SECONDS


def make_capacity_requests(
    held: EntryLeases,
    table: MemberTable,
    records: Iterable[UpstreamRecord],
    accepts_work: Callable[[UpstreamRecord], bool],
    now: float,
) -> list[SendCapacityRequest]:
    """Return the capacity requests that are due, one message to each owner.

    :param accepts_work: returns whether an upstream may take new work.
    """
    by_service: dict[str, list[UpstreamRecord]] = {}
    for record in records:
        by_service.setdefault(record.identity.service, []).append(record)
    by_owner: dict[str, list[LeaseRequestItem]] = {}
    number = held.last_request_number + 1
    for service, group in by_service.items():
        usable_count = sum(map(accepts_work, group))
        keys = [upstream_key(record.identity) for record in group]
        running = sum(held.in_flight[key] for key in keys)
        waiting = held.waiting[service]
        demand = update_demand(held, service, running + waiting, now)
        slots_per_upstream = (
            math.ceil(PEAK_HEADROOM * demand.peak / usable_count) if usable_count else 0
        )
        need = _need(held, keys, max(demand.average, waiting), now)
        for record in group:
            owner = owner_of(table, record)
            want = min(slots_per_upstream, record.slots) if accepts_work(record) else 0
            key = upstream_key(record.identity)
            is_waiting = waiting > 0
            if owner and _is_request_due(
                held, key, record, owner, want, need, is_waiting, now
            ):
                item = _make_request_item(held, key, owner, want, need, number, now)
                by_owner.setdefault(owner, []).append(item)
    if by_owner:
        held.last_request_number = number
    return [
        SendCapacityRequest(owner=owner, number=number, items=tuple(items))
        for owner, items in by_owner.items()
    ]


def remove_leases(held: EntryLeases, keys: Iterable[int]) -> None:
    """Remove leases on upstreams that are not among the keys and have no requests."""
    present_keys = set(keys)
    for key in [
        k for k in held.leases if k not in present_keys and not held.in_flight[k]
    ]:
        del held.leases[key]
        del held.in_flight[key]


def _need(held: EntryLeases, keys: list[int], load: float, now: float) -> int:
    """Return a load in percent of the slots that this entry holds at some upstreams."""
    slots = sum(
        effective_limit(held.leases[key], now) for key in keys if key in held.leases
    )
    return min(
        MAXIMUM_NEED, round(NEED_PERCENT * load / max(slots, MINIMUM_COUNTED_SLOTS))
    )


def _is_request_due(
    held: EntryLeases,
    key: int,
    record: UpstreamRecord,
    owner: str,
    want: int,
    need: int,
    waiting: bool,
    now: float,
) -> bool:
    lease = held.leases.get(key, EntryLease())
    elapsed = now - lease.asked_at
    held_slots = _held_slots(held, key, lease, want, now)
    if lease.owner != owner or (
        lease.is_request_due and elapsed >= URGENT_REQUEST_SECONDS / 2
    ):
        return True
    if not lease.answered:
        return elapsed >= RETRY_SECONDS
    if elapsed >= RENEW_SECONDS:
        return want > 0 or lease.accounted_slots > 0 or held_slots > 0
    if want > lease.requested_slots or held_slots < lease.accounted_slots:
        return elapsed >= URGENT_REQUEST_SECONDS
    if waiting and lease.limit < want:
        return elapsed >= WAITING_RETRY_SECONDS
    # An owner with an outdated, higher need would not grant the slot to another entry.
    if lease.limit and lease.need > 2 * need + NEED_PERCENT / 2:
        return elapsed >= URGENT_REQUEST_SECONDS
    return _has_ramp_progress(lease, record) and elapsed >= URGENT_REQUEST_SECONDS


def _has_ramp_progress(lease: EntryLease, record: UpstreamRecord) -> bool:
    if is_warm(lease.stage, record.slots):
        return False
    return lease.successes - lease.reported_successes >= SUCCESSES_PER_SLOT * max(
        1, lease.limit
    )


def _held_slots(
    held: EntryLeases, key: int, lease: EntryLease, want: int, now: float
) -> int:
    limit = effective_limit(lease, now)
    if limit > lease.target:
        limit = max(lease.target, min(limit, held.in_flight[key]))
    return max(held.in_flight[key], min(limit, want))


def _make_request_item(
    held: EntryLeases,
    key: int,
    owner: str,
    want: int,
    need: int,
    number: int,
    now: float,
) -> LeaseRequestItem:
    lease = held.leases.get(key, EntryLease())
    held_slots = _held_slots(held, key, lease, want, now)
    held.leases[key] = lease._replace(
        owner=owner,
        limit=held_slots,
        target=min(held_slots, lease.target),
        request_number=number,
        asked_at=now,
        answered=False,
        is_request_due=False,
        requested_slots=want,
        need=need,
        accounted_slots=held_slots,
        reported_successes=lease.successes,
        reported_running=held.in_flight[key],
    )
    return LeaseRequestItem(
        key=key,
        want=want,
        held=held_slots,
        need=need,
        successes=lease.successes,
        cold=lease.cold,
        epoch=lease.epoch,
        stage=lease.stage,
        running=held.in_flight[key],
    )
