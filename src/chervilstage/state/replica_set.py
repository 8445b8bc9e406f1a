"""The set of replicas that keep the configuration log."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from .types import Address


class ReplicaMember(NamedTuple):
    """A replica; its identity is stored on its disk, so a blank disk has a new one.

    A replica that is not a voter, a learner, receives the log but counts in no
    majority. ``outgoing`` says that it votes in the set before, while the change from
    that set is in progress.
    """

    name: str
    identity: int
    data_centre: str
    address: Address
    voter: bool = True
    outgoing: bool = False

    def has_vote(self) -> bool:
        """Return whether it votes in the new set or in the one before."""
        return self.voter or self.outgoing


class ReplicaSet(NamedTuple):
    """The replicas, voters and learners.

    A set with outgoing voters is joint: two sets of voters are in force, the new one
    and the one before, and each decision needs a majority of both.
    """

    members: tuple[ReplicaMember, ...] = ()

    def voters(self) -> tuple[int, ...]:
        """Return the identities of the voters of the new set."""
        return tuple(m.identity for m in self.members if m.voter)

    def voter_sets(self) -> list[tuple[int, ...]]:
        """Return the sets of voters of which a decision needs a majority each."""
        outgoing = tuple(m.identity for m in self.members if m.outgoing)
        return [self.voters(), outgoing] if outgoing else [self.voters()]

    def all_voters(self) -> set[int]:
        """Return the identities of the voters of all sets in force."""
        return {m.identity for m in self.members if m.has_vote()}

    def is_joint(self) -> bool:
        """Return whether a change from one set of voters to another is in progress."""
        return any(m.outgoing for m in self.members)

    def has_majority(self, identities: Iterable[int]) -> bool:
        """Return whether replicas include a majority of each set of voters."""
        present = set(identities)
        return all(
            2 * len(present.intersection(voters)) > len(voters)
            for voters in self.voter_sets()
        )

    def losable_voters(self, silent: Iterable[int] = ()) -> int:
        """Return how many more voters may lose their disks without stopping the set.

        It is negative if the voters that are not silent have no majority.

        :param silent: the identities of voters that do not answer.
        """
        silent_identities = set(silent)
        return min(
            (len(voters) - 1) // 2 - len(silent_identities.intersection(voters))
            for voters in self.voter_sets()
        )

    def with_vote_moved(
        self, source: ReplicaMember, target: ReplicaMember
    ) -> ReplicaSet:
        """Return the joint set in which one replica takes the vote of another."""
        return ReplicaSet(
            members=tuple(
                member._replace(
                    voter=member == target or (member.voter and member != source),
                    outgoing=member.voter,
                )
                for member in self.members
            )
        )

    def without_outgoing(self) -> ReplicaSet:
        """Return the new set alone, without the voters of the one before."""
        return ReplicaSet(
            members=tuple(member._replace(outgoing=False) for member in self.members)
        )

    def find_by_identity(self, identity: int) -> ReplicaMember | None:
        """Return the replica with an identity, if it is in the set."""
        return next((m for m in self.members if m.identity == identity), None)

    def find_by_name(self, name: str) -> ReplicaMember | None:
        """Return the replica with a name, if it is in the set."""
        return next((m for m in self.members if m.name == name), None)

    def without_member(self, name: str) -> ReplicaSet:
        """Return the set without the replica with a name."""
        return ReplicaSet(members=tuple(m for m in self.members if m.name != name))

    def with_member(self, member: ReplicaMember) -> ReplicaSet:
        """Return the set with a replica added, replacing one of the same name."""
        others = self.without_member(member.name).members
        return ReplicaSet(members=tuple(sorted((*others, member))))
