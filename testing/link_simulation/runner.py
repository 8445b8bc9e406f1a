"""Simulates requests at an offered load and returns the results of the callers."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from random import Random
from typing import NamedTuple

from chervilstage.coordination.token_relay import expire_flows
from chervilstage.state.link import DATAGRAM_OVERHEAD_BYTES
from chervilstage.state.routing import Route, Routing, ServiceShare, TrafficKind
from chervilstage.state.types import Address
from testing.support.timeline import STARTED_AT, Timeline
from testing.support.token_relays import (
    CALLER_HOST,
    HEADER_BYTES,
    SERVICE,
    make_record,
    make_routing,
)

from .attempts import DATA_BYTES, Attempt
from .entries import SimulatedEntry
from .links import SimulatedLink

FIRST_PORT = 1_024
LAST_PORT = 65_535
MAX_ATTEMPTS = 3
# Callers retry almost immediately.
RETRY_DELAY_SECONDS = (0.0, 0.01)
EXPIRY_INTERVAL_SECONDS = 1.0
UPSTREAMS = range(1, 9)
# Standard deviation of the logarithm of upload sizes.
SIZE_LOG_DEVIATION = 0.6
MAX_SIZE_FACTOR = 6


class RequestKind(NamedTuple):
    """Requests of one kind; ``size`` is in bytes.

    ``share`` is the fraction of the requests that are of this kind.
    """

    front: Address
    traffic: TrafficKind
    size: int
    share: float
    objective_seconds: float
    deadline_seconds: float


UPLOAD = RequestKind(
    front=Address(host="198.18.0.2", port=443),
    traffic=TrafficKind.UPLOAD,
    size=80_000,
    share=0.25,
    objective_seconds=1.9,
    deadline_seconds=10.0,
)
BOOKING = RequestKind(
    front=Address(host="198.18.0.1", port=443),
    traffic=TrafficKind.NON_IDEMPOTENT,
    size=900,
    share=0.75,
    objective_seconds=0.7,
    deadline_seconds=4.9,
)
KINDS = (UPLOAD, BOOKING)


class Conditions(NamedTuple):
    """Conditions of a simulation.

    ``load`` is the share of the capacity of all links that the requests need without
    retransmissions. A link buffers ``buffer_seconds`` at its rate. Without ``is_paced``
    the entries send each packet immediately, without ``is_limited`` they admit every
    request.
    """

    load: float
    is_paced: bool = True
    is_limited: bool = True
    entries: int = 4
    seconds: float = 20.0
    bytes_per_second: float = 500_000.0
    buffer_seconds: float = 0.05

    def capacity_bytes(self) -> float:
        """Return the bytes that all links carry while requests start."""
        return self.entries * self.bytes_per_second * self.seconds


class Request(NamedTuple):
    """The result of a request; ``seconds`` is None if it was not answered in time."""

    kind: RequestKind
    size: int
    started_at: float
    seconds: float | None
    attempts: int

    def is_in_time(self) -> bool:
        """Return whether it was answered within its objective."""
        return self.seconds is not None and self.seconds <= self.kind.objective_seconds


class Outcome(NamedTuple):
    """Results of the requests; ``lost`` counts the datagrams that the links dropped."""

    conditions: Conditions
    requests: tuple[Request, ...]
    carried_bytes: int
    lost: int

    def requests_of(self, kind: RequestKind) -> list[Request]:
        """Return the requests of a kind."""
        return [request for request in self.requests if request.kind is kind]

    def share_in_time(self, kind: RequestKind) -> float:
        """Return the share of a kind that was answered within its objective."""
        requests = self.requests_of(kind)
        return sum(request.is_in_time() for request in requests) / len(requests)

    def offered(self) -> float:
        """Return the share of the links' capacity that all requests need."""
        return self.share_of_links(self.requests)

    def goodput(self) -> float:
        """Return the share of the links' capacity for requests answered in time."""
        return self.share_of_links(r for r in self.requests if r.is_in_time())

    def share_of_links(self, requests: Iterable[Request]) -> float:
        """Return the share of the links' capacity for requests sent without loss."""
        needed = sum(wire_bytes(request.size) for request in requests)
        return needed / self.conditions.capacity_bytes()

    def quantile(self, kind: RequestKind, share: float) -> float:
        """Return a quantile of a kind's answer times.

        A request without an answer counts with its deadline.
        """
        times = sorted(
            r.seconds or kind.deadline_seconds for r in self.requests_of(kind)
        )
        return times[min(len(times) - 1, int(share * len(times)))]


def wire_bytes(size: int) -> int:
    """Return the bytes that a request needs on a link without retransmissions."""
    packets = -(-size // DATA_BYTES)
    overhead_bytes = HEADER_BYTES + DATAGRAM_OVERHEAD_BYTES
    # The opening packet and the end of the flow carry no data.
    return size + (packets + 2) * overhead_bytes


def run_seed(seed: int, conditions: Conditions) -> Outcome:
    """Run a seed."""
    return _Simulation(seed=seed, conditions=conditions).run()


class _Simulation:
    """The state of one run."""

    def __init__(self, *, seed: int, conditions: Conditions) -> None:
        # A separate generator: the requests of a seed do not depend on their outcome.
        self.request_rng = Random(seed)
        self.rng = Random(seed)
        self.conditions = conditions
        self.timeline = Timeline()
        routing = _make_routing_table(KINDS, is_limited=conditions.is_limited)
        records = [make_record(number) for number in UPSTREAMS]
        self.links = [
            SimulatedLink(
                timeline=self.timeline,
                bytes_per_second=conditions.bytes_per_second,
                buffer_seconds=conditions.buffer_seconds,
                delay_seconds=0.0005,
            )
            for _ in range(conditions.entries)
        ]
        self.entries = [
            SimulatedEntry(
                name=f"entry-{number}",
                timeline=self.timeline,
                link=link,
                routing=routing,
                records=records,
                is_paced=conditions.is_paced,
            )
            for number, link in enumerate(self.links)
        ]
        self.port = FIRST_PORT
        self.requests: list[Request] = []

    def run(self) -> Outcome:
        """Run all requests to their end."""
        conditions = self.conditions
        mean_bytes = sum(kind.share * wire_bytes(kind.size) for kind in KINDS)
        request_count = conditions.load * conditions.capacity_bytes() / mean_bytes
        rate = request_count / conditions.seconds
        at = self.request_rng.expovariate(rate)
        while at < conditions.seconds:
            self.timeline.call_later(at, self.start_request)
            at += self.request_rng.expovariate(rate)
        self.timeline.call_later(EXPIRY_INTERVAL_SECONDS, self.expire_all_flows)
        self.timeline.run(conditions.seconds + UPLOAD.deadline_seconds)
        return Outcome(
            conditions=conditions,
            requests=tuple(self.requests),
            carried_bytes=sum(link.carried_bytes for link in self.links),
            lost=sum(link.lost_datagrams for link in self.links),
        )

    def expire_all_flows(self) -> None:
        """Expire finished flows at every entry."""
        for entry in self.entries:
            expire_flows(entry.driver.state, self.timeline.now)
        self.timeline.call_later(EXPIRY_INTERVAL_SECONDS, self.expire_all_flows)

    def start_request(self) -> None:
        """Start a request with a random kind and size."""
        kind = self.request_rng.choices(KINDS, [kind.share for kind in KINDS])[0]
        size = kind.size
        if kind is UPLOAD:
            size_factor = self.request_rng.lognormvariate(
                -(SIZE_LOG_DEVIATION**2) / 2, SIZE_LOG_DEVIATION
            )
            size = int(kind.size * min(MAX_SIZE_FACTOR, size_factor))
        _Caller(simulation=self, kind=kind, size=size).start_attempt()

    def next_caller(self) -> Address:
        """Return a caller address that has not been used."""
        self.port += 1
        hosts, port = divmod(self.port, LAST_PORT - FIRST_PORT)
        host = CALLER_HOST.rpartition(".")[0]
        return Address(host=f"{host}.{hosts + 1}", port=FIRST_PORT + port)


class _Caller:
    """A request and its attempts so far."""

    def __init__(
        self, *, simulation: _Simulation, kind: RequestKind, size: int
    ) -> None:
        self.simulation = simulation
        self.kind = kind
        self.size = size
        self.started_at = simulation.timeline.now
        self.attempt_count = 0
        self.is_done = False
        self.current_attempt: Attempt | None = None
        simulation.timeline.call_later(kind.deadline_seconds, self.handle_deadline)

    def start_attempt(self) -> None:
        """Attempt the request from a new port, through a random entry."""
        if self.is_done:
            return
        simulation = self.simulation
        self.attempt_count += 1
        self.current_attempt = Attempt(
            timeline=simulation.timeline,
            rng=simulation.rng,
            entry=simulation.rng.choice(simulation.entries),
            caller=simulation.next_caller(),
            front=self.kind.front,
            size=self.size,
            on_finished=self.handle_attempt_end,
        )
        self.current_attempt.start()

    def handle_attempt_end(self, is_answered: bool) -> None:
        """Record an answer, or retry while attempts are left."""
        if self.is_done:
            return
        if not is_answered and self.attempt_count < MAX_ATTEMPTS:
            delay = self.simulation.rng.uniform(*RETRY_DELAY_SECONDS)
            self.simulation.timeline.call_later(delay, self.start_attempt)
            return
        self.is_done = True
        seconds = self.simulation.timeline.now - self.started_at
        self.record_result(seconds if is_answered else None)

    def handle_deadline(self) -> None:
        """End a request whose deadline has passed."""
        if not self.is_done:
            self.is_done = True
            self.record_result(None)
            if self.current_attempt is not None:
                self.current_attempt.is_done = True

    def record_result(self, seconds: float | None) -> None:
        """Add the request to the results of the run."""
        request = Request(
            kind=self.kind,
            size=self.size,
            started_at=self.started_at - STARTED_AT,
            seconds=seconds,
            attempts=self.attempt_count,
        )
        self.simulation.requests.append(request)


def _make_routing_table(kinds: Iterable[RequestKind], *, is_limited: bool) -> Routing:
    """Return a routing table with one route for each kind of request.

    :param is_limited: whether entries know the objectives of requests.
    """
    routes = tuple(
        Route(
            name=f"r{number}",
            address=kind.front,
            kind=kind.traffic,
            timeout_seconds=kind.deadline_seconds,
            objective_seconds=kind.objective_seconds if is_limited else inf,
            priority=1,
            shares=(ServiceShare(service=SERVICE, weight=1),),
        )
        for number, kind in enumerate(kinds)
    )
    return make_routing(SERVICE)._replace(routes=routes, version=2)
