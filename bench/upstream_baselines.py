"""Baseline selection policies that use no capacity leases."""

from __future__ import annotations

from collections import Counter

from chervilstage.state.upstream_keys import upstream_key
from testing.support.upstream_fakes import SERVICE, FakeEntry
from testing.support.upstream_load import ChooseUpstreamKey, FakeLoad


def keys_with_free_slot(load: FakeLoad, entry: FakeEntry) -> list[int]:
    """Return the upstreams with a free slot according to one entry.

    Each entry applies the announced slots to its own requests alone.
    """
    records = entry.registry.records_of_service(SERVICE)
    return [
        key
        for record in records
        if (key := upstream_key(record.identity)) in load.upstreams
        and entry.held.in_flight[key] < record.slots
    ]


def pick_random(load: FakeLoad, entry: FakeEntry) -> int | None:
    """Pick a random upstream."""
    free_keys = keys_with_free_slot(load, entry)
    return load.group.rng.choice(free_keys) if free_keys else None


def make_round_robin() -> ChooseUpstreamKey:
    """Return a policy that picks the upstreams in turn, separately for each entry."""
    pick_counts: Counter[str] = Counter()

    def pick(load: FakeLoad, entry: FakeEntry) -> int | None:
        free_keys = keys_with_free_slot(load, entry)
        if not free_keys:
            return None
        pick_counts[entry.name] += 1
        return free_keys[pick_counts[entry.name] % len(free_keys)]

    return pick


def pick_least_in_flight(load: FakeLoad, entry: FakeEntry) -> int | None:
    """Pick the upstream with the fewest requests of this entry; ties are random."""
    free_keys = keys_with_free_slot(load, entry)
    load.group.rng.shuffle(free_keys)
    return min(free_keys, key=lambda key: entry.held.in_flight[key], default=None)


def selection_policies() -> dict[str, ChooseUpstreamKey | None]:
    """Return the policies by variant; the first is the implemented one."""
    return {
        "": None,
        "random": pick_random,
        "round_robin": make_round_robin(),
        "least_in_flight_local": pick_least_in_flight,
    }
