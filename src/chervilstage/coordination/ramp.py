"""The ramp of an upstream that is fresh or has turned cold."""

from __future__ import annotations

from ..state.leases import HeldLeases, OwnedLeases, Ramp
from ..state.registry import UpstreamRegistry
from ..state.types import UpstreamRecord
from ..state.upstream_keys import upstream_key

SUCCESSES_PER_SLOT = 8
STAGE_ENTRIES = (1, 2)
FLOW_STEPS = 8
ANNOUNCEMENTS_PER_FLOW_STEP = 2


def ramp_width(stage: int, slots: int) -> int:
    """Return how many requests all entries together may have in flight."""
    return min(slots, 1 << min(stage, slots.bit_length()))


def ramp_entries(stage: int, entries: int) -> int:
    """Return how many entries may hold a lease."""
    return STAGE_ENTRIES[stage] if stage < len(STAGE_ENTRIES) else entries


def is_warm(stage: int, slots: int) -> bool:
    """Tell whether the ramp has ended."""
    return stage >= len(STAGE_ENTRIES) and ramp_width(stage, slots) >= slots


def count_successes(ramp: Ramp, successes: int, slots: int) -> Ramp:
    """Widen the ramp by the successes of its present stage."""
    if is_warm(ramp.stage, slots):
        return ramp
    total = ramp.successes + successes
    if total < SUCCESSES_PER_SLOT * ramp_width(ramp.stage, slots):
        return ramp._replace(successes=total)
    return ramp._replace(stage=ramp.stage + 1, successes=0)


def restart(ramp: Ramp) -> Ramp:
    """Return the first stage of the next epoch."""
    return Ramp(epoch=ramp.epoch + 1)


def restart_centre(
    registry: UpstreamRegistry, owned: OwnedLeases, held: HeldLeases, data_centre: str
) -> None:
    """Let the upstreams of a data centre that is back in service ramp again.

    Every entry does so on the same change, so a new owner, which takes the newest
    epoch that is reported to it, starts at the first stage too.
    """
    for address, record in registry.records.items():
        if record.data_centre != data_centre:
            continue
        registry.ramp_base[address] = record.sequence
        key = upstream_key(record.identity)
        book, lease = owned.books.get(key), held.leases.get(key)
        if book is not None:
            book.ramp = restart(book.ramp)
        if lease is not None:
            held.leases[key] = lease._replace(epoch=lease.epoch + 1, stage=0)


def flow_weight(record: UpstreamRecord, base: int = 0) -> float:
    """Return how far an upstream has ramped for flows, above 0.0 up to 1.0.

    The announcements since the ramp started are counted, so all entries that hold the
    record come to the same weight, and a service without requests ramps too. The
    weight doubles from 1/8 every two announcements and is 1.0 after six.

    :param base: the sequence at which the ramp started again.
    """
    steps = max(0, record.sequence - base) // ANNOUNCEMENTS_PER_FLOW_STEP
    return min(1.0, float(1 << min(steps, FLOW_STEPS)) / FLOW_STEPS)
