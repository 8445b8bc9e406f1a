"""The group epoch: which entries hold request records, and what was lost."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple


class EpochMember(NamedTuple):
    """One run of an entry. A restarted entry is another member."""

    name: str
    incarnation: int
    data_centre: str


class Floor(NamedTuple):
    """The stamp below which records of a home data centre's keys may be lost."""

    home: str
    stamp_ms: int


class Epoch(NamedTuple):
    """A numbered set of members.

    An epoch is settled once every member has all records that it has to hold. ``lost``
    are the runs that were removed since the last settled epoch, and ``joined`` the
    homes that gained members since then. ``fenced`` are the homes whose floor was
    raised by this epoch. ``first_floor_ms`` is the floor of homes without one of their
    own. A key stamped at ``formed_floor_ms`` or later was not used before this epoch.
    Floors are in milliseconds since 1970.
    """

    number: int = 0
    members: tuple[EpochMember, ...] = ()
    lost: tuple[EpochMember, ...] = ()
    floors: tuple[Floor, ...] = ()
    first_floor_ms: int = 0
    formed_floor_ms: int = 0
    fenced: tuple[str, ...] = ()
    joined: tuple[str, ...] = ()

    def floor(self, home: str) -> int:
        """Return the floor of a home data centre, in milliseconds since 1970."""
        for floor in self.floors:
            if floor.home == home:
                return floor.stamp_ms
        return self.first_floor_ms

    def member(self, name: str) -> EpochMember | None:
        """Return the member with a name, if there is one."""
        for member in self.members:
            if member.name == name:
                return member
        return None

    def home_members(self, home: str) -> list[EpochMember]:
        """Return the members in a data centre."""
        return [m for m in self.members if m.data_centre == home]


class Ballot(NamedTuple):
    """The rank of a proposal for one epoch; the proposer's name breaks ties."""

    round: int = 0
    proposer: str = ""


class AcceptedProposal(NamedTuple):
    """A proposal that this entry has accepted."""

    ballot: Ballot
    epoch: Epoch


class EpochPrepare(NamedTuple):
    """Requests a promise to reject lower ballots for the epoch after ``base``."""

    base: int
    ballot: Ballot


class EpochPromise(NamedTuple):
    """A promise, with the proposal that the sender has accepted so far, if any."""

    base: int
    ballot: Ballot
    accepted: AcceptedProposal | None = None


class EpochAccept(NamedTuple):
    """Requests the acceptance of a proposal for the epoch after ``base``."""

    base: int
    ballot: Ballot
    epoch: Epoch


class EpochAccepted(NamedTuple):
    """Reports that the sender has accepted the proposal of a ballot."""

    base: int
    ballot: Ballot


class EpochCommit(NamedTuple):
    """Announces an epoch that a majority has accepted."""

    epoch: Epoch


class EpochSettled(NamedTuple):
    """Reports that the sender has all records that it has to hold in an epoch."""

    number: int


class EpochQuery(NamedTuple):
    """Requests the epoch in force if it is newer than ``base``."""

    base: int


EpochMessage = (
    EpochPrepare
    | EpochPromise
    | EpochAccept
    | EpochAccepted
    | EpochCommit
    | EpochSettled
    | EpochQuery
)


class EpochState:
    """The epochs, promises and votes known to one run of an entry.

    ``complete_members`` are the members from which this entry has received all records
    under the current epoch. ``settled`` is the number of the newest epoch in which it
    received those of every member. ``ended`` are the members that were replaced by a
    later run of the same entry.

    :param own: this run of this entry.
    :param configured: the names of all entries of the group.
    """

    def __init__(self, *, own: EpochMember, configured: Iterable[str]) -> None:
        self.own = own
        self.configured = tuple(sorted(configured))
        self.current = Epoch()
        self.promised = Ballot()
        self.accepted: AcceptedProposal | None = None
        self.ballot: Ballot | None = None
        self.proposed: Epoch | None = None
        self.promises: dict[str, EpochPromise] = {}
        self.accepted_by: set[str] = set()
        self.complete_members: set[str] = set()
        self.settled = 0
        self.ended: set[EpochMember] = set()
        self.peer_settled_epochs: dict[str, int] = {}
        self.adopted_at = float("-inf")

    def is_member(self) -> bool:
        """Return whether this run is a member of the current epoch."""
        return self.own in self.current.members

    def highest_agreed_number(self) -> int:
        """Return the highest epoch number that this entry has accepted or adopted."""
        accepted = self.accepted.epoch.number if self.accepted else 0
        return max(self.current.number, accepted)

    def is_settled(self) -> bool:
        """Return whether this entry has all of its records in the current epoch."""
        return bool(self.current.number) and self.settled == self.current.number

    def is_group_settled(self) -> bool:
        """Return whether every member is known to have all of its records."""
        return self.is_settled() and all(
            self.peer_settled_epochs.get(m.name) == self.current.number
            for m in self.current.members
            if m != self.own
        )
