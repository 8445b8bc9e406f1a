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
    """A flow without a pin on this entry, whose pin the peers were queried for.

    ``number`` is that of the view under which ``proposal`` was chosen.
    ``awaited_peers`` are the peers that have not answered yet. ``best_answer`` is the
    preferred answer so far and ``best_sender`` the peer that sent it. Answers to
    queries numbered up to ``last_ignored_query`` are ignored. ``adopt`` is set if a
    peer has to pin the flow because this entry is leaving the group.
    """

    proposal: UpstreamId
    number: int
    awaited_peers: frozenset[str]
    asked_at: float
    since: float
    last_ignored_query: int
    adopt: bool = False
    best_answer: Pin | None = None
    is_best_pinned: bool = False
    best_sender: str = ""


class Confirmation(NamedTuple):
    """A query whether the flow of an idle exception is still in use at a peer.

    The exception is removed once every awaited peer has answered that it is not.
    """

    awaited_peers: frozenset[str]
    since: float


class PullPosition(NamedTuple):
    """The progress of pulling a peer's pin lists.

    ``next_at`` is when the next request may be sent. ``bucket`` is the bucket of
    ``service`` that was received in part, up to the key ``after_key``; it is -1 if
    there is none. ``was_last_page_full`` says that the last page was full, which limits
    the next request to a few buckets.
    """

    next_at: float = float("-inf")
    service: str = ""
    bucket: int = -1
    after_key: int = 0
    was_last_page_full: bool = False


class ViewRound(NamedTuple):
    """A change of view that this entry coordinates.

    ``prepared`` are the entries that have acknowledged the view, ``needs_full_view``
    those that lack its base, and ``settled`` those that have received every pin list of
    the view. ``active`` says that the view has been put in force.
    """

    view: View
    base: View
    urgent: bool
    prepared: frozenset[str] = frozenset()
    needs_full_view: frozenset[str] = frozenset()
    settled: frozenset[str] = frozenset()
    active: bool = False
    sent_at: float = float("-inf")


class ListExchange:
    """The pins sent to and received from peers since the current view was prepared.

    A key that a peer has announced is omitted from this entry's own lists, unless this
    entry has already sent it to a peer: then it must be sent to all of them. A key that
    was sent early is omitted after activation only for the peer that received it,
    because a flow may be pinned between the early lists of two peers. ``known_to_all``
    are the keys that every entry has received in earlier exchanges.

    ``sent_up_to`` holds the last key sent of each bucket, by peer. A peer that repeats
    a request may already have processed the first answer, and may ignore a later one. A
    key that was only in answers to repeated requests is therefore stored in
    ``unconfirmed_keys`` and is sent to that peer again.
    """

    def __init__(self) -> None:
        self.sent_early_keys: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.sent_keys: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.sent_up_to: defaultdict[str, dict[ServiceBucket, int]] = defaultdict(dict)
        self.unconfirmed_keys: defaultdict[str, set[FlowKey]] = defaultdict(set)
        self.announced_by_peers: set[FlowKey] = set()
        self.known_to_all: set[FlowKey] = set()

    def begin(self) -> None:
        """Reset the exchange for another view."""
        self.sent_early_keys.clear()
        self.sent_keys.clear()
        self.sent_up_to.clear()
        self.unconfirmed_keys.clear()
        self.announced_by_peers.clear()

    def activate(self) -> None:
        """Start the second phase, after the view has been activated."""
        for peer, keys in self.sent_keys.items():
            self.sent_early_keys[peer] |= keys
        self.sent_keys.clear()
        self.sent_up_to.clear()

    def record_sent(
        self, peer: str, bucket: ServiceBucket, keys: list[int], up_to: int
    ) -> None:
        """Record the keys of a bucket that are sent to a peer.

        :param up_to: the last key of the bucket that the message covers.
        """
        last_sent_key = self.sent_up_to[peer].get(bucket, -1)
        for key in keys:
            flow = FlowKey(service=bucket.service, key=key)
            if key > last_sent_key:
                self.unconfirmed_keys[peer].discard(flow)
            elif flow not in self.sent_keys[peer]:
                self.unconfirmed_keys[peer].add(flow)
            self.sent_keys[peer].add(flow)
        self.sent_up_to[peer][bucket] = max(last_sent_key, up_to)

    def can_omit(self, peer: str, flow: FlowKey, has_early_lists: bool) -> bool:
        """Return whether a flow can be omitted from the lists for a peer.

        The peer has received it already, or receives it from another entry.

        :param has_early_lists: whether the peer has all early lists of this entry.
        """
        if flow in self.announced_by_peers or flow in self.known_to_all:
            return True
        was_sent = has_early_lists and flow in self.sent_early_keys[peer]
        return was_sent and flow not in self.unconfirmed_keys[peer]

    def record_announcement(self, flow: FlowKey) -> None:
        """Record that a peer announces a flow to all entries."""
        sent_sets = (*self.sent_early_keys.values(), *self.sent_keys.values())
        if not any(flow in keys for keys in sent_sets):
            self.announced_by_peers.add(flow)

    def keys_known_to_all(self) -> set[FlowKey]:
        """Return the flows that every entry has received in this exchange."""
        shared = self.announced_by_peers.union(
            *self.sent_early_keys.values(), *self.sent_keys.values()
        )
        return shared.difference(*self.unconfirmed_keys.values())

    def remove_flow(self, flow: FlowKey) -> None:
        """Remove a flow from all sets, as its key may be reused for another flow."""
        self.announced_by_peers.discard(flow)
        self.known_to_all.discard(flow)
        by_peer = (self.sent_early_keys, self.sent_keys, self.unconfirmed_keys)
        for keys in (keys for sets in by_peer for keys in sets.values()):
            keys.discard(flow)


class PinHandover:
    """The pins that a leaving entry has yet to hand over to its peers.

    ``unacknowledged`` holds, in order, the flows that no peer has confirmed yet.

    :param remaining_buckets: the buckets by service whose pinned flows no peer has
        reported yet.
    """

    def __init__(self, *, remaining_buckets: dict[str, set[int]]) -> None:
        self.remaining_buckets = remaining_buckets
        self.unacknowledged: dict[FlowKey, None] = {}
        self.next_request_at: dict[str, float] = {}
        self.next_send_at = float("-inf")

    def is_bucket_handed_over(self, service: str, bucket: int) -> bool:
        """Return whether a peer has taken over a bucket."""
        return bucket not in self.remaining_buckets.get(service, ())


class FlowState:
    """The state on which one entry's decisions about flows are based.

    ``missing_buckets`` holds the buckets by peer and service for which this entry does
    not have the peer's exceptions; such buckets are unsettled.
    ``missing_early_buckets`` holds the buckets whose lists must arrive before a
    prepared view can be acknowledged. ``full_pull_peers`` are the peers whose complete
    lists are requested, and ``peers_with_early_lists`` those whose early lists have all
    arrived. ``peer_wait_ends_at`` is when this entry stops waiting for its peers after
    a start or a pause, infinite if it does not wait. ``has_differing_views`` says that
    the entries may have different views, so that a new view is needed.

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
        self.prepared_view: View | None = None
        self.prepared_urgent = False
        self.is_view_acknowledged = False
        self.highest_view_number = 0
        self.missing_buckets: dict[str, dict[str, set[int]]] = {}
        self.missing_early_buckets: dict[str, dict[str, set[int]]] = {}
        self.peers_with_early_lists: set[str] = set()
        self.full_pull_peers: set[str] = set()
        self.pull_positions: dict[str, PullPosition] = {}
        self.exchange = ListExchange()
        self.pending: dict[FlowKey, PendingFlow] = {}
        self.pending_confirmations: dict[FlowKey, Confirmation] = {}
        self.exception_sweep: list[FlowKey] = []
        self.view_round: ViewRound | None = None
        self.last_tick_at = float("-inf")
        self.peer_wait_ends_at = float("inf")
        self.has_differing_views = False
        self.is_round_finished = False
        self.handed_over_to: set[str] = set()
        self.leaving_peers: set[str] = set()
        self.hand_over: PinHandover | None = None
        self.last_view_inputs: object = None
        self.last_query_number = 0
        self.last_query_at = float("-inf")
        self.queried_keys: dict[int, tuple[int, ...]] = {}

    def add_service(self, service: Service) -> None:
        """Create the pin tables of a service."""
        self.tables[service.name] = FlowTable(
            capacity=service.max_flows, idle_seconds=service.flow_idle_seconds
        )
        self.exceptions[service.name] = KnownExceptions()
        # Lists received while the service was unknown were discarded, so all of its
        # buckets have to be requested again.
        for buckets in self.missing_buckets.values():
            buckets[service.name] = set(ALL_BUCKETS)
        self.full_pull_peers.update(self.missing_buckets)

    def remove_service(self, service: str) -> None:
        """Remove the pins of a service and everything that refers to them."""
        self.tables.pop(service, None)
        self.exceptions.pop(service, None)
        for buckets in (
            *self.missing_buckets.values(),
            *self.missing_early_buckets.values(),
        ):
            buckets.pop(service, None)
        by_flow: list[dict[FlowKey, Any]] = [self.pending, self.pending_confirmations]
        if self.hand_over is not None:
            self.hand_over.remaining_buckets.pop(service, None)
            by_flow.append(self.hand_over.unacknowledged)
        for entries in by_flow:
            for flow in [flow for flow in entries if flow.service == service]:
                del entries[flow]

    def is_usable(self, upstream: UpstreamId) -> bool:
        """Return whether packets of open flows may be sent to an upstream.

        Its address must not belong to a newer run or to another service, and its data
        centre must be in service. A silent upstream keeps its open flows until it
        is known to have ended, because its announcements may be lost while it runs.
        """
        record = self.registry.find_for_open_flows(upstream)
        return (
            record is not None and record.data_centre not in self.in_force.current.out
        )

    def can_accept_new_flows(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream may receive new flows; a silent one may not."""
        return self.registry.is_registered(upstream) and self.is_usable(upstream)

    def is_pin_stale(self, service: str, pin: Pin, now: float) -> bool:
        """Return whether a pin is idle here and its upstream is no longer registered.

        The flow of a stale pin is assigned a new upstream, unless it is in use at a
        peer. The flows of other idle pins keep their upstream.
        """
        is_idle = self.tables[service].is_idle(pin, now)
        return is_idle and not self.registry.is_registered(pin.upstream)

    def has_ended(self, upstream: UpstreamId) -> bool:
        """Return whether the flows of an upstream are known to have ended.

        That is so if it has left, if another upstream uses its address, or if its data
        centre is out of service.
        """
        record = self.registry.newest_record(upstream.address)
        if record is None:
            return False
        if record.identity == upstream:
            return not self.is_usable(upstream)
        return record.identity.incarnation >= upstream.incarnation

    def peers_with_missing_lists(self, service: str, bucket: int) -> list[str]:
        """Return the peers whose exceptions of a bucket are not known here."""
        return [
            name
            for name, buckets in self.missing_buckets.items()
            if bucket in buckets.get(service, ())
        ]

    def mark_missing(self, peer: str, buckets: Mapping[str, set[int]]) -> None:
        """Record that the exceptions of a peer are unknown for some buckets."""
        missing = self.missing_buckets.setdefault(peer, {})
        for service, numbers in buckets.items():
            missing.setdefault(service, set()).update(numbers)
        self.pull_positions[peer] = PullPosition()

    def mark_all_missing(self, peer: str) -> None:
        """Record that the exceptions of a peer are unknown for all buckets."""
        self.mark_missing(peer, self.all_buckets())
        self.full_pull_peers.add(peer)

    def all_buckets(self) -> dict[str, set[int]]:
        """Return the buckets of every service."""
        return {name: set(ALL_BUCKETS) for name in self.tables}

    def remove_peer(self, peer: str) -> None:
        """Stop waiting for the pin lists of a peer."""
        self.missing_buckets.pop(peer, None)
        self.missing_early_buckets.pop(peer, None)
        self.pull_positions.pop(peer, None)
        self.full_pull_peers.discard(peer)
        self.leaving_peers.discard(peer)

    def is_settled(self) -> bool:
        """Return whether every pin list of every live peer has arrived."""
        return not any(any(b.values()) for b in self.missing_buckets.values())

    def unsettled_bucket_count(self) -> int:
        """Return the number of unsettled buckets over all services."""
        unsettled: set[tuple[str, int]] = set()
        for services in self.missing_buckets.values():
            for service, buckets in services.items():
                unsettled.update((service, bucket) for bucket in buckets)
        return len(unsettled)

    def pin_count(self) -> int:
        """Return the number of pins over all services."""
        return sum(table.size for table in self.tables.values())

    def exception_count(self) -> int:
        """Return the number of known exceptions without a pin on this entry."""
        return sum(known.size for known in self.exceptions.values())

    def discard_from_exchange(self, service: str, key: int) -> None:
        """Remove a flow from the record of the list exchange."""
        self.exchange.remove_flow(FlowKey(service=service, key=key))

    def next_view_id(self) -> ViewId:
        """Return a view identity whose number is above all numbers seen so far."""
        reports = [m.report for m in self.members.members.values()]
        active_numbers = [report.view_number for report in reports]
        newest_numbers = [report.newest_view.number for report in reports]
        number = self.view.identity.number
        self.highest_view_number = (
            max(self.highest_view_number, number, *active_numbers, *newest_numbers) + 1
        )
        return ViewId(number=self.highest_view_number, coordinator=self.name)
