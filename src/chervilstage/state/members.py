"""The live members of an entry group."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .types import Peer
from .view import ViewId


class MemberReport(NamedTuple):
    """The status that an entry reports in each heartbeat.

    ``incarnation`` distinguishes successive runs of an entry. ``revision`` is the
    configuration in force, ``view_number`` the view in force, ``newest_view`` the
    newest view that is prepared or in force, and ``epoch`` the group epoch.
    """

    incarnation: int = 0
    revision: int = 0
    view_number: int = 0
    epoch: int = 0
    leaving: bool = False
    newest_view: ViewId = ViewId()


class Heartbeat(NamedTuple):
    """A heartbeat from one entry to another.

    ``sent_at`` is a time of the sender's clock. ``echo`` is the ``sent_at`` of the
    newest heartbeat that the sender has received from the recipient, 0 if none.
    """

    sent_at: float
    echo: float
    report: MemberReport


class Member(NamedTuple):
    """The state of one peer.

    ``last_heartbeat_at`` is when its last heartbeat was received. ``sent_at`` is when
    the peer sent that heartbeat, by its own clock. ``echoed_at`` is when this entry
    sent the newest heartbeat that the peer is known to have received.
    """

    peer: Peer
    report: MemberReport = MemberReport()
    last_heartbeat_at: float = float("-inf")
    sent_at: float = 0.0
    echoed_at: float = float("-inf")


class MemberTable:
    """The peers of an entry and the leases between them.

    A peer is live while its last heartbeat is younger than the lease. This entry's
    own lease is valid while every live peer must still count this entry as live: each
    of them has received a heartbeat that was sent less than a lease ago.

    :param name: the name of this entry.
    :param data_centre: the data centre of this entry.
    :param peers: the other entries of the group.
    :param lease_seconds: how long a heartbeat keeps a member live.
    """

    def __init__(
        self,
        *,
        name: str,
        data_centre: str,
        peers: Iterable[Peer],
        lease_seconds: float,
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.lease_seconds = lease_seconds
        self.report = MemberReport()
        self.members = {peer.name: Member(peer=peer) for peer in peers}
        self.live_names: set[str] = set()

    def live(self) -> list[str]:
        """Return the sorted names of the live entries, this one included."""
        return sorted({self.name, *self.live_names})

    def live_in(self, data_centre: str) -> list[str]:
        """Return the sorted names of the live entries of a data centre."""
        return [n for n in self.live() if self.data_centre_of(n) == data_centre]

    def data_centre_of(self, name: str) -> str:
        """Return the data centre of an entry of the group, empty if unknown."""
        if name == self.name:
            return self.data_centre
        member = self.members.get(name)
        return member.peer.data_centre if member else ""

    def is_staying(self, name: str) -> bool:
        """Return whether an entry is live and not leaving the group."""
        if name == self.name:
            return not self.report.leaving
        return name in self.live_names and not self.members[name].report.leaving

    def is_own_lease_valid(self, now: float) -> bool:
        """Return whether every live peer must still count this entry as live."""
        return all(
            now - self.members[name].echoed_at < self.lease_seconds
            for name in self.live_names
        )
