"""A simulation of requests over data centres, placed by the entries' decisions."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Mapping
from random import Random
from typing import NamedTuple

from chervilstage.coordination.locality import record_data_centre_latency
from chervilstage.coordination.placement import choose_upstream
from chervilstage.coordination.suspicion import (
    record_expected_answer,
    record_missing_answer,
    record_upstream_answer,
)
from chervilstage.state.types import Address, UpstreamRecord

from .timeline import Timeline
from .token_relays import SERVICE, RelayDriver, make_record

# The one-way delay between data centres; within one there is no delay.
INTER_DATA_CENTRE_SECONDS = 0.0014
COPY_DELAY_SECONDS = 0.2
MAX_ATTEMPTS = 3


class LoadProfile(NamedTuple):
    """The load of callers and the upstreams that serve it.

    ``upstreams`` and ``rates`` are numbers of upstreams and of requests a second for
    each data centre. A request occupies a slot for ``work_seconds`` on average.
    ``slow`` lists data centres whose upstreams take ten times as long, ``cut`` those
    that no other data centre reaches.
    """

    upstreams: Mapping[str, int]
    rates: Mapping[str, float]
    entries: int = 4
    slots: int = 2
    work_seconds: float = 0.055
    slow: frozenset[str] = frozenset()
    cut: frozenset[str] = frozenset()


class SimulatedUpstream:
    """An upstream with slots and a short queue; requests beyond both get no answer."""

    def __init__(self, *, record: UpstreamRecord, slots: int) -> None:
        self.record = record
        self.free_slots = slots
        self.waiting: deque[SimulatedRequest] = deque()
        self.max_queue_length = 2 * slots


class SimulatedRequest(NamedTuple):
    """A request of a caller, sent through an entry."""

    entry: RelayDriver
    sent_at: float
    tried: frozenset[Address]


class PlacementResult(NamedTuple):
    """The results of a run.

    ``seconds`` are the sorted times to the answers, ``remote_count`` the requests
    placed in another data centre, ``busiest_over_mean`` the requests of the busiest
    upstream divided by the mean.
    """

    seconds: list[float]
    failed: int
    remote_count: int
    busiest_over_mean: float

    def answered_within(self, seconds: float) -> float:
        """Return the share of requests that were answered within a time."""
        in_time = sum(1 for duration in self.seconds if duration <= seconds)
        return in_time / (len(self.seconds) + self.failed)

    def remote_share(self) -> float:
        """Return the share of requests placed in another data centre."""
        return self.remote_count / (len(self.seconds) + self.failed)


class PlacementSimulation:
    """Simulates requests over time.

    :param prefers_own: whether entries know their data centre and so prefer it.
    """

    def __init__(
        self, *, load: LoadProfile, seed: int, prefers_own: bool = True
    ) -> None:
        self.load = load
        self.rng = Random(seed)
        self.timeline = Timeline()
        self.seconds: list[float] = []
        self.failed = 0
        self.remote_placements = 0
        self.counts: Counter[Address] = Counter()
        records = [
            make_record(number, data_centre=name)._replace(slots=load.slots)
            for number, name in enumerate(
                (n for n, count in load.upstreams.items() for _ in range(count)), 1
            )
        ]
        self.upstreams = {
            r.identity.address: SimulatedUpstream(record=r, slots=load.slots)
            for r in records
        }
        for name, rate in load.rates.items():
            entries = [RelayDriver(records=records) for _ in range(load.entries)]
            for entry in entries:
                entry.state.data_centre = name if prefers_own else ""
                entry.rng = Random(self.rng.random())
            self.schedule_arrivals(name, entries, rate)

    def schedule_arrivals(
        self, name: str, entries: list[RelayDriver], rate: float
    ) -> None:
        """Schedule requests through random entries at a mean rate a second."""

        def send() -> None:
            """Send one request and schedule the next one."""
            entry = self.rng.choice(entries)
            request = SimulatedRequest(
                entry=entry, sent_at=self.timeline.now, tried=frozenset()
            )
            self.place(name, request)
            self.timeline.call_later(self.rng.expovariate(rate), send)

        self.timeline.call_later(self.rng.expovariate(rate), send)

    def place(self, name: str, request: SimulatedRequest) -> None:
        """Place a request, or its copy after an upstream did not answer."""
        state, now = request.entry.state, self.timeline.now
        record = choose_upstream(state, SERVICE, request.tried, now, request.entry.rng)
        if record is None or len(request.tried) >= MAX_ATTEMPTS:
            self.failed += 1
            return
        state.load_of(record).in_flight += 1
        record_expected_answer(state, record, now)
        upstream = self.upstreams[record.identity.address]
        is_away = record.data_centre != name
        cut = self.load.cut
        is_lost = is_away and bool({record.data_centre, name} & cut)
        is_full = len(upstream.waiting) >= upstream.max_queue_length
        if is_lost or (not upstream.free_slots and is_full):
            self.timeline.call_later(
                COPY_DELAY_SECONDS, lambda: self.retry(name, request, record)
            )
            return
        self.remote_placements += is_away
        self.counts[record.identity.address] += 1
        if upstream.free_slots:
            self.start_request(upstream, request)
        else:
            upstream.waiting.append(request)

    def retry(
        self, name: str, request: SimulatedRequest, record: UpstreamRecord
    ) -> None:
        """Record that an upstream did not answer, and try another one."""
        state = request.entry.state
        record_missing_answer(state, record, self.timeline.now)
        state.load_of(record).in_flight -= 1
        tried = request.tried | {record.identity.address}
        self.place(name, request._replace(tried=tried))

    def start_request(
        self, upstream: SimulatedUpstream, request: SimulatedRequest
    ) -> None:
        """Run a request in a slot."""
        upstream.free_slots -= 1
        slow_factor = 10.0 if upstream.record.data_centre in self.load.slow else 1.0
        mean_seconds = slow_factor * self.load.work_seconds
        seconds = mean_seconds * self.rng.uniform(0.8, 1.2)
        self.timeline.call_later(
            seconds, lambda: self.finish_request(upstream, request)
        )

    def finish_request(
        self, upstream: SimulatedUpstream, request: SimulatedRequest
    ) -> None:
        """Answer a request and begin the next queued one."""
        state, now = request.entry.state, self.timeline.now
        record = upstream.record
        duration = now - request.sent_at
        if record.data_centre != state.data_centre:
            duration += 2 * INTER_DATA_CENTRE_SECONDS
        load = state.load_of(record)
        load.in_flight -= 1
        load.record_latency(duration)
        record_data_centre_latency(state, record, duration)
        record_upstream_answer(state, record, now)
        self.seconds.append(duration)
        upstream.free_slots += 1
        if upstream.waiting:
            self.start_request(upstream, upstream.waiting.popleft())

    def run(self, seconds: float) -> PlacementResult:
        """Simulate some seconds and return the results of the requests."""
        self.timeline.run(seconds)
        mean_count = sum(self.counts.values()) / len(self.upstreams)
        return PlacementResult(
            seconds=sorted(self.seconds),
            failed=self.failed,
            remote_count=self.remote_placements,
            busiest_over_mean=max(self.counts.values()) / mean_count,
        )
