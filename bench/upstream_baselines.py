"""Choices of an upstream that use no leases, to compare with."""

from __future__ import annotations

from collections import Counter

from chervilstage.state.upstream_keys import upstream_key
from testing.support.upstream_fakes import SERVICE, FakeEntry
from testing.support.upstream_load import FakeLoad, Pick


def keys_of(load: FakeLoad, entry: FakeEntry) -> list[int]:
    """Return the upstreams that an entry knows and that have a free slot to it.

    Each entry alone keeps to the slots that an upstream announces.
    """
    records = entry.registry.of_service(SERVICE)
    return [
        key
        for record in records
        if (key := upstream_key(record.identity)) in load.upstreams
        and entry.held.in_flight[key] < record.slots
    ]


def pick_random(load: FakeLoad, entry: FakeEntry) -> int | None:
    """Take any upstream."""
    keys = keys_of(load, entry)
    return load.group.rng.choice(keys) if keys else None


def round_robin() -> Pick:
    """Return a choice that takes the upstreams in turn, by entry."""
    turns: Counter[str] = Counter()

    def pick(load: FakeLoad, entry: FakeEntry) -> int | None:
        keys = keys_of(load, entry)
        if not keys:
            return None
        turns[entry.name] += 1
        return keys[turns[entry.name] % len(keys)]

    return pick


def pick_least_in_flight(load: FakeLoad, entry: FakeEntry) -> int | None:
    """Take the upstream with the fewest requests of this entry, any of equal ones."""
    keys = keys_of(load, entry)
    load.group.rng.shuffle(keys)
    return min(keys, key=lambda key: entry.held.in_flight[key], default=None)


def picks() -> dict[str, Pick | None]:
    """Return the choices by variant; the first is the one that is built."""
    return {
        "": None,
        "random": pick_random,
        "round_robin": round_robin(),
        "least_in_flight_local": pick_least_in_flight,
    }
