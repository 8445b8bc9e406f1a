"""Log lines and gauges about the role and the set of a replica."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..coordination.replica_terms import has_leader
from ..coordination.replica_voters import silent_voters
from ..state.replica import Replica, Role
from ..state.replica_set import ReplicaMember, ReplicaSet
from .event_log import log_event

# Longer than an election among replicas that can reach each other.
MISSING_LEADER_SECONDS = 3.0
MISSING_LEADER_INTERVAL_SECONDS = 10.0


class ReplicaReport:
    """Logs changes of a replica's state, each once."""

    def __init__(self, *, replica: Replica) -> None:
        self.replica = replica
        self.logged_role = (replica.role, replica.term)
        self.logged_members = ReplicaSet()
        self.leader_missing_since: float | None = None
        self.missing_leader_logged_at = float("-inf")

    def log_role(self) -> bool:
        """Log the role and the term if they have changed; return whether they have."""
        current = (self.replica.role, self.replica.term)
        if current == self.logged_role:
            return False
        self.logged_role = current
        log_event("replica_role", role=self.replica.role.value, term=self.replica.term)
        return True

    def log_members(self) -> None:
        """Log the newest replica set of the log, and how many lost disks it bears."""
        members = self.replica.members
        if members == self.logged_members:
            return
        self.logged_members = members
        log_event(
            "replica_set",
            index=self.replica.log.members_index,
            voters=_names(m for m in members.members if m.voter),
            outgoing=_names(m for m in members.members if m.outgoing),
            learners=_names(m for m in members.members if not m.voter),
            losable=members.losable_voters(),
        )

    def log_missing_leader(self, now: float) -> None:
        """Log at intervals that this replica knows of no leader, and who answers it."""
        replica = self.replica
        if has_leader(replica, now) or not replica.is_formed():
            self.leader_missing_since = None
            return
        if self.leader_missing_since is None:
            self.leader_missing_since = now
        seconds = now - self.leader_missing_since
        if seconds < MISSING_LEADER_SECONDS:
            return
        if now - self.missing_leader_logged_at < MISSING_LEADER_INTERVAL_SECONDS:
            return
        self.missing_leader_logged_at = now
        members = replica.members.members
        log_event(
            "replica_leader_missing",
            level=logging.WARNING,
            seconds=round(seconds, 1),
            voters=_names(m for m in members if m.has_vote()),
            granted=_names(m for m in members if m.identity in replica.votes),
            replaced=len(replica.replaced_identities),
        )

    def gauges(self, now: float) -> dict[str, float]:
        """Return the gauges of the replica set by name.

        ``replica_losable_voters`` is negative while too few voters answer this leader;
        a replica that does not lead cannot tell who answers and omits it.
        """
        replica = self.replica
        gauges = {"replica_voters": float(len(replica.members.voters()))}
        if replica.role is Role.LEADER:
            silent = [member.identity for member in silent_voters(replica, now)]
            gauges["replica_voters_silent"] = float(len(silent))
            gauges["replica_losable_voters"] = float(
                replica.members.losable_voters(silent)
            )
        missing_since = self.leader_missing_since
        gauges["replica_leaderless_seconds"] = (
            0.0 if missing_since is None else now - missing_since
        )
        return gauges


def _names(members: Iterable[ReplicaMember]) -> str:
    return ",".join(sorted(member.name for member in members))
