"""Gradual increase of the load on an upstream that is new or has become cold."""

from __future__ import annotations

from ..state.leases import EntryLeases, OwnedLeases, Ramp
from ..state.registry import UpstreamRegistry
from ..state.types import UpstreamRecord
from ..state.upstream_keys import upstream_key

# Successes that end a stage, for each request that the stage allows in flight.
SUCCESSES_PER_SLOT = 8
# How many entries may hold a lease in the first stages; later there is no such limit.
STAGE_ENTRIES = (1, 2)
# The weight for new flows starts at 1 / FLOW_WEIGHT_DIVISOR.
FLOW_WEIGHT_DIVISOR = 8
ANNOUNCEMENTS_PER_FLOW_STEP = 2


def ramp_concurrency(stage: int, slots: int) -> int:
    """Return the limit of a stage on requests in flight from all entries together."""
    return min(slots, 1 << min(stage, slots.bit_length()))


def ramp_entries(stage: int, entries: int) -> int:
    """Return how many entries may hold a lease in a stage."""
    return STAGE_ENTRIES[stage] if stage < len(STAGE_ENTRIES) else entries


def is_warm(stage: int, slots: int) -> bool:
    """Return whether the ramp has ended."""
    return stage >= len(STAGE_ENTRIES) and ramp_concurrency(stage, slots) >= slots


def count_successes(ramp: Ramp, successes: int, slots: int) -> Ramp:
    """Return the ramp after more successes, which may advance it by one stage."""
    if is_warm(ramp.stage, slots):
        return ramp
    total = ramp.successes + successes
    if total < SUCCESSES_PER_SLOT * ramp_concurrency(ramp.stage, slots):
        return ramp._replace(successes=total)
    return ramp._replace(stage=ramp.stage + 1, successes=0)


def restart_ramp(ramp: Ramp) -> Ramp:
    """Return the ramp at the first stage of its next epoch."""
    return Ramp(epoch=ramp.epoch + 1)


def restart_data_centre_ramps(
    registry: UpstreamRegistry, owned: OwnedLeases, held: EntryLeases, data_centre: str
) -> None:
    """Restart the ramps of a data centre that returns to service.

    Every entry does so on the same change, so a new owner, which adopts the newest
    epoch reported to it, starts at the first stage too.
    """
    for address, record in registry.records.items():
        if record.data_centre != data_centre:
            continue
        registry.ramp_base[address] = record.sequence
        key = upstream_key(record.identity)
        book, lease = owned.books.get(key), held.leases.get(key)
        if book is not None:
            book.ramp = restart_ramp(book.ramp)
        if lease is not None:
            held.leases[key] = lease._replace(epoch=lease.epoch + 1, stage=0)


def flow_weight(record: UpstreamRecord, base: int = 0) -> float:
    """Return the weight of an upstream for new flows, above 0.0 and up to 1.0.

    The announcements since the ramp started are counted, so all entries with the same
    record compute the same weight, and a service without requests ramps too. The
    weight doubles from 1/8 every two announcements and is 1.0 after six.

    :param base: the announcement sequence at which the ramp restarted.
    """
    steps = max(0, record.sequence - base) // ANNOUNCEMENTS_PER_FLOW_STEP
    return min(1.0, float(1 << min(steps, FLOW_WEIGHT_DIVISOR)) / FLOW_WEIGHT_DIVISOR)
