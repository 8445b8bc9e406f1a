"""The state of one entry: its flows and views, and the pins of its peers."""

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
    """The key of a flow within a service."""

    service: str
    key: int


class ServiceBucket(NamedTuple):
    """A bucket number within a service."""

    service: str
    bucket: int


class PendingFlow(NamedTuple):
    """A flow that has no pin here and that the peers were queried about.

    ``number`` is that of the view under which ``proposal`` was chosen. ``waiting`` are
    the peers that have not answered yet. ``best`` is the preferred answer so far and
    ``best_from`` the peer that sent it. Answers to queries numbered up to ``older``
    are ignored. ``adopt`` is set if a peer has to pin the flow because this entry is
    leaving the group.
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
    """An idle exception, removed unless a peer reports that its flow is in use."""

    waiting: frozenset[str]
    since: float


class PullPosition(NamedTuple):
    """The progress of pulling a peer's pin lists.

    ``bucket`` is the bucket that was received in part, up to the key ``after``.
    ``full`` says that the last page was full, which limits the next request to a few
    buckets.
    """

    next_at: float = float("-inf")
    service: str = ""
    bucket: int = -1
    after: int = 0
    full: bool = False


class ViewRound(NamedTuple):
    """A change of view that this entry coordinates.

    ``settled`` are the entries that have received every pin list of the view.
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
    """The pins sent to and received from peers since the current view was prepared.

    A key that a peer has announced is omitted from this entry's own lists, unless this
    entry has already sent it to a peer: then it must be sent to all of them. A key that
    was sent early is omitted after activation only for the peer that received it,
    because a flow may be pinned between the early lists of two peers. ``common`` are
    the keys that every entry has received in earlier exchanges.

    ``told_up_to`` is the last key sent of a bucket, by peer. A peer that repeats its
    request may have processed the first answer, so a key that only answers to repeated
    requests contained is ``uncertain`` and is sent to that peer again.
    """

    def __init__(self) -> None:
        self.told_early: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.told: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.told_up_to: defaultdict[str, dict[ServiceBucket, int]] = defaultdict(dict)
        self.uncertain: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.heard: set[FlowKey] = set()
        self.common: set[FlowKey] = set()

    def begin(self) -> None:
        """Reset the exchange for another view."""
        self.told_early.clear()
        self.told.clear()
        self.told_up_to.clear()
        self.uncertain.clear()
        self.heard.clear()

    def activate(self) -> None:
        """Start the second phase, after the view has been activated."""
        for peer, keys in self.told.items():
            self.told_early[peer] |= keys
        self.told.clear()
        self.told_up_to.clear()

    def tell(
        self, peer: str, place: ServiceBucket, keys: list[int], up_to: int
    ) -> None:
        """Record the keys of a bucket that are sent to a peer.

        :param up_to: the last key of the bucket that the message covers.
        """
        last_sent_key = self.told_up_to[peer].get(place, -1)
        for key in keys:
            flow = FlowKey(service=place.service, key=key)
            if key > last_sent_key:
                self.uncertain[peer].discard(flow)
            elif flow not in self.told[peer]:
                self.uncertain[peer].add(flow)
            self.told[peer].add(flow)
        self.told_up_to[peer][place] = max(last_sent_key, up_to)

    def is_left_out(self, peer: str, flow: FlowKey, had_early: bool) -> bool:
        """Return whether a flow can be omitted from the lists for a peer.

        The peer has received it already, or receives it from another entry.

        :param had_early: whether the peer has all early lists of this entry.
        """
        if flow in self.heard or flow in self.common:
            return True
        was_sent = had_early and flow in self.told_early[peer]
        return was_sent and flow not in self.uncertain[peer]

    def hear(self, flow: FlowKey) -> None:
        """Record that a peer announces a flow to all entries."""
        sent_sets = (*self.told_early.values(), *self.told.values())
        if not any(flow in keys for keys in sent_sets):
            self.heard.add(flow)

    def mentioned(self) -> set[FlowKey]:
        """Return the flows that every entry has received in this exchange."""
        shared = self.heard.union(*self.told_early.values(), *self.told.values())
        return shared.difference(*self.uncertain.values())

    def forget(self, flow: FlowKey) -> None:
        """Remove a flow from all sets, as its key may be reused for another flow."""
        self.heard.discard(flow)
        self.common.discard(flow)
        by_peer = (self.told_early, self.told, self.uncertain)
        for keys in (keys for sets in by_peer for keys in sets.values()):
            keys.discard(flow)


class HandOver:
    """The pins that a leaving entry has yet to hand over to its peers.

    :param todo: the buckets by service for which no peer has answered yet.
    """

    def __init__(self, *, todo: dict[str, set[int]]) -> None:
        self.todo = todo
        self.unacknowledged: dict[FlowKey, None] = {}
        self.next_at: dict[str, float] = {}
        self.pins_at = float("-inf")

    def is_handed(self, service: str, bucket: int) -> bool:
        """Return whether a peer has taken over a bucket."""
        return bucket not in self.todo.get(service, ())


class FlowState:
    """The state on which one entry's decisions about flows are based.

    ``missing`` holds the buckets by peer and service for which this entry does not
    have the peer's exceptions; such buckets are unsettled. ``early`` holds the buckets
    whose lists must arrive before a prepared view can be acknowledged.

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
        """Create the pin tables of a service."""
        self.tables[service.name] = FlowTable(
            capacity=service.max_flows, idle_seconds=service.flow_idle_seconds
        )
        self.exceptions[service.name] = KnownExceptions()
        # Lists received while the service was unknown were discarded, so all of its
        # buckets have to be requested again.
        for buckets in self.missing.values():
            buckets[service.name] = set(ALL_BUCKETS)
        self.whole.update(self.missing)

    def remove_service(self, service: str) -> None:
        """Remove the pins of a service and everything that refers to them."""
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
        """Return whether packets of open flows may be sent to an upstream.

        Its address must not have a newer identity (the service is part of it), and its
        data centre must be in service. A silent upstream keeps its open flows until it
        is known to have ended, because its announcements may be lost while it runs.
        """
        record = self.registry.followed(upstream)
        return (
            record is not None and record.data_centre not in self.in_force.current.out
        )

    def takes_new_flows(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream may receive new flows; a silent one may not."""
        return self.registry.is_heard(upstream) and self.is_usable(upstream)

    def is_over(self, service: str, pin: Pin, now: float) -> bool:
        """Return whether a pin is idle here and its upstream is no longer registered.

        Unlike other idle flows, such a flow is assigned a new upstream, unless it is in
        use at a peer.
        """
        is_idle = self.tables[service].is_idle(pin, now)
        return is_idle and not self.registry.is_heard(pin.upstream)

    def has_ended(self, upstream: UpstreamId) -> bool:
        """Return whether the flows of an upstream are known to have ended.

        That is so if it has left, if another upstream uses its address, or if its data
        centre is out of service.
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
        """Record that the exceptions of a peer are unknown for some buckets."""
        missing = self.missing.setdefault(peer, {})
        for service, numbers in buckets.items():
            missing.setdefault(service, set()).update(numbers)
        self.positions[peer] = PullPosition()

    def mark_all_missing(self, peer: str) -> None:
        """Record that the exceptions of a peer are unknown for all buckets."""
        self.mark_missing(peer, self.all_buckets())
        self.whole.add(peer)

    def all_buckets(self) -> dict[str, set[int]]:
        """Return the buckets of every service."""
        return {name: set(ALL_BUCKETS) for name in self.tables}

    def forget_peer(self, peer: str) -> None:
        """Stop waiting for the pin lists of a peer."""
        self.missing.pop(peer, None)
        self.early.pop(peer, None)
        self.positions.pop(peer, None)
        self.whole.discard(peer)
        self.leaving.discard(peer)

    def is_settled(self) -> bool:
        """Return whether every pin list of every live peer has arrived."""
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
        """Return the number of exceptions known from peers and not pinned here."""
        return sum(known.size for known in self.exceptions.values())

    def forget_told(self, service: str, key: int) -> None:
        """Remove a flow from the record of the list exchange."""
        self.exchange.forget(FlowKey(service=service, key=key))

    def next_view_id(self) -> ViewId:
        """Return a view identity whose number is above all numbers seen so far."""
        reports = [m.report for m in self.members.members.values()]
        active_numbers = [report.view_number for report in reports]
        newest_numbers = [report.newest_view.number for report in reports]
        number = self.view.identity.number
        self.highest = max(self.highest, number, *active_numbers, *newest_numbers) + 1
        return ViewId(number=self.highest, coordinator=self.name)
