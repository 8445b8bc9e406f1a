"""Permits for attempts at upstreams, within the capacity leases of this entry."""

from __future__ import annotations

import time
from collections import defaultdict, deque
from collections.abc import Callable, Sequence
from random import Random
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from ..coordination.flows import records_in_service
from ..coordination.health import (
    EjectionState,
    HealthChange,
    begin_attempt,
    ejection_state,
    end_attempt,
)
from ..coordination.lease_holder import (
    acquire_slot,
    can_release_slot,
    effective_limit,
    free_slots,
    release_slot,
    remove_leases,
    update_demand,
)
from ..coordination.ramp import is_warm, restart_data_centre_ramps
from ..coordination.selection import Candidate, aged_load, choose_candidate
from ..errors.upstreams import NoUpstreamError
from ..state.capacity import AttemptResult, Permit
from ..state.configuration import Configuration
from ..state.counters import Counters
from ..state.health import HealthTable
from ..state.leases import EntryLeases, LingeringSlot, OwnedLeases
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry, is_leaving
from ..state.types import Address, UpstreamRecord
from ..state.upstream_keys import upstream_key
from .application import Hooks
from .event_log import log_event
from .lease_exchange import LeaseExchange
from .peer_link import PeerLink

TICK_SECONDS = 0.05
# After these results the upstream may still be running the attempt, so its slot stays
# in use for some time.
UNANSWERED_RESULTS = frozenset(
    {AttemptResult.CANCELLED, AttemptResult.FAILED, AttemptResult.TIMED_OUT}
)


class Waiter(NamedTuple):
    """A request that waits for a permit; ``permits`` receives the one granted to it.

    ``excluded`` holds the addresses of the upstreams that have refused the request.
    """

    excluded: frozenset[Address]
    event: anyio.Event
    permits: list[Permit]


class UpstreamCapacity:
    """Grants permits for attempts and releases them with the results of the attempts.

    :param configuration: returns the configuration in force.
    """

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        configuration: Callable[[], Configuration],
        members: MemberTable,
        link: PeerLink,
        counters: Counters,
        rng: Random,
    ) -> None:
        self.registry = registry
        self.configuration = configuration
        self.members = members
        self.counters = counters
        self.rng = rng
        self.health = HealthTable()
        self.owned = OwnedLeases()
        # Starting at wall-clock milliseconds numbers the capacity requests of a
        # restarted entry above those of its previous run.
        self.held = EntryLeases(last_request_number=time.time_ns() // 1_000_000)
        self.waiters: dict[str, deque[Waiter]] = defaultdict(deque)
        self.data_centres_out: frozenset[str] = frozenset()
        self.lingering_slots: list[LingeringSlot] = []
        self.exchange = LeaseExchange(
            registry=registry,
            members=members,
            link=link,
            owned=self.owned,
            held=self.held,
            is_accepting_requests=self.is_accepting_requests,
            on_grant=self.serve_waiters,
        )

    async def acquire(
        self, *, service: str, excluded: frozenset[Address], deadline: float
    ) -> Permit:
        """Wait for a permit for one attempt.

        :param excluded: addresses of upstreams that have refused this request.
        :param deadline: monotonic seconds until which to wait.
        :raises NoUpstreamError: no upstream can take the attempt in time.
        """
        self.record_concurrency(service, 1)
        queue = self.waiters[service]
        permit = None if queue else self.try_acquire(service, excluded)
        if permit is not None:
            return permit
        waiter = Waiter(excluded=excluded, event=anyio.Event(), permits=[])
        queue.append(waiter)
        self.held.waiting[service] += 1
        try:
            self.exchange.send_capacity_requests()
            self.serve_waiters(service)
            with anyio.CancelScope(deadline=deadline):
                await waiter.event.wait()
        except anyio.get_cancelled_exc_class():
            for granted in waiter.permits:
                self.release(permit=granted, result=AttemptResult.CANCELLED, seconds=0)
            raise
        finally:
            self.held.waiting[service] -= 1
            if waiter in queue:
                queue.remove(waiter)
        if waiter.permits:
            return waiter.permits[0]
        self.counters.add("permits_refused", service)
        raise NoUpstreamError(service=service)

    def serve_waiters(self, service: str) -> None:
        """Grant permits to waiting requests, first come, first served."""
        queue = self.waiters[service]
        for waiter in list(queue):
            permit = self.try_acquire(service, waiter.excluded)
            if permit is not None:
                queue.remove(waiter)
                waiter.permits.append(permit)
                waiter.event.set()
            elif not waiter.excluded:
                # No upstream has a free slot, so later waiters get no permit either.
                return

    def try_acquire(self, service: str, excluded: frozenset[Address]) -> Permit | None:
        """Return a permit if an upstream can accept one more request now."""
        now = anyio.current_time()
        candidates = [
            candidate
            for record in self.records(service)
            if record.identity.address not in excluded
            and (candidate := self.candidate(record, now)) is not None
        ]
        chosen = choose_candidate(candidates, self.rng)
        if chosen is None:
            return None
        key = upstream_key(chosen.record.identity)
        acquire_slot(self.held, key)
        begin_attempt(self.health, key)
        return Permit(upstream=chosen.record, granted_at=now)

    def candidate(self, record: UpstreamRecord, now: float) -> Candidate | None:
        """Return a record as a candidate if it can accept one more request."""
        key = upstream_key(record.identity)
        state = ejection_state(self.health, key, now)
        if state is EjectionState.EJECTED or not self.is_accepting_requests(record):
            return None
        if free_slots(self.held, key, now) <= 0:
            return None
        own_in_flight = self.held.in_flight[key]
        age = now - self.registry.last_received_at[record.identity.address]
        return Candidate(
            record=record,
            load=own_in_flight + aged_load(record.load, own_in_flight, age),
            latency=self.health.get(key).latency,
            away=record.data_centre != self.members.data_centre,
            trial=state is EjectionState.TRIAL_DUE,
        )

    def release(self, *, permit: Permit, result: AttemptResult, seconds: float) -> None:
        """Release a permit; after an unanswered attempt, its slot is released later.

        :param seconds: how long the attempt took.
        """
        identity = permit.upstream.identity
        key, service = upstream_key(identity), identity.service
        records = [r for r in self.records(service) if self.is_accepting_requests(r)]
        change = end_attempt(
            self.health,
            key,
            result,
            seconds,
            {upstream_key(r.identity): r.slots for r in records},
            sum(r.load for r in records),
            anyio.current_time(),
            self.rng,
        )
        if result in UNANSWERED_RESULTS:
            ended_at = anyio.current_time()
            self.lingering_slots.append(LingeringSlot(key=key, ended_at=ended_at))
        else:
            succeeded = result is AttemptResult.SUCCEEDED
            release_slot(self.held, key, succeeded=succeeded, cold=change.cold)
        self.log_health_change(permit.upstream, change)
        self.serve_waiters(service)
        if change.cold:
            self.exchange.send_capacity_requests()

    def release_lingering_slots(self) -> None:
        """Release the slots of attempts that upstreams have stopped by now."""
        now = anyio.current_time()
        kept = []
        for slot in self.lingering_slots:
            if can_release_slot(slot, self.held, self.registry, now):
                release_slot(self.held, slot.key, succeeded=False, cold=False)
            else:
                kept.append(slot)
        self.lingering_slots = kept

    def log_health_change(self, record: UpstreamRecord, change: HealthChange) -> None:
        """Count and log a change in the health of an upstream."""
        address = record.identity.address
        for name in ("cold", "ejected", "returned"):
            if getattr(change, name):
                self.counters.add(f"upstreams_{name}", record.identity.service)
                log_event(
                    f"upstream_{name}",
                    service=record.identity.service,
                    address=f"{address.host}:{address.port}",
                )

    def records(self, service: str) -> Sequence[UpstreamRecord]:
        """Return the upstreams of a service that operators have not taken out."""
        return records_in_service(
            self.registry.records_of_service(service), self.configuration()
        )

    def is_accepting_requests(self, record: UpstreamRecord) -> bool:
        """Return whether an upstream may receive new requests at all."""
        return (
            not is_leaving(record)
            and record.data_centre not in self.configuration().out
            and record.identity.address not in self.registry.unreachable
        )

    def record_concurrency(self, service: str, new_requests: int) -> None:
        """Record how many requests of a service run or wait.

        :param new_requests: how many more requests to count.
        """
        running = sum(
            self.held.in_flight[upstream_key(r.identity)]
            for r in self.registry.records_of_service(service)
        )
        concurrent = running + self.held.waiting[service] + new_requests
        update_demand(self.held, service, concurrent, anyio.current_time())

    def on_configuration_change(self) -> None:
        """Restart the ramps of upstreams in data centres that are back in service."""
        out = self.configuration().out
        for data_centre in self.data_centres_out - out:
            restart_data_centre_ramps(self.registry, self.owned, self.held, data_centre)
        self.data_centres_out = out

    def gauges(self) -> dict[str, float]:
        """Return the number of upstreams in each state, and the leases held."""
        records = self.registry.records.values()
        keys = {upstream_key(r.identity) for r in records}
        warming = sum(
            1
            for key, book in self.owned.books.items()
            if (record := self.registry.find_by_key(key)) is not None
            and not is_warm(book.ramp.stage, record.slots)
        )
        now = anyio.current_time()
        return {
            "upstreams_taking_work": sum(map(self.is_accepting_requests, records)),
            "upstreams_ejected": len(self.health.ejected_keys() & keys),
            "upstreams_warming_owned": warming,
            "upstreams_unreachable": len(self.registry.unreachable),
            "capacity_leases_held": sum(
                effective_limit(lease, now) for lease in self.held.leases.values()
            ),
        }

    async def run(self) -> None:
        """Renew leases and manage those that this entry owns, until cancelled."""
        while True:
            self.exchange.tick()
            self.release_lingering_slots()
            self.exchange.send_capacity_requests()
            remove_leases(self.held, self.registry.address_by_key)
            for service in [s for s, queue in self.waiters.items() if queue]:
                self.serve_waiters(service)
            await anyio.sleep(TICK_SECONDS)

    async def start(self, group: TaskGroup) -> None:
        """Start the task that manages leases."""
        group.start_soon(self.run)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="capacity", start=self.start)
