"""Fake upstreams and the load that fake entries put on them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from chervilstage.coordination.health import begin_attempt, end_attempt
from chervilstage.coordination.lease_holder import (
    free_slots,
    give_slot,
    take_slot,
)
from chervilstage.coordination.selection import Candidate, aged_load, choose
from chervilstage.state.capacity import AttemptResult
from chervilstage.state.health import HealthTable
from chervilstage.state.types import UpstreamRecord
from chervilstage.state.upstream_keys import upstream_key

from .upstream_fakes import SERVICE, STEP_SECONDS, FakeEntry, FakeGroup

Pick = Callable[["FakeLoad", FakeEntry], int | None]


class Running(NamedTuple):
    """A request in flight at an upstream; ``bound`` is its entry's own deadline."""

    entry: str
    key: int
    started: float
    ends: float
    refused: bool


class FakeUpstream:
    """Bears one request when cold and twice as many after each step of successes."""

    def __init__(self, *, record: UpstreamRecord, step: int = 8) -> None:
        self.record = record
        self.step = step
        self.successes = 0
        self.running: list[Running] = []
        self.worst_excess = 0
        self.refusals = 0
        self.answered = 0

    def capacity(self) -> int:
        """Return how many requests it bears now."""
        width, left = 1, self.successes
        while left >= self.step * width and width < self.record.slots:
            left -= self.step * width
            width *= 2
        return min(width, self.record.slots)


class FakeLoad:
    """Callers that keep a number of requests open at each entry, or come at a rate.

    ``offered`` is how many requests each entry has open or waiting; ``rates`` adds
    arrivals a second to its ``backlog``.

    :param work: the bounds of the seconds that a request takes.
    :param pick: chooses the upstream of a request by its key, in place of leases.
    """

    def __init__(
        self, *, group: FakeGroup, work: tuple[float, float], pick: Pick | None = None
    ) -> None:
        self.group = group
        self.work = work
        self.pick = pick or self.pick_leased
        self.rates = dict.fromkeys(group.entries, 0.0)
        self.backlog = dict.fromkeys(group.entries, 0)
        self.upstreams: dict[int, FakeUpstream] = {}
        self.offered = dict.fromkeys(group.entries, 0)
        self.health = {name: HealthTable() for name in group.entries}
        self.announced = 0
        self.colds = 0

    def add(self, record: UpstreamRecord) -> FakeUpstream:
        """Start an upstream in place of any at the same address."""
        upstream = FakeUpstream(record=record)
        self.upstreams[upstream_key(record.identity)] = upstream
        return upstream

    def run(self, seconds: float) -> None:
        """Let time pass in steps of the group."""
        steps = round(seconds / 0.05)
        for step in range(steps):
            if (self.announced + step) % 20 == 0:
                self.announce()
            self.group.run(0.05)
            self.end_requests()
            for entry in self.group.entries.values():
                if not entry.frozen:
                    self.start_requests(entry)
        self.announced += steps

    def kill(self, name: str) -> None:
        """End an entry; its connections end with it."""
        del self.group.entries[name]
        for upstream in self.upstreams.values():
            upstream.running = [r for r in upstream.running if r.entry != name]

    def restart(self, name: str) -> None:
        """Start an entry again."""
        self.group.start(name)
        self.health[name] = HealthTable()

    def excess(self) -> int:
        """Return the most requests above its capacity that any upstream had."""
        return max(u.worst_excess for u in self.upstreams.values())

    def announce(self) -> None:
        """Let each upstream announce itself to an entry that answers."""
        up = [e.name for e in self.group.entries.values() if not e.frozen]
        for upstream in self.upstreams.values():
            record = upstream.record
            upstream.record = record._replace(
                sequence=record.sequence + 1, load=len(upstream.running)
            )
            if up:
                self.group.announce(self.group.rng.choice(up), upstream.record)

    def start_requests(self, entry: FakeEntry) -> None:
        """Start what the leases of an entry allow, up to its offered load."""
        held = entry.held
        self.backlog[entry.name] += self.arrivals(self.rates[entry.name])
        busy = sum(held.in_flight.values())
        wanting = max(0, self.offered[entry.name] - busy) + self.backlog[entry.name]
        while wanting:
            held.waiting[SERVICE] = wanting
            key = self.pick(self, entry)
            if key is None:
                break
            wanting -= 1
            self.backlog[entry.name] = max(0, self.backlog[entry.name] - 1)
            take_slot(held, key)
            begin_attempt(self.health[entry.name], key)
            self.start(entry, key, self.upstreams[key])
        held.waiting[SERVICE] = wanting

    def arrivals(self, rate: float) -> int:
        """Return how many requests arrive in one step."""
        count, gap = 0, 0.0
        while rate and (gap := gap + self.group.rng.expovariate(rate)) < STEP_SECONDS:
            count += 1
        return count

    @staticmethod
    def pick_leased(load: FakeLoad, entry: FakeEntry) -> int | None:
        """Choose as the transport does, within the leases of an entry."""
        now, held = load.group.clock(entry), entry.held
        candidates = []
        for record in entry.registry.of_service(SERVICE):
            key = upstream_key(record.identity)
            if key not in load.upstreams or free_slots(held, key, now) <= 0:
                continue
            own = held.in_flight[key]
            age = now - entry.registry.heard_at[record.identity.address]
            candidates.append(
                Candidate(
                    record=record,
                    load=own + aged_load(record.load, own, age),
                    latency=load.health[entry.name].get(key).latency,
                    away=record.data_centre != entry.table.data_centre,
                )
            )
        chosen = choose(candidates, load.group.rng)
        return upstream_key(chosen.record.identity) if chosen else None

    def start(self, entry: FakeEntry, key: int, upstream: FakeUpstream) -> None:
        """Start one request; beyond its capacity the upstream refuses."""
        seconds = self.group.rng.uniform(*self.work)
        busy = sum(not r.refused for r in upstream.running)
        refused = busy >= upstream.capacity()
        upstream.refusals += refused
        now = self.group.network.now
        ends = now + (0.001 if refused else seconds)
        upstream.running.append(
            Running(entry=entry.name, key=key, started=now, ends=ends, refused=refused)
        )
        excess = len(upstream.running) - upstream.capacity()
        upstream.worst_excess = max(upstream.worst_excess, excess)

    def end_requests(self) -> None:
        """End what is done; an entry that is frozen learns of it later."""
        now = self.group.network.now
        for upstream in self.upstreams.values():
            for running in [r for r in upstream.running if r.ends <= now]:
                upstream.running.remove(running)
                upstream.successes += not running.refused
                upstream.answered += not running.refused
                self.end(running)

    def end(self, running: Running) -> None:
        """Tell an entry the result of its request."""
        entry = self.group.entries.get(running.entry)
        if entry is None:
            return
        if entry.frozen:
            entry.inbox.append(lambda: self.end(running))
            return
        now = self.group.clock(entry)
        result = AttemptResult.REFUSED if running.refused else AttemptResult.SUCCEEDED
        verdict = end_attempt(
            self.health[entry.name],
            running.key,
            result,
            running.ends - running.started,
            {},
            0,
            now,
            self.group.rng,
        )
        self.colds += verdict.cold
        give_slot(
            entry.held,
            running.key,
            succeeded=not running.refused,
            cold=verdict.cold,
        )
