"""Who owns the capacity leases of an upstream, and how much of it one may give."""

from __future__ import annotations

from ..state.members import MemberTable
from ..state.types import UpstreamRecord
from .rendezvous import rendezvous_order


def upstream_name(record: UpstreamRecord) -> str:
    """Return a text that names one run of an upstream on every entry."""
    address, incarnation, service = record.identity
    return f"{address.host}:{address.port}|{incarnation}|{service}"


def remaining_entries(table: MemberTable) -> list[str]:
    """Return the configured entries but those that stopped by plan, in order."""
    left = {n for n, m in table.members.items() if m.report.leaving}
    if table.report.leaving:
        left.add(table.name)
    return sorted({table.name, *table.members} - left)


def owner_of(table: MemberTable, record: UpstreamRecord) -> str:
    """Return the lease owner of an upstream, empty where there is none."""
    live = [n for n in _scope(table, record) if table.is_staying(n)]
    return rendezvous_order(upstream_name(record), live)[0] if live else ""


def share_of(table: MemberTable, record: UpstreamRecord, width: int) -> int:
    """Return how much of a width this side of a possible cut may give.

    An entry that does not answer may be dead, or cut off and still serving. While
    all entries of the upstream's data centre are live, nobody else gives leases. Else
    the side with more than half of the group gives all, and two halves share.
    """
    scope = _scope(table, record)
    if all(table.is_staying(name) for name in scope):
        return width if scope else 0
    group = remaining_entries(table)
    live = [name for name in group if table.is_staying(name)]
    if 2 * len(live) == len(group):
        # The half with the first name takes the odd slot.
        return width - width // 2 if group[0] in live else width // 2
    return width if 2 * len(live) > len(group) else 0


def _scope(table: MemberTable, record: UpstreamRecord) -> list[str]:
    remaining = remaining_entries(table)
    local = [n for n in remaining if table.data_centre_of(n) == record.data_centre]
    return local or remaining
