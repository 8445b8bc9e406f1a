"""Plays requests at an offered load and tells what callers got."""

from __future__ import annotations

from collections.abc import Iterable
from math import inf
from random import Random
from typing import NamedTuple

from chervilstage.coordination.token_relay import sweep_flows
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
TRIES = 3
# Callers try again at once.
RETRY_SECONDS = (0.0, 0.01)
SWEEP_SECONDS = 1.0
UPSTREAMS = range(1, 9)
# The spread of the sizes of uploads, as the standard deviation of their logarithm.
SIZE_SPREAD = 0.6
LARGEST_SIZES = 6


class RequestKind(NamedTuple):
    """Requests of one kind; times are in seconds, sizes in bytes.

    ``share`` is the part of the requests that are of this kind.
    """

    front: Address
    traffic: TrafficKind
    size: int
    share: float
    objective: float
    deadline: float


UPLOAD = RequestKind(
    front=Address(host="198.18.0.2", port=443),
    traffic=TrafficKind.UPLOAD,
    size=80_000,
    share=0.25,
    objective=1.9,
    deadline=10.0,
)
BOOKING = RequestKind(
    front=Address(host="198.18.0.1", port=443),
    traffic=TrafficKind.NON_IDEMPOTENT,
    size=900,
    share=0.75,
    objective=0.7,
    deadline=4.9,
)
KINDS = (UPLOAD, BOOKING)


class Conditions(NamedTuple):
    """What a play is like.

    ``load`` is what the requests would use of all links if none was repeated. A link
    keeps ``buffer_seconds`` of its rate. Without ``is_paced`` the entries send each
    packet at once, without ``is_limited`` they take every request.
    """

    load: float
    is_paced: bool = True
    is_limited: bool = True
    entries: int = 4
    seconds: float = 20.0
    bytes_per_second: float = 500_000.0
    buffer_seconds: float = 0.05

    def capacity_bytes(self) -> float:
        """Return what all links carry while requests come."""
        return self.entries * self.bytes_per_second * self.seconds


class Request(NamedTuple):
    """What became of a request; ``seconds`` is None if it was not answered in time."""

    kind: RequestKind
    size: int
    started_at: float
    seconds: float | None
    tries: int

    def is_in_time(self) -> bool:
        """Tell whether it was answered within its objective."""
        return self.seconds is not None and self.seconds <= self.kind.objective


class Outcome(NamedTuple):
    """What callers got and what the links carried."""

    conditions: Conditions
    requests: tuple[Request, ...]
    carried_bytes: int
    lost: int

    def of(self, kind: RequestKind) -> list[Request]:
        """Return the requests of a kind."""
        return [request for request in self.requests if request.kind is kind]

    def share_in_time(self, kind: RequestKind) -> float:
        """Return the share of a kind that was answered within its objective."""
        requests = self.of(kind)
        return sum(request.is_in_time() for request in requests) / len(requests)

    def offered(self) -> float:
        """Return what all requests need of the links, as a share."""
        return self.share_of_links(self.requests)

    def goodput(self) -> float:
        """Return what the requests answered in time need of the links, as a share."""
        return self.share_of_links(r for r in self.requests if r.is_in_time())

    def share_of_links(self, requests: Iterable[Request]) -> float:
        """Return what requests need of the links if nothing is repeated."""
        needed = sum(wire_bytes(request.size) for request in requests)
        return needed / self.conditions.capacity_bytes()

    def quantile(self, kind: RequestKind, share: float) -> float:
        """Return the time in which a share of the requests of a kind was answered."""
        times = sorted(r.seconds or kind.deadline for r in self.of(kind))
        return times[min(len(times) - 1, int(share * len(times)))]


def wire_bytes(size: int) -> int:
    """Return what a request takes of a link if no packet of it is repeated."""
    packets = -(-size // DATA_BYTES)
    each = HEADER_BYTES + DATAGRAM_OVERHEAD_BYTES
    # The opening packet and the end of the flow carry no data.
    return size + (packets + 2) * each


def play(seed: int, conditions: Conditions) -> Outcome:
    """Play a seed."""
    return _Play(seed=seed, conditions=conditions).run()


class _Play:
    """The state of a play."""

    def __init__(self, *, seed: int, conditions: Conditions) -> None:
        # The requests of a seed do not depend on what becomes of them.
        self.demand = Random(seed)
        self.rng = Random(seed)
        self.conditions = conditions
        self.timeline = Timeline()
        routing = _make_table(KINDS, is_limited=conditions.is_limited)
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
        """Play all requests to their end."""
        conditions = self.conditions
        mean = sum(kind.share * wire_bytes(kind.size) for kind in KINDS)
        requests = conditions.load * conditions.capacity_bytes() / mean
        rate = requests / conditions.seconds
        at = self.demand.expovariate(rate)
        while at < conditions.seconds:
            self.timeline.after(at, self.begin)
            at += self.demand.expovariate(rate)
        self.timeline.after(SWEEP_SECONDS, self.sweep)
        self.timeline.play(conditions.seconds + UPLOAD.deadline)
        return Outcome(
            conditions=conditions,
            requests=tuple(self.requests),
            carried_bytes=sum(link.carried_bytes for link in self.links),
            lost=sum(link.lost for link in self.links),
        )

    def sweep(self) -> None:
        """Let every entry forget what is over."""
        for entry in self.entries:
            sweep_flows(entry.driver.state, self.timeline.now)
        self.timeline.after(SWEEP_SECONDS, self.sweep)

    def begin(self) -> None:
        """Start a request of a kind and a size that are drawn."""
        kind = self.demand.choices(KINDS, [kind.share for kind in KINDS])[0]
        size = kind.size
        if kind is UPLOAD:
            drawn = self.demand.lognormvariate(-(SIZE_SPREAD**2) / 2, SIZE_SPREAD)
            size = int(kind.size * min(LARGEST_SIZES, drawn))
        _Caller(play=self, kind=kind, size=size).attempt()

    def next_caller(self) -> Address:
        """Return the address of a caller that has not been used."""
        self.port += 1
        hosts, port = divmod(self.port, LAST_PORT - FIRST_PORT)
        host = CALLER_HOST.rpartition(".")[0]
        return Address(host=f"{host}.{hosts + 1}", port=FIRST_PORT + port)


class _Caller:
    """A request, and the tries of it so far."""

    def __init__(self, *, play: _Play, kind: RequestKind, size: int) -> None:
        self.play = play
        self.kind = kind
        self.size = size
        self.started_at = play.timeline.now
        self.tries = 0
        self.is_done = False
        self.current: Attempt | None = None
        play.timeline.after(kind.deadline, self.give_up)

    def attempt(self) -> None:
        """Try the request from a new port, through any entry."""
        if self.is_done:
            return
        play = self.play
        self.tries += 1
        self.current = Attempt(
            timeline=play.timeline,
            rng=play.rng,
            entry=play.rng.choice(play.entries),
            caller=play.next_caller(),
            front=self.kind.front,
            size=self.size,
            finish=self.finish,
        )
        self.current.start()

    def finish(self, is_answered: bool) -> None:
        """Note an answer, or try again while tries are left."""
        if self.is_done:
            return
        if not is_answered and self.tries < TRIES:
            pause = self.play.rng.uniform(*RETRY_SECONDS)
            self.play.timeline.after(pause, self.attempt)
            return
        self.is_done = True
        seconds = self.play.timeline.now - self.started_at
        self.note(seconds if is_answered else None)

    def give_up(self) -> None:
        """End a request whose deadline has passed."""
        if not self.is_done:
            self.is_done = True
            self.note(None)
            if self.current is not None:
                self.current.is_done = True

    def note(self, seconds: float | None) -> None:
        """Add the request to those of the play."""
        request = Request(
            kind=self.kind,
            size=self.size,
            started_at=self.started_at - STARTED_AT,
            seconds=seconds,
            tries=self.tries,
        )
        self.play.requests.append(request)


def _make_table(kinds: Iterable[RequestKind], *, is_limited: bool) -> Routing:
    """Return a routing table with one route for each kind of request.

    :param is_limited: whether entries know how long requests may take.
    """
    routes = tuple(
        Route(
            name=f"r{number}",
            address=kind.front,
            kind=kind.traffic,
            timeout_seconds=kind.deadline,
            objective_seconds=kind.objective if is_limited else inf,
            priority=1,
            shares=(ServiceShare(service=SERVICE, weight=1),),
        )
        for number, kind in enumerate(kinds)
    )
    return make_routing(SERVICE)._replace(routes=routes, version=2)
