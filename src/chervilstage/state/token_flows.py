"""The state of an entry that relays flows by token."""

from __future__ import annotations

from typing import NamedTuple

from .histograms import Histogram
from .link import Link
from .registry import UpstreamRegistry
from .routing import Endpoint, Route, Routing
from .types import Address, UpstreamRecord

NEVER = float("-inf")
LATENCY_WEIGHT = 0.2


class TokenFlow:
    """A flow that this entry relays; times are in seconds of the entry's clock.

    ``first_seen_at`` is when its first packet arrived here, ``last_seen_at`` when the
    last one did. ``opening_sent_at`` is when the opening packet was last forwarded,
    ``opening_sequence`` its sequence, None if it has not arrived here; ``latest_copy``
    is the number of the last copy that arrived, and ``has_missed_copies`` says that an
    earlier copy did not arrive here. ``tried_addresses`` holds the addresses of
    upstreams that did not answer it. ``token`` is the token of the upstream once the
    flow is open, 0 before. ``busy_since`` is when the unanswered request began, None if
    there is none; ``answered_up_to`` is the sequence that the caller had acknowledged
    at that time. ``sent_up_to`` is the sequence after the last byte that the caller has
    sent, and ``request_start_sequence`` the one at which the unanswered request starts.
    ``relayed_at`` maps sequences of the unanswered request's data to the time of their
    last relay; ``expected_bytes`` estimates how much of it is yet to arrive.
    """

    __slots__ = (
        "answered_up_to",
        "busy_since",
        "expected_bytes",
        "first_seen_at",
        "has_missed_copies",
        "is_closing",
        "is_open",
        "last_seen_at",
        "latest_copy",
        "opening_sent_at",
        "opening_sequence",
        "relayed_at",
        "request_start_sequence",
        "sent_up_to",
        "service",
        "token",
        "tried_addresses",
        "upstream",
    )

    def __init__(self, *, upstream: UpstreamRecord, service: str, now: float) -> None:
        self.upstream = upstream
        self.service = service
        self.token = 0
        self.opening_sequence: int | None = None
        self.latest_copy = -1
        self.has_missed_copies = False
        self.is_open = False
        self.is_closing = False
        self.first_seen_at = now
        self.last_seen_at = now
        self.opening_sent_at = now
        self.busy_since: float | None = None
        self.answered_up_to = 0
        self.sent_up_to = 0
        self.request_start_sequence = 0
        self.relayed_at: dict[int, float] = {}
        self.expected_bytes = 0.0
        self.tried_addresses: frozenset[Address] = frozenset()


class UpstreamLoad:
    """The load and latency that this entry has observed of one run of an upstream.

    ``in_flight`` counts the flows that wait for it to open or to answer. ``latency`` is
    the smoothed time from a request to its answer in seconds, 0 before the first.
    ``answered_at`` is when it last answered, ``asked_at`` when the last request or
    opening packet was sent to it. ``unanswered`` counts the times at which packets
    stayed unanswered since its last answer, the most recent one at
    ``last_unanswered_at``. ``suspect_until`` is when it may be tried again.
    ``trial_tokens`` and ``last_trial_at`` limit the rate of trial flows while it is
    cold.
    """

    __slots__ = (
        "answered_at",
        "asked_at",
        "flows",
        "in_flight",
        "incarnation",
        "last_trial_at",
        "last_unanswered_at",
        "latency",
        "suspect_until",
        "trial_tokens",
        "unanswered",
    )

    def __init__(self, *, incarnation: int) -> None:
        self.incarnation = incarnation
        self.in_flight = 0
        self.flows = 0
        self.latency = 0.0
        self.unanswered = 0
        self.answered_at = NEVER
        self.asked_at = NEVER
        self.last_unanswered_at = NEVER
        self.suspect_until = NEVER
        self.trial_tokens = 0.0
        self.last_trial_at = NEVER

    def record_latency(self, seconds: float) -> None:
        """Update the smoothed time from a request to its answer."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)


class UnresponsiveUpstreams:
    """The upstreams of a data centre that left packets unanswered.

    ``since`` is when the first of them did. An answer from any upstream of the data
    centre removes this record.
    """

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.addresses: set[Address] = set()


class EndedUpstream(NamedTuple):
    """The last record of an upstream; ``ended_at`` is when its end was first reported.

    Times are in seconds.
    """

    record: UpstreamRecord
    ended_at: float


class TokenRelayState:
    """The routes, upstreams and flows of one entry.

    ``announced_routing_version`` is the newest version of the routing table that a
    control replica has announced; the table itself may not have arrived yet.
    ``has_majority_announcement`` says that a replica that reaches a majority has
    announced a version since this entry started. ``services_by_front`` holds all
    services that a route has ever led to, because a new configuration does not move
    open flows. ``removed_at`` holds when routes that are no longer in force were
    removed, in seconds. ``ended`` holds the upstreams that have ended, by token,
    because packets may still carry the token. ``eligible`` holds the upstreams that may
    receive new flows, by service. ``required_sequences`` holds, for upstreams of a data
    centre that is back in service, the sequence above which one has to announce itself
    before it counts as warm. ``upstreams_known_since`` is when the first upstreams
    became known. ``unresponsive_upstreams`` holds the data centres that leave packets
    unanswered. ``entries`` names the live entries. ``request_bytes`` holds the smoothed
    request size of each route. ``data_centre_latencies`` holds the smoothed time to an
    answer by service and data centre, in seconds. ``open_seconds`` and ``latencies``
    count the times to the opening of flows and to the answers of requests.

    :param name: the name of this entry.
    :param announcement_seconds: how often upstreams announce themselves.
    :param data_centre: the data centre of this entry.
    :param link: the outgoing link of this entry, by default one of unknown rate.
    """

    def __init__(
        self,
        *,
        name: str,
        announcement_seconds: float,
        data_centre: str = "",
        link: Link | None = None,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.announcement_seconds = announcement_seconds
        self.link = link or Link()
        self.routing: Routing | None = None
        self.announced_routing_version = 0
        self.has_majority_announcement = False
        self.routes: dict[Endpoint, Route] = {}
        self.services_by_front: dict[Endpoint, frozenset[str]] = {}
        self.removed_at: dict[Endpoint, float] = {}
        self.out: frozenset[str] = frozenset()
        self.registry = UpstreamRegistry()
        self.upstreams_known_since: float | None = None
        self.tokens: dict[int, UpstreamRecord] = {}
        self.ended: dict[int, EndedUpstream] = {}
        self.eligible: dict[str, tuple[UpstreamRecord, ...]] = {}
        self.required_sequences: dict[Address, int] = {}
        self.loads: dict[Address, UpstreamLoad] = {}
        self.flows: dict[bytes, TokenFlow] = {}
        self.unresponsive_upstreams: dict[str, UnresponsiveUpstreams] = {}
        self.request_bytes: dict[Endpoint, float] = {}
        self.data_centre_latencies: dict[tuple[str, str], float] = {}
        self.latencies = Histogram()
        self.open_seconds = Histogram()
        self.entries: tuple[str, ...] = (name,)

    def has_newest_routing(self) -> bool:
        """Return whether the routing table in force is the newest announced one.

        A replica that does not reach a majority may itself only know an old one.
        """
        if self.routing is None or not self.has_majority_announcement:
            return False
        return self.routing.version >= self.announced_routing_version

    def load_of(self, record: UpstreamRecord) -> UpstreamLoad:
        """Return the observations of an upstream, empty ones for a new run of it."""
        address, incarnation, _ = record.identity
        load = self.loads.get(address)
        if load is None or load.incarnation != incarnation:
            load = self.loads[address] = UpstreamLoad(incarnation=incarnation)
        return load
