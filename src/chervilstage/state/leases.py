"""Capacity leases: what the owner of an upstream has given, what an entry holds."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple


class Ramp(NamedTuple):
    """How far an upstream has warmed up.

    ``epoch`` counts the restarts of the ramp; ``successes`` those at this stage.
    """

    epoch: int = 0
    stage: int = 0
    successes: int = 0


class AskItem(NamedTuple):
    """What an entry asks of the owner of one upstream.

    From this ask on, the entry keeps no more than ``held`` requests in flight until a
    grant that answers this ask or a later one. ``need`` is its present load in percent
    of all slots that it holds of the service. ``successes`` and ``cold`` count since
    the entry started; ``epoch`` and ``stage`` are the newest that it knows.
    """

    key: int
    want: int
    held: int
    need: int
    successes: int
    cold: int
    epoch: int
    stage: int


class GrantItem(NamedTuple):
    """The owner's answer to the ask of that number.

    The entry may have ``target`` requests in flight. If it has more, it starts none
    until it has fewer. With ``report`` set, the owner only wants a new ask.
    """

    key: int
    number: int
    target: int
    epoch: int
    stage: int
    report: bool = False


class Claim(NamedTuple):
    """What the owner knows of one entry; ``occupied`` bounds what it may use."""

    number: int
    want: int
    need: int
    occupied: int
    target: int
    expires_at: float
    successes: int
    cold: int


class LeaseBook:
    """What the owner of one upstream has given.

    Until all entries have ``reported``, or until earlier leases have run out since
    ``since``, the owner gives no more than the ``known`` slots that entries reported
    to hold; ``counted`` are the entries whose slots were in it from the start.
    """

    def __init__(self, *, since: float, share: int) -> None:
        self.since = since
        self.share = share
        self.known = 0
        self.reported: set[str] = set()
        self.counted: set[str] = set()
        self.claims: dict[str, Claim] = {}
        self.ramp = Ramp()
        self.solicited_at = float("-inf")


class OwnedLeases:
    """The books of the upstreams that this entry owns, by upstream key.

    ``live_since`` is when the live entries became what they are. ``numbers`` holds
    the newest ask by (upstream, entry); it outlives the books.
    """

    def __init__(self) -> None:
        self.books: dict[int, LeaseBook] = {}
        self.numbers: dict[tuple[int, str], int] = {}
        self.live: tuple[str, ...] = ()
        self.live_since = float("-inf")
        self.checked_at = float("-inf")


class HeldLease(NamedTuple):
    """The lease of this entry on one upstream, with times of its own clock.

    ``limit`` is what may be in flight now, ``target`` what the owner wants it to be.
    ``reported`` is what the owner must count for this entry. ``wanted``, ``need`` and
    ``told`` are the want, the need and the successes of the newest ask.
    """

    owner: str = ""
    limit: int = 0
    target: int = 0
    expires_at: float = float("-inf")
    number: int = 0
    asked_at: float = float("-inf")
    answered: bool = True
    due: bool = False
    wanted: int = 0
    need: int = 0
    reported: int = 0
    told: int = 0
    successes: int = 0
    cold: int = 0
    epoch: int = 0
    stage: int = 0


class LingeringSlot(NamedTuple):
    """A slot whose attempt has ended here; the upstream may still work on it.

    ``ended_at`` is in monotonic seconds.
    """

    key: int
    ended_at: float


class Demand(NamedTuple):
    """The requests of a service that run or wait: recent peak and moving average."""

    peak: float = 0.0
    average: float = 0.0
    at: float = 0.0


class HeldLeases:
    """All leases of this entry, by upstream key.

    :param number: the number before that of the first ask; later runs of an entry
        start with higher ones.
    """

    def __init__(self, *, number: int) -> None:
        self.number = number
        self.leases: dict[int, HeldLease] = {}
        self.in_flight: Counter[int] = Counter()
        self.demand: dict[str, Demand] = {}
        self.waiting: Counter[str] = Counter()
