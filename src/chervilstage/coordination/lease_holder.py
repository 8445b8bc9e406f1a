"""An entry asks for capacity leases, uses them and returns them."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from typing import NamedTuple

from ..state.capacity import Permit
from ..state.leases import (
    AskItem,
    Demand,
    GrantItem,
    HeldLease,
    HeldLeases,
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
RENEW_SECONDS = CAPACITY_LEASE_SECONDS / 2
RETRY_SECONDS = 0.25
PROMPT_SECONDS = 0.1
WAITING_RETRY_SECONDS = 0.5
PEAK_DECAY_SECONDS = 3.0
AVERAGE_SECONDS = 1.0
DEMAND_IDLE = 0.05
# Some slots beyond the recent peak keep an ordinary burst from waiting for a grant.
HEADROOM = 1.25
# An owner counts the slots of a silent entry for 5 s after their lease; a request that
# is sent later than this after its permit could find the slot given on.
PERMIT_SECONDS = 1.5
# An upstream learns of a cancelled attempt only when its connection closes; a slot
# given back at once could be used again before that.
LINGER_SECONDS = 0.1
NEED_PERCENT = 100
MOST_NEED = 10_000
# What an entry without slots counts as holding; it goes before all others in need.
LEAST_SLOTS = 0.25


class AskTo(NamedTuple):
    """Send an ask to an owner, which may be this entry."""

    owner: str
    number: int
    items: tuple[AskItem, ...]


def note_demand(held: HeldLeases, service: str, concurrent: int, now: float) -> Demand:
    """Take the number of requests that run or wait and return the demand."""
    known = held.demand.get(service, Demand(at=now))
    passed = known.at - now
    peak = max(known.peak * math.exp(passed / PEAK_DECAY_SECONDS), concurrent)
    weight = 1 - math.exp(passed / AVERAGE_SECONDS)
    demand = Demand(
        peak=peak if peak >= DEMAND_IDLE else 0.0,
        average=known.average + weight * (concurrent - known.average),
        at=now,
    )
    held.demand[service] = demand
    return demand


def usable(lease: HeldLease, now: float) -> int:
    """Return the limit of a lease, 0 once it has run out by this entry's clock."""
    return lease.limit if now < lease.expires_at else 0


def free_slots(held: HeldLeases, key: int, now: float) -> int:
    """Return how many requests may be started at an upstream now."""
    lease = held.leases.get(key)
    return usable(lease, now) - held.in_flight[key] if lease else 0


def may_still_send(permit: Permit, now: float) -> bool:
    """Tell whether a permit is young enough for its request to be sent.

    An entry that was frozen between the two has lost the slot meanwhile.
    """
    return now - permit.granted_at < PERMIT_SECONDS


def take_slot(held: HeldLeases, key: int) -> None:
    """Start a request."""
    held.in_flight[key] += 1


def give_slot(held: HeldLeases, key: int, *, succeeded: bool, cold: bool) -> None:
    """End a request; a limit above its target shrinks with it."""
    held.in_flight[key] -= 1
    lease = held.leases.get(key)
    if lease is None:
        return
    limit = min(lease.limit, max(lease.target, held.in_flight[key]))
    held.leases[key] = lease._replace(
        limit=limit,
        successes=lease.successes + succeeded,
        cold=lease.cold + cold,
        due=lease.due or cold,
    )


def can_return(
    slot: LingeringSlot, held: HeldLeases, registry: UpstreamRegistry, now: float
) -> bool:
    """Tell whether an upstream has ended an attempt that was given up unanswered.

    A paused upstream starts the attempt when it resumes. One that is warming up has
    no room for another beside it, so its slot waits until it is heard again.
    """
    since = slot.ended_at
    record = registry.find(slot.key)
    lease = held.leases.get(slot.key)
    if record is not None and lease and not is_warm(lease.stage, record.slots):
        heard_at = registry.heard_at[record.identity.address]
        if heard_at < slot.ended_at:
            return False
        since = heard_at
    return now - since >= LINGER_SECONDS


def receive_grant(held: HeldLeases, sender: str, item: GrantItem, now: float) -> bool:
    """Take a grant and tell whether more requests may be started by it.

    Only the answer to the newest ask counts: the entry has bound itself in that ask.
    """
    lease = held.leases.get(item.key)
    if lease is None or lease.owner != sender:
        return False
    if item.report:
        held.leases[item.key] = lease._replace(due=True)
        return False
    if item.number != lease.number:
        return False
    limit = item.target
    if item.target < lease.limit:
        limit = max(item.target, min(lease.limit, held.in_flight[item.key]))
    held.leases[item.key] = lease._replace(
        limit=limit,
        target=item.target,
        expires_at=lease.asked_at + HOLDER_LEASE_SECONDS,
        answered=True,
        reported=max(lease.reported, item.target),
        epoch=item.epoch,
        stage=item.stage,
    )
    return limit > lease.limit and now < lease.asked_at + HOLDER_LEASE_SECONDS


def make_asks(
    held: HeldLeases,
    table: MemberTable,
    records: Iterable[UpstreamRecord],
    wanted: Callable[[UpstreamRecord], bool],
    now: float,
) -> list[AskTo]:
    """Return the asks that are due, one message to each owner.

    :param wanted: tells whether an upstream may take new work.
    """
    by_service: dict[str, list[UpstreamRecord]] = {}
    for record in records:
        by_service.setdefault(record.identity.service, []).append(record)
    by_owner: dict[str, list[AskItem]] = {}
    number = held.number + 1
    for service, group in by_service.items():
        usable_count = sum(map(wanted, group))
        keys = [upstream_key(record.identity) for record in group]
        running = sum(held.in_flight[key] for key in keys)
        waiting = held.waiting[service]
        demand = note_demand(held, service, running + waiting, now)
        share = math.ceil(HEADROOM * demand.peak / usable_count) if usable_count else 0
        need = _need(held, keys, max(demand.average, waiting), now)
        for record in group:
            owner = owner_of(table, record)
            want = min(share, record.slots) if wanted(record) else 0
            key = upstream_key(record.identity)
            short = waiting > 0
            if owner and _is_due(held, key, record, owner, want, need, short, now):
                item = _ask(held, key, owner, want, need, number, now)
                by_owner.setdefault(owner, []).append(item)
    if by_owner:
        held.number = number
    return [
        AskTo(owner=owner, number=number, items=tuple(items))
        for owner, items in by_owner.items()
    ]


def forget_leases(held: HeldLeases, keys: Iterable[int]) -> None:
    """Forget the leases on upstreams that are gone and have nothing in flight."""
    kept = set(keys)
    for key in [k for k in held.leases if k not in kept and not held.in_flight[k]]:
        del held.leases[key]
        del held.in_flight[key]


def _need(held: HeldLeases, keys: list[int], load: float, now: float) -> int:
    slots = sum(usable(held.leases[key], now) for key in keys if key in held.leases)
    return min(MOST_NEED, round(NEED_PERCENT * load / max(slots, LEAST_SLOTS)))


def _is_due(
    held: HeldLeases,
    key: int,
    record: UpstreamRecord,
    owner: str,
    want: int,
    need: int,
    waiting: bool,
    now: float,
) -> bool:
    lease = held.leases.get(key, HeldLease())
    since = now - lease.asked_at
    holding = _holding(held, key, lease, want, now)
    if lease.owner != owner or (lease.due and since >= PROMPT_SECONDS / 2):
        return True
    if not lease.answered:
        return since >= RETRY_SECONDS
    if since >= RENEW_SECONDS:
        return want > 0 or lease.reported > 0 or holding > 0
    if want > lease.wanted or holding < lease.reported:
        return since >= PROMPT_SECONDS
    if waiting and lease.limit < want:
        return since >= WAITING_RETRY_SECONDS
    # An owner that still counts on an old, high need would not give the slot away.
    if lease.limit and lease.need > 2 * need + NEED_PERCENT / 2:
        return since >= PROMPT_SECONDS
    return _has_ramp_news(lease, record) and since >= PROMPT_SECONDS


def _has_ramp_news(lease: HeldLease, record: UpstreamRecord) -> bool:
    if is_warm(lease.stage, record.slots):
        return False
    return lease.successes - lease.told >= SUCCESSES_PER_SLOT * max(1, lease.limit)


def _holding(
    held: HeldLeases, key: int, lease: HeldLease, want: int, now: float
) -> int:
    limit = usable(lease, now)
    if limit > lease.target:
        limit = max(lease.target, min(limit, held.in_flight[key]))
    return max(held.in_flight[key], min(limit, want))


def _ask(
    held: HeldLeases,
    key: int,
    owner: str,
    want: int,
    need: int,
    number: int,
    now: float,
) -> AskItem:
    lease = held.leases.get(key, HeldLease())
    holding = _holding(held, key, lease, want, now)
    held.leases[key] = lease._replace(
        owner=owner,
        limit=holding,
        target=min(holding, lease.target),
        number=number,
        asked_at=now,
        answered=False,
        due=False,
        wanted=want,
        need=need,
        reported=holding,
        told=lease.successes,
    )
    return AskItem(
        key=key,
        want=want,
        held=holding,
        need=need,
        successes=lease.successes,
        cold=lease.cold,
        epoch=lease.epoch,
        stage=lease.stage,
    )
