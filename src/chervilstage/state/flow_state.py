"""What an entry knows of flows, views and the pins of its peers."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from typing import Any, NamedTuple

from .configuration import Service
from .counters import Counters
from .flow_table import FlowTable, Pin
from .in_force import ConfigurationInForce
from .known_exceptions import KnownExceptions
from .members import MemberTable
from .registry import UpstreamRegistry
from .types import Address, UpstreamId
from .view import ALL_BUCKETS, View, ViewId


class FlowKey(NamedTuple):
    """A flow of a service."""

    service: str
    key: int


class ServiceBucket(NamedTuple):
    """A bucket of a service."""

    service: str
    bucket: int


class PendingFlow(NamedTuple):
    """A flow without a pin whose peers have been asked.

    ``number`` is that of the view under which ``proposal`` was chosen. ``waiting`` are
    the peers that have not answered; ``best`` is the best answer so far and who gave
    it. Answers to queries up to ``older`` do not count. ``adopt`` is set where a peer
    has to pin the flow because this entry leaves.
    """

    proposal: UpstreamId
    number: int
    waiting: frozenset[str]
    asked_at: float
    since: float
    older: int
    adopt: bool = False
    best: Pin | None = None
    best_pinned: bool = False
    best_from: str = ""


class Confirmation(NamedTuple):
    """An idle exception that goes unless a peer says that its flow is in use."""

    waiting: frozenset[str]
    since: float


class PullPosition(NamedTuple):
    """Where the pull of a peer's lists stands.

    ``bucket`` is the bucket that is told in part, up to the key ``after``.
    """

    next_at: float = float("-inf")
    service: str = ""
    bucket: int = -1
    after: int = 0
    full: bool = False


class ViewRound(NamedTuple):
    """A change of view that this entry coordinates.

    ``settled`` are the entries that have every list of the view.
    """

    view: View
    base: View
    urgent: bool
    prepared: frozenset[str] = frozenset()
    needs_whole: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()
    active: bool = False
    sent_at: float = float("-inf")


class ListExchange:
    """What has been told and heard of pins since the present view was prepared.

    A key that a peer has told is left out of this entry's own lists, unless this
    entry has told it to someone already: it must then tell it to all. What was told
    early is left out after activation, for the peer that was told: a flow may be
    pinned between the early lists of two peers. ``common`` are the keys that every
    entry has heard of in earlier exchanges.

    ``told_up_to`` is the last key told of a bucket by peer. A peer that repeats its
    request may have taken the first answer, so a key that only the answers to repeated
    requests told is ``uncertain``: the peer is told of it again.
    """

    def __init__(self) -> None:
        self.told_early: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.told: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.told_up_to: defaultdict[str, dict[ServiceBucket, int]] = defaultdict(dict)
        self.uncertain: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.heard: set[FlowKey] = set()
        self.common: set[FlowKey] = set()

    def begin(self) -> None:
        """Begin the exchange of another view."""
        self.told_early.clear()
        self.told.clear()
        self.told_up_to.clear()
        self.uncertain.clear()
        self.heard.clear()

    def activate(self) -> None:
        """Begin the second part, after the view has come in force."""
        for peer, keys in self.told.items():
            self.told_early[peer] |= keys
        self.told.clear()
        self.told_up_to.clear()

    def tell(
        self, peer: str, place: ServiceBucket, keys: list[int], up_to: int
    ) -> None:
        """Record that a peer is told of keys of a bucket, which ends with ``up_to``."""
        told_up_to = self.told_up_to[peer].get(place, -1)
        for key in keys:
            flow = FlowKey(service=place.service, key=key)
            if key > told_up_to:
                self.uncertain[peer].discard(flow)
            elif flow not in self.told[peer]:
                self.uncertain[peer].add(flow)
            self.told[peer].add(flow)
        self.told_up_to[peer][place] = max(told_up_to, up_to)

    def is_left_out(self, peer: str, flow: FlowKey, had_early: bool) -> bool:
        """Tell whether a peer hears of a flow from others or has heard of it.

        :param had_early: whether the peer has all early lists of this entry.
        """
        if flow in self.heard or flow in self.common:
            return True
        told = had_early and flow in self.told_early[peer]
        return told and flow not in self.uncertain[peer]

    def hear(self, flow: FlowKey) -> None:
        """Record that a peer tells everyone of a flow."""
        told = (*self.told_early.values(), *self.told.values())
        if not any(flow in keys for keys in told):
            self.heard.add(flow)

    def mentioned(self) -> set[FlowKey]:
        """Return the flows that every entry has heard of in this exchange."""
        told = self.heard.union(*self.told_early.values(), *self.told.values())
        return told.difference(*self.uncertain.values())

    def forget(self, flow: FlowKey) -> None:
        """Forget a flow, as its key may come to mean another one."""
        self.heard.discard(flow)
        self.common.discard(flow)
        by_peer = (self.told_early, self.told, self.uncertain)
        for keys in (keys for told in by_peer for keys in told.values()):
            keys.discard(flow)


class HandOver:
    """What a leaving entry has still to hand over.

    :param todo: the buckets by service that no peer has been asked about.
    """

    def __init__(self, *, todo: dict[str, set[int]]) -> None:
        self.todo = todo
        self.unacknowledged: dict[FlowKey, None] = {}
        self.next_at: dict[str, float] = {}
        self.pins_at = float("-inf")

    def is_handed(self, service: str, bucket: int) -> bool:
        """Tell whether a peer has taken over a bucket."""
        return bucket not in self.todo.get(service, ())


class FlowState:
    """All that the decisions about flows of one entry work on.

    ``missing`` holds the buckets by peer and service for which this entry does not
    have the peer's exceptions; such buckets are unsettled. ``early`` holds those
    whose lists are still to come before a prepared view can be acknowledged.

    :param unreachable: addresses of upstreams that are cut off from this entry.
    """

    def __init__(
        self,
        *,
        members: MemberTable,
        registry: UpstreamRegistry,
        in_force: ConfigurationInForce,
        counters: Counters,
        unreachable: set[Address],
    ) -> None:
        self.name = members.name
        self.members = members
        self.registry = registry
        self.in_force = in_force
        self.counters = counters
        self.unreachable = unreachable
        self.tables: dict[str, FlowTable] = {}
        self.exceptions: dict[str, KnownExceptions] = {}
        self.view = View()
        self.prepared: View | None = None
        self.prepared_urgent = False
        self.acknowledged = False
        self.highest = 0
        self.missing: dict[str, dict[str, set[int]]] = {}
        self.early: dict[str, dict[str, set[int]]] = {}
        self.had_early: set[str] = set()
        self.whole: set[str] = set()
        self.positions: dict[str, PullPosition] = {}
        self.exchange = ListExchange()
        self.pending: dict[FlowKey, PendingFlow] = {}
        self.confirming: dict[FlowKey, Confirmation] = {}
        self.exception_sweep: list[FlowKey] = []
        self.round: ViewRound | None = None
        self.ticked_at = float("-inf")
        self.doubtful_until = float("inf")
        self.differing_views = False
        self.finished = False
        self.handed_to: set[str] = set()
        self.leaving: set[str] = set()
        self.hand_over: HandOver | None = None
        self.last_inputs: object = None
        self.queries = 0
        self.queried_at = float("-inf")
        self.asked: dict[int, tuple[int, ...]] = {}

    def add_service(self, service: Service) -> None:
        """Keep pins for a service."""
        self.tables[service.name] = FlowTable(
            capacity=service.max_flows, idle_seconds=service.flow_idle_seconds
        )
        self.exceptions[service.name] = KnownExceptions()
        # Lists that came while the service was unknown here were not kept.
        for buckets in self.missing.values():
            buckets[service.name] = set(ALL_BUCKETS)
        self.whole.update(self.missing)

    def remove_service(self, service: str) -> None:
        """Forget the pins of a service."""
        self.tables.pop(service, None)
        self.exceptions.pop(service, None)
        for buckets in (*self.missing.values(), *self.early.values()):
            buckets.pop(service, None)
        by_flow: list[dict[FlowKey, Any]] = [self.pending, self.confirming]
        if self.hand_over is not None:
            self.hand_over.todo.pop(service, None)
            by_flow.append(self.hand_over.unacknowledged)
        for entries in by_flow:
            for flow in [flow for flow in entries if flow.service == service]:
                del entries[flow]

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Tell whether packets of open flows may be sent to an upstream.

        The newest known identity must be the same, service included, and its data
        centre in service. A silent upstream keeps its open flows until it is known to
        have ended: its announcements may be lost while it lives.
        """
        record = self.registry.followed(upstream)
        return (
            record is not None and record.data_centre not in self.in_force.current.out
        )

    def takes_new_flows(self, upstream: UpstreamId) -> bool:
        """Tell whether a new flow may go to an upstream; a silent one gets none."""
        return self.registry.is_heard(upstream) and self.is_usable(upstream)

    def is_over(self, service: str, pin: Pin, now: float) -> bool:
        """Tell whether a pin is idle here and its upstream is not heard.

        Unlike other idle flows such a flow is placed anew, unless a peer has it in use.
        """
        is_idle = self.tables[service].is_idle(pin, now)
        return is_idle and not self.registry.is_heard(pin.upstream)

    def has_ended(self, upstream: UpstreamId) -> bool:
        """Tell whether the flows of an upstream are known to have ended.

        It has left, its address has changed hands, or its data centre is out of
        service.
        """
        record = self.registry.known(upstream.address)
        if record is None:
            return False
        if record.identity == upstream:
            return not self.is_usable(upstream)
        return record.identity.incarnation >= upstream.incarnation

    def peers_missing(self, service: str, bucket: int) -> list[str]:
        """Return the peers whose exceptions of a bucket are not known here."""
        return [
            name
            for name, buckets in self.missing.items()
            if bucket in buckets.get(service, ())
        ]

    def mark_missing(self, peer: str, buckets: Mapping[str, set[int]]) -> None:
        """Record that the exceptions of a peer are not known for some buckets."""
        missing = self.missing.setdefault(peer, {})
        for service, numbers in buckets.items():
            missing.setdefault(service, set()).update(numbers)
        self.positions[peer] = PullPosition()

    def mark_all_missing(self, peer: str) -> None:
        """Record that no exception of a peer is known."""
        self.mark_missing(peer, self.all_buckets())
        self.whole.add(peer)

    def all_buckets(self) -> dict[str, set[int]]:
        """Return the buckets of every service."""
        return {name: set(ALL_BUCKETS) for name in self.tables}

    def forget_peer(self, peer: str) -> None:
        """Expect no lists and no answers of a peer any more."""
        self.missing.pop(peer, None)
        self.early.pop(peer, None)
        self.positions.pop(peer, None)
        self.whole.discard(peer)
        self.leaving.discard(peer)

    def is_settled(self) -> bool:
        """Tell whether every list of every live peer has arrived."""
        return not any(any(b.values()) for b in self.missing.values())

    def unsettled_count(self) -> int:
        """Return the number of unsettled buckets over all services."""
        unsettled: set[tuple[str, int]] = set()
        for services in self.missing.values():
            for service, buckets in services.items():
                unsettled.update((service, bucket) for bucket in buckets)
        return len(unsettled)

    def flows_held(self) -> int:
        """Return the number of pins over all services."""
        return sum(table.size for table in self.tables.values())

    def exceptions_known(self) -> int:
        """Return the number of exceptions heard of and not pinned here."""
        return sum(known.size for known in self.exceptions.values())

    def forget_told(self, service: str, key: int) -> None:
        """Forget that a flow was told of."""
        self.exchange.forget(FlowKey(service=service, key=key))

    def next_view_id(self) -> ViewId:
        """Return an identity above every number that has been seen."""
        reports = [m.report for m in self.members.members.values()]
        in_force = [report.view_number for report in reports]
        newest = [report.newest_view.number for report in reports]
        number = self.view.identity.number
        self.highest = max(self.highest, number, *in_force, *newest) + 1
        return ViewId(number=self.highest, coordinator=self.name)
