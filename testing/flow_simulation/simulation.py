"""The upstreams, entries and findings of a play, and its clock."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from random import Random
from typing import NamedTuple

from chervilstage.state.routing import Routing
from chervilstage.state.types import Address, UpstreamPhase, UpstreamRecord
from testing.support.timeline import STARTED_AT, Action, Timeline
from testing.support.token_relays import (
    FRONT,
    SERVICE,
    RelayDriver,
    make_record,
    make_routing,
)

# The second route is removed and added again while the first one stays.
FRONTS = (FRONT, Address(host="198.18.0.2", port=443))
UPSTREAMS = range(1, 7)
ENTRIES = range(4)


class Conditions(NamedTuple):
    """What a play is like; shares are between 0 and 1, times in seconds.

    ``slow`` is the share of opening packets that are answered late, ``delayed`` and
    ``reordered`` those of callers' packets. A removed route is added again after
    ``route_gap_seconds`` or more.
    """

    outage_seconds: float
    slow: float
    delayed: float
    reordered: float
    route_gap_seconds: float


class FindingKind(StrEnum):
    """How an open flow of a living upstream was broken."""

    RESET = "reset by an entry"
    STRAYED = "reached another upstream"


class Finding(NamedTuple):
    """A break of the FLOW rule; ``at`` is in seconds since the start of the play."""

    seed: int
    at: float
    kind: FindingKind
    reason: str
    entry: int
    port: int


class HeldPacket(NamedTuple):
    """A packet that an entry keeps for news that it lacks, since ``at``, in seconds."""

    at: float
    relay: Action


class Upstream:
    """One run of an upstream; ``half`` and ``open`` hold the tokens of flows by port.

    :param number: makes its address, which a later run may take over.
    """

    def __init__(self, *, number: int, label: int, incarnation: int) -> None:
        self.number = number
        self.label = label
        self.incarnation = incarnation
        self.sequence = 1
        self.phase = UpstreamPhase.READY
        self.is_alive = True
        self.half: dict[int, int] = {}
        self.open: dict[int, int] = {}

    def record(self) -> UpstreamRecord:
        """Return what it announces."""
        return make_record(
            self.number,
            incarnation=self.incarnation,
            sequence=self.sequence,
            phase=self.phase,
        )._replace(label=self.label)


class Entry:
    """An entry as the fabric and the callers meet it; times are in seconds.

    ``driver`` is None while it is down, ``held`` the packets that wait for news.
    ``lateness`` is how long control news may take to it. ``still_since`` is when it
    last began to stand still.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.driver: RelayDriver | None = None
        self.lateness = 0.0
        self.unready_until = 0.0
        self.still_since = 0.0
        self.still_until = 0.0
        self.misses = 0
        self.held: list[HeldPacket] = []

    def is_ready(self, now: float) -> bool:
        """Tell whether it answers the fabric's check."""
        if self.driver is None or now < max(self.unready_until, self.still_until):
            return False
        state = self.driver.state
        return state.routing is not None and state.upstreams_from is not None


class Simulation:
    """The state of one play.

    ``announced`` is what the control replicas know of the upstreams. ``news_late_at``
    is when control news was last late at an entry. ``removed_at`` is when routes were
    last removed; in seconds. ``counts`` counts what is no break
    of the rule.
    """

    def __init__(self, *, seed: int, conditions: Conditions) -> None:
        self.seed = seed
        self.rng = Random(seed)
        self.conditions = conditions
        self.timeline = Timeline()
        self.upstreams = {
            number: Upstream(number=number, label=number, incarnation=1)
            for number in UPSTREAMS
        }
        self.announced: dict[int, UpstreamRecord] = {}
        self.entries = [Entry(number=number) for number in ENTRIES]
        self.rotation = list(self.entries)
        self.routing = make_table(1, FRONTS)
        self.removed_at: dict[Address, float] = {}
        self.news_late_at = 0.0
        self.findings: list[Finding] = []
        self.counts: Counter[str] = Counter()

    def routes(self, front: Address) -> bool:
        """Tell whether the newest routing table has a route."""
        return any(route.address == front for route in self.routing.routes)

    def keeps_route(self, front: Address, since: float) -> bool:
        """Tell whether a route has not been missing from the table since a time."""
        return self.routes(front) and self.removed_at.get(front, 0.0) < since

    def find(self, kind: FindingKind, reason: str, entry: Entry, port: int) -> None:
        """Take note of a break of the rule."""
        at = round(self.timeline.now - STARTED_AT, 3)
        self.findings.append(
            Finding(
                seed=self.seed,
                at=at,
                kind=kind,
                reason=reason,
                entry=entry.number,
                port=port,
            )
        )


def make_table(version: int, fronts: tuple[Address, ...]) -> Routing:
    """Return a routing table with one route for each front."""
    tables = [make_routing(SERVICE, version=version, front=front) for front in fronts]
    routes = tuple(
        table.routes[0]._replace(name=f"r{number}")
        for number, table in enumerate(tables)
    )
    return tables[0]._replace(routes=routes)
