"""The upstreams, entries, findings and clock of a simulation."""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from random import Random
from typing import NamedTuple

from chervilstage.state.routing import Routing
from chervilstage.state.types import Address, UpstreamPhase, UpstreamRecord
from testing.support.timeline import STARTED_AT, Action, Timeline
from testing.support.token_relays import (
    FRONT_ADDRESS,
    SERVICE,
    RelayDriver,
    make_record,
    make_routing,
)

# The second route is removed and added again while the first one stays.
FRONTS = (FRONT_ADDRESS, Address(host="198.18.0.2", port=443))
UPSTREAMS = range(1, 7)
ENTRIES = range(4)


class Conditions(NamedTuple):
    """Conditions of a simulation; shares are between 0 and 1, times in seconds.

    ``slow`` is the share of opening packets that are answered late. ``delayed`` and
    ``reordered`` are the shares of callers' packets with a long and with a short extra
    delay. A removed route is added again after ``route_gap_seconds`` or more.
    """

    mean_fault_interval_seconds: float
    slow: float
    delayed: float
    reordered: float
    route_gap_seconds: float


class FindingKind(StrEnum):
    """How an open flow of a living upstream was broken."""

    RESET = "reset by an entry"
    WRONG_UPSTREAM = "reached another upstream"


class Finding(NamedTuple):
    """A violation of the FLOW rule; ``at`` is in seconds since the start."""

    seed: int
    at: float
    kind: FindingKind
    reason: str
    entry: int
    port: int


class PendingPacket(NamedTuple):
    """A deferred packet; ``pending_since`` is a time in seconds."""

    pending_since: float
    relay: Action


class Upstream:
    """One incarnation of an upstream, with the tokens of its flows by caller port.

    :param number: determines its address, which a later incarnation reuses.
    """

    def __init__(self, *, number: int, label: int, incarnation: int) -> None:
        self.number = number
        self.label = label
        self.incarnation = incarnation
        self.sequence = 1
        self.phase = UpstreamPhase.READY
        self.is_alive = True
        self.half_open_tokens: dict[int, int] = {}
        self.open_tokens: dict[int, int] = {}

    def current_record(self) -> UpstreamRecord:
        """Return the record that it announces."""
        return make_record(
            self.number,
            incarnation=self.incarnation,
            sequence=self.sequence,
            phase=self.phase,
        )._replace(label=self.label)


class Entry:
    """An entry as the fabric and the callers see it; times are in seconds.

    The fabric is the network that sends callers' packets to the entries in rotation.
    ``driver`` is None while it is down; ``pending_packets`` are deferred.
    ``max_update_delay_seconds`` is the longest delay of an update to it.
    ``paused_since`` is when its last pause began.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.driver: RelayDriver | None = None
        self.max_update_delay_seconds = 0.0
        self.unready_until = 0.0
        self.paused_since = 0.0
        self.paused_until = 0.0
        self.failed_checks = 0
        self.pending_packets: list[PendingPacket] = []

    def is_ready(self, now: float) -> bool:
        """Return whether it passes the fabric's check."""
        if self.driver is None or now < max(self.unready_until, self.paused_until):
            return False
        state = self.driver.state
        return state.routing is not None and state.upstreams_known_since is not None


class Simulation:
    """The state of one simulation.

    ``announced_records`` are the upstream records that the control replicas store.
    ``last_late_update_at`` is when the last control update delayed by more than
    ``FETCH_DELAY_SECONDS`` reaches an entry; ``route_removed_at`` is when each route
    was last removed. Both are in seconds.
    ``counts`` counts events that do not violate the rule.
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
        self.announced_records: dict[int, UpstreamRecord] = {}
        self.entries = [Entry(number=number) for number in ENTRIES]
        self.rotation = list(self.entries)
        self.routing = make_routing_table(1, FRONTS)
        self.route_removed_at: dict[Address, float] = {}
        self.last_late_update_at = 0.0
        self.findings: list[Finding] = []
        self.counts: Counter[str] = Counter()

    def has_route(self, front: Address) -> bool:
        """Return whether the newest routing table has a route."""
        return any(route.address == front for route in self.routing.routes)

    def has_kept_route(self, front: Address, since: float) -> bool:
        """Return whether a route has stayed in the table since a time."""
        return self.has_route(front) and self.route_removed_at.get(front, 0.0) < since

    def record_finding(
        self, kind: FindingKind, reason: str, entry: Entry, port: int
    ) -> None:
        """Record a violation of the rule."""
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


def make_routing_table(version: int, fronts: tuple[Address, ...]) -> Routing:
    """Return a routing table with one route for each front."""
    tables = [make_routing(SERVICE, version=version, front=front) for front in fronts]
    routes = tuple(
        table.routes[0]._replace(name=f"r{number}")
        for number, table in enumerate(tables)
    )
    return tables[0]._replace(routes=routes)
