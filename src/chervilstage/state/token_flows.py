"""The state with which an entry relays flows by token."""

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

    ``known_from`` is when its first packet arrived here, ``seen_at`` when the last one
    did. ``sent_at`` is when the opening packet was last forwarded, ``opening`` its
    sequence, None if it has not arrived here; ``latest_copy`` is the number of the last
    copy that arrived, and ``lacks_copies`` says that an earlier copy did not arrive
    here. ``tried`` holds the addresses of upstreams that did not answer it. ``token``
    is that of the upstream once the flow is open, 0 before. ``busy_since`` is when the
    unanswered request began, None if there is none; ``answered_up_to`` is what the
    caller had acknowledged at that time. ``highest`` is the end of the bytes that the
    caller has sent, and ``began_at`` the sequence at which the unanswered request
    starts. ``relayed`` maps sequences of the unanswered request's data to the time of
    their last relay; ``expected_bytes`` estimates how much of it is yet to arrive.
    """

    __slots__ = (
        "answered_up_to",
        "began_at",
        "busy_since",
        "expected_bytes",
        "highest",
        "is_closing",
        "is_open",
        "known_from",
        "lacks_copies",
        "latest_copy",
        "opening",
        "relayed",
        "seen_at",
        "sent_at",
        "service",
        "token",
        "tried",
        "upstream",
    )

    def __init__(self, *, upstream: UpstreamRecord, service: str, now: float) -> None:
        self.upstream = upstream
        self.service = service
        self.token = 0
        self.opening: int | None = None
        self.latest_copy = -1
        self.lacks_copies = False
        self.is_open = False
        self.is_closing = False
        self.known_from = now
        self.seen_at = now
        self.sent_at = now
        self.busy_since: float | None = None
        self.answered_up_to = 0
        self.highest = 0
        self.began_at = 0
        self.relayed: dict[int, float] = {}
        self.expected_bytes = 0.0
        self.tried: frozenset[Address] = frozenset()


class UpstreamLoad:
    """The load and latency that this entry has observed of one run of an upstream.

    ``in_flight`` counts the flows that wait for it to open or to answer. ``latency``
    is the smoothed time from a request to its answer in seconds, 0 before the first.
    ``answered_at`` is when it last answered, ``asked_at`` when the last request or
    opening packet was sent to it. ``unanswered`` counts the times at which packets
    stayed unanswered since its last answer, the most recent one at ``silent_at``.
    ``suspect_until`` is when it may be tried again.
    """

    __slots__ = (
        "answered_at",
        "asked_at",
        "flows",
        "in_flight",
        "incarnation",
        "latency",
        "silent_at",
        "suspect_until",
        "trial_tokens",
        "trialled_at",
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
        self.silent_at = NEVER
        self.suspect_until = NEVER
        self.trial_tokens = 0.0
        self.trialled_at = NEVER

    def note_latency(self, seconds: float) -> None:
        """Update the smoothed time from a request to its answer."""
        weight = LATENCY_WEIGHT if self.latency else 1.0
        self.latency += weight * (seconds - self.latency)


class Silence:
    """The upstreams of a data centre that left packets unanswered.

    ``since`` is when the first of them did. An answer from any of them removes this
    record.
    """

    def __init__(self, *, since: float) -> None:
        self.since = since
        self.addresses: set[Address] = set()


class EndedUpstream(NamedTuple):
    """The last record of an upstream and when its end was reported first, in s."""

    record: UpstreamRecord
    at: float


class TokenRelayState:
    """The routes, upstreams and flows of one entry.

    ``routing_told`` is the newest version of the routing table that a control replica
    has announced; the table itself may not have arrived yet. ``has_current_news`` says
    that a replica that reaches a majority has announced a version since this entry
    started. ``services_of`` holds all services that a route has ever led to, because a
    new configuration does not move open flows. ``removed_at`` holds when routes that
    are no longer in force were removed, in seconds. ``ended`` holds the upstreams that
    have ended, by token, because packets may still carry the token. ``unproven`` holds,
    for upstreams of a data centre that is back in service, the sequence above which one
    has to announce itself before it counts as warm. ``upstreams_from`` is when the
    first upstreams became known. ``silences`` holds the data centres that leave packets
    unanswered. ``entries`` names the live entries. ``request_bytes`` holds the smoothed
    request size of each route. ``centre_latencies`` holds the smoothed time to an
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
        self.routing_told = 0
        self.has_current_news = False
        self.routes: dict[Endpoint, Route] = {}
        self.services_of: dict[Endpoint, frozenset[str]] = {}
        self.removed_at: dict[Endpoint, float] = {}
        self.out: frozenset[str] = frozenset()
        self.registry = UpstreamRegistry()
        self.upstreams_from: float | None = None
        self.tokens: dict[int, UpstreamRecord] = {}
        self.ended: dict[int, EndedUpstream] = {}
        self.eligible: dict[str, tuple[UpstreamRecord, ...]] = {}
        self.unproven: dict[Address, int] = {}
        self.loads: dict[Address, UpstreamLoad] = {}
        self.flows: dict[bytes, TokenFlow] = {}
        self.silences: dict[str, Silence] = {}
        self.request_bytes: dict[Endpoint, float] = {}
        self.centre_latencies: dict[tuple[str, str], float] = {}
        self.latencies = Histogram()
        self.open_seconds = Histogram()
        self.entries: tuple[str, ...] = (name,)

    def has_newest_routing(self) -> bool:
        """Return whether the routing table in force is the newest announced one.

        A replica that does not reach a majority may itself only know an old one.
        """
        if self.routing is None or not self.has_current_news:
            return False
        return self.routing.version >= self.routing_told

    def load_of(self, record: UpstreamRecord) -> UpstreamLoad:
        """Return the observations of an upstream, empty ones for a new run of it."""
        address, incarnation, _ = record.identity
        load = self.loads.get(address)
        if load is None or load.incarnation != incarnation:
            load = self.loads[address] = UpstreamLoad(incarnation=incarnation)
        return load
