"""Fake upstreams, and the load that fake entries generate on them."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from chervilstage.coordination.health import begin_attempt, end_attempt
from chervilstage.coordination.lease_holder import (
    acquire_slot,
    free_slots,
    release_slot,
)
from chervilstage.coordination.selection import Candidate, aged_load, choose_candidate
from chervilstage.state.capacity import AttemptResult
from chervilstage.state.health import HealthTable
from chervilstage.state.types import UpstreamRecord
from chervilstage.state.upstream_keys import upstream_key

from .upstream_fakes import SERVICE, STEP_SECONDS, FakeEntry, FakeGroup

ChooseUpstreamKey = Callable[["FakeLoad", FakeEntry], int | None]


class RunningRequest(NamedTuple):
    """A request in flight at an upstream."""

    entry: str
    key: int
    started: float
    ends: float
    refused: bool


class FakeUpstream:
    """An upstream that accepts one request at a time when cold, more after successes.

    :param step: the number of successes, for each unit of the current capacity, after
        which the capacity doubles.
    """

    def __init__(self, *, record: UpstreamRecord, step: int = 8) -> None:
        self.record = record
        self.step = step
        self.successes = 0
        self.running: list[RunningRequest] = []
        self.max_excess = 0
        self.refusals = 0
        self.answered = 0

    def capacity(self) -> int:
        """Return the number of concurrent requests that the upstream accepts now."""
        limit, remaining = 1, self.successes
        while remaining >= self.step * limit and limit < self.record.slots:
            remaining -= self.step * limit
            limit *= 2
        return min(limit, self.record.slots)


class FakeLoad:
    """Callers that keep a number of requests open at each entry, or arrive at a rate.

    ``offered_requests`` is the number of requests that each entry keeps in flight or
    waiting; ``rates`` are the requests a second that arrive in its ``backlog``.

    :param work_seconds_bounds: the bounds of the seconds that a request takes.
    :param pick: returns the key of the upstream for a request, by default one with
        a free leased slot.
    """

    def __init__(
        self,
        *,
        group: FakeGroup,
        work_seconds_bounds: tuple[float, float],
        pick: ChooseUpstreamKey | None = None,
    ) -> None:
        self.group = group
        self.work_seconds_bounds = work_seconds_bounds
        self.pick = pick or self.choose_leased_upstream
        self.rates = dict.fromkeys(group.entries, 0.0)
        self.backlog = dict.fromkeys(group.entries, 0)
        self.upstreams: dict[int, FakeUpstream] = {}
        self.offered_requests = dict.fromkeys(group.entries, 0)
        self.health = {name: HealthTable() for name in group.entries}
        self.completed_steps = 0
        self.cold_restarts = 0

    def add(self, record: UpstreamRecord) -> FakeUpstream:
        """Start an upstream in place of any at the same address."""
        upstream = FakeUpstream(record=record)
        self.upstreams[upstream_key(record.identity)] = upstream
        return upstream

    def run(self, seconds: float) -> None:
        """Advance the clock in steps of the group."""
        steps = round(seconds / 0.05)
        for step in range(steps):
            if (self.completed_steps + step) % 20 == 0:
                self.announce()
            self.group.run(0.05)
            self.end_requests()
            for entry in self.group.entries.values():
                if not entry.frozen:
                    self.start_requests(entry)
        self.completed_steps += steps

    def kill(self, name: str) -> None:
        """End an entry and its connections."""
        del self.group.entries[name]
        for upstream in self.upstreams.values():
            upstream.running = [r for r in upstream.running if r.entry != name]

    def restart(self, name: str) -> None:
        """Start an entry again."""
        self.group.start(name)
        self.health[name] = HealthTable()

    def max_upstream_excess(self) -> int:
        """Return the maximum number of requests above capacity at any upstream."""
        return max(u.max_excess for u in self.upstreams.values())

    def announce(self) -> None:
        """Announce each upstream to a random running entry."""
        running_entries = [e.name for e in self.group.entries.values() if not e.frozen]
        for upstream in self.upstreams.values():
            record = upstream.record
            upstream.record = record._replace(
                sequence=record.sequence + 1, load=len(upstream.running)
            )
            if running_entries:
                self.group.announce(
                    self.group.rng.choice(running_entries), upstream.record
                )

    def start_requests(self, entry: FakeEntry) -> None:
        """Start requests of an entry within its leases, up to its offered load."""
        held = entry.held
        self.backlog[entry.name] += self.sample_arrivals(self.rates[entry.name])
        in_flight = sum(held.in_flight.values())
        demand = (
            max(0, self.offered_requests[entry.name] - in_flight)
            + self.backlog[entry.name]
        )
        while demand:
            held.waiting[SERVICE] = demand
            key = self.pick(self, entry)
            if key is None:
                break
            demand -= 1
            self.backlog[entry.name] = max(0, self.backlog[entry.name] - 1)
            acquire_slot(held, key)
            begin_attempt(self.health[entry.name], key)
            self.start_request(entry, key, self.upstreams[key])
        held.waiting[SERVICE] = demand

    def sample_arrivals(self, rate: float) -> int:
        """Return a random number of requests that arrive in one step."""
        count, gap = 0, 0.0
        while rate and (gap := gap + self.group.rng.expovariate(rate)) < STEP_SECONDS:
            count += 1
        return count

    @staticmethod
    def choose_leased_upstream(load: FakeLoad, entry: FakeEntry) -> int | None:
        """Choose an upstream as the transport does, within the leases of an entry."""
        now, held = load.group.clock(entry), entry.held
        candidates = []
        for record in entry.registry.records_of_service(SERVICE):
            key = upstream_key(record.identity)
            if key not in load.upstreams or free_slots(held, key, now) <= 0:
                continue
            own = held.in_flight[key]
            age = now - entry.registry.last_received_at[record.identity.address]
            candidates.append(
                Candidate(
                    record=record,
                    load=own + aged_load(record.load, own, age),
                    latency=load.health[entry.name].get(key).latency,
                    away=record.data_centre != entry.table.data_centre,
                )
            )
        chosen = choose_candidate(candidates, load.group.rng)
        return upstream_key(chosen.record.identity) if chosen else None

    def start_request(self, entry: FakeEntry, key: int, upstream: FakeUpstream) -> None:
        """Start one request, which the upstream refuses beyond its capacity."""
        seconds = self.group.rng.uniform(*self.work_seconds_bounds)
        accepted = sum(not r.refused for r in upstream.running)
        refused = accepted >= upstream.capacity()
        upstream.refusals += refused
        now = self.group.network.now
        ends = now + (0.001 if refused else seconds)
        upstream.running.append(
            RunningRequest(
                entry=entry.name, key=key, started=now, ends=ends, refused=refused
            )
        )
        excess = len(upstream.running) - upstream.capacity()
        upstream.max_excess = max(upstream.max_excess, excess)

    def end_requests(self) -> None:
        """End the requests that are due; frozen entries receive the results later."""
        now = self.group.network.now
        for upstream in self.upstreams.values():
            for running in [r for r in upstream.running if r.ends <= now]:
                upstream.running.remove(running)
                upstream.successes += not running.refused
                upstream.answered += not running.refused
                self.deliver_result(running)

    def deliver_result(self, running: RunningRequest) -> None:
        """Deliver the result of a request to its entry."""
        entry = self.group.entries.get(running.entry)
        if entry is None:
            return
        if entry.frozen:
            entry.inbox.append(lambda: self.deliver_result(running))
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
        self.cold_restarts += verdict.cold
        release_slot(
            entry.held,
            running.key,
            succeeded=not running.refused,
            cold=verdict.cold,
        )
