"""Owner of the capacity leases of an upstream, and the capacity it may grant."""

from __future__ import annotations

from ..state.members import MemberTable
from ..state.types import UpstreamRecord
from .rendezvous import rendezvous_order


def upstream_name(record: UpstreamRecord) -> str:
    """Return a name of one run of an upstream that is the same on every entry."""
    address, incarnation, service = record.identity
    return f"{address.host}:{address.port}|{incarnation}|{service}"


def remaining_entries(table: MemberTable) -> list[str]:
    """Return the configured entries, sorted, without those in a planned stop."""
    leaving = {n for n, m in table.members.items() if m.report.leaving}
    if table.report.leaving:
        leaving.add(table.name)
    return sorted({table.name, *table.members} - leaving)


def owner_of(table: MemberTable, record: UpstreamRecord) -> str:
    """Return the lease owner of an upstream, or an empty name if there is none."""
    live = [n for n in _owner_candidates(table, record) if table.is_staying(n)]
    return rendezvous_order(upstream_name(record), live)[0] if live else ""


def grantable_share(table: MemberTable, record: UpstreamRecord, total: int) -> int:
    """Return how much of a capacity this side of a possible partition may grant.

    An entry that does not answer may have failed, or may be partitioned and still
    serving. While all entries of the upstream's data centre are live, no other entry
    grants leases. Otherwise the side with more than half of the group grants the whole
    capacity, and two equal halves share it.
    """
    candidates = _owner_candidates(table, record)
    if all(table.is_staying(name) for name in candidates):
        return total if candidates else 0
    group = remaining_entries(table)
    live = [name for name in group if table.is_staying(name)]
    if 2 * len(live) == len(group):
        # The half with the lowest name gets the extra slot of an odd capacity.
        return total - total // 2 if group[0] in live else total // 2
    return total if 2 * len(live) > len(group) else 0


def _owner_candidates(table: MemberTable, record: UpstreamRecord) -> list[str]:
    remaining = remaining_entries(table)
    local = [n for n in remaining if table.data_centre_of(n) == record.data_centre]
    return local or remaining
