"""Capacity leases: the grants of an upstream's owner and the leases of an entry."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple


class Ramp(NamedTuple):
    """The progress of an upstream's warm-up.

    ``epoch`` counts the restarts of the ramp, and ``successes`` the successful requests
    at the current stage.
    """

    epoch: int = 0
    stage: int = 0
    successes: int = 0


class LeaseRequestItem(NamedTuple):
    """A request by an entry to the owner of one upstream for capacity.

    After sending it, the entry keeps at most ``held`` requests in flight until a grant
    answers this request or a later one. ``want`` is the number of slots that it
    requests. ``need`` is its current load in percent of all slots of the service that
    are leased to it. ``successes`` and ``cold`` count the successful requests and the
    detected cold starts since the entry started. ``epoch`` and ``stage`` are those of
    the newest ramp that it knows. ``running`` is the number of slots in use, which the
    entry cannot release before their requests end.
    """

    key: int
    want: int
    held: int
    need: int
    successes: int
    cold: int
    epoch: int
    stage: int
    running: int


class LeaseGrantItem(NamedTuple):
    """The owner's answer to the lease request numbered ``number``.

    The entry may have ``target`` requests in flight. If it has more, it starts none
    until it has fewer. With ``report`` set, the owner only solicits a new lease request
    and grants nothing.
    """

    key: int
    number: int
    target: int
    epoch: int
    stage: int
    report: bool = False


class Claim(NamedTuple):
    """The owner's record of the newest lease request of one entry and its grant.

    ``occupied`` is an upper bound of the slots that the entry may use, ``target`` the
    number granted to it. The other fields are those of the request.
    """

    number: int
    want: int
    need: int
    occupied: int
    target: int
    expires_at: float
    successes: int
    cold: int
    epoch: int
    running: int


class LeaseBook:
    """The capacity that the owner of one upstream has granted.

    A new owner does not know the leases from before ``takeover_started_at``. Until all
    entries are in ``reported_entries``, or until those leases have expired, it grants
    no more than ``reported_slots``, the sum of the slots that entries reported as held.
    The slots of ``precounted_entries`` were included in that sum from the start.

    :param since: when this entry became the owner, or the owner of a larger share.
    :param share: the share of the upstream's slots that this entry may grant, in
        thousandths.
    """

    def __init__(self, *, since: float, share: int) -> None:
        self.takeover_started_at = since
        self.share = share
        self.reported_slots = 0
        self.reported_entries: set[str] = set()
        self.precounted_entries: set[str] = set()
        self.claims: dict[str, Claim] = {}
        self.ramp = Ramp()
        self.last_solicited_at = float("-inf")


class OwnedLeases:
    """The books of the upstreams that this entry owns, by upstream key.

    ``live`` are the live entries that are not leaving, and ``live_since`` is when this
    set last changed. ``checked_at`` is when it was last checked.
    ``last_request_numbers`` holds the number of the newest request by (upstream, entry)
    and is kept when a book is removed.
    """

    def __init__(self) -> None:
        self.books: dict[int, LeaseBook] = {}
        self.last_request_numbers: dict[tuple[int, str], int] = {}
        self.live: tuple[str, ...] = ()
        self.live_since = float("-inf")
        self.checked_at = float("-inf")


class EntryLease(NamedTuple):
    """The lease of this entry on one upstream, with times of its own clock.

    ``limit`` is how many requests may be in flight now, ``target`` the limit that the
    owner has granted. ``accounted_slots`` is the number of slots that the owner has to
    assume this entry uses. ``asked_at`` is when the newest lease request was sent,
    ``answered`` says whether a grant has answered it. ``requested_slots``, ``need``,
    ``reported_successes`` and ``reported_running`` are its want, need, successes and
    running requests. ``is_request_due`` says that the next request should be sent soon.
    """

    owner: str = ""
    limit: int = 0
    target: int = 0
    expires_at: float = float("-inf")
    request_number: int = 0
    asked_at: float = float("-inf")
    answered: bool = True
    is_request_due: bool = False
    requested_slots: int = 0
    need: int = 0
    accounted_slots: int = 0
    reported_successes: int = 0
    reported_running: int = 0
    successes: int = 0
    cold: int = 0
    epoch: int = 0
    stage: int = 0


class LingeringSlot(NamedTuple):
    """A slot whose attempt has ended here but may still run at the upstream.

    ``ended_at`` is in monotonic seconds.
    """

    key: int
    ended_at: float


class Demand(NamedTuple):
    """The number of running and waiting requests of a service.

    ``peak`` is a decaying maximum and ``average`` a moving average, both as of ``at``.
    """

    peak: float = 0.0
    average: float = 0.0
    at: float = 0.0


class EntryLeases:
    """All leases of this entry, and the requests that use or wait for them.

    ``leases`` and ``in_flight``, the number of running requests, are by upstream key;
    ``demand`` and ``waiting``, the number of waiting requests, are by service.

    :param last_request_number: the number before that of the first lease request; later
        runs of an entry start with higher numbers.
    """

    def __init__(self, *, last_request_number: int) -> None:
        self.last_request_number = last_request_number
        self.leases: dict[int, EntryLease] = {}
        self.in_flight: Counter[int] = Counter()
        self.demand: dict[str, Demand] = {}
        self.waiting: Counter[str] = Counter()
