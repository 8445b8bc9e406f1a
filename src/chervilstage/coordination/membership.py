"""Membership of a group of entries, based on heartbeats."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from ..state.members import Heartbeat, MemberReport, MemberTable


class MemberEventKind(StrEnum):
    """The kind of a membership change."""

    JOINED = "joined"
    RESTARTED = "restarted"
    REPORTED = "reported"
    LOST = "lost"


class MemberEvent(NamedTuple):
    """A membership change of a peer."""

    kind: MemberEventKind
    name: str


def make_heartbeat(table: MemberTable, peer: str, now: float) -> Heartbeat:
    """Return the next heartbeat to a peer.

    :param now: monotonic seconds of this entry.
    """
    return Heartbeat(sent_at=now, echo=table.members[peer].sent_at, report=table.report)


def receive_heartbeat(
    table: MemberTable, sender: str, heartbeat: Heartbeat, now: float
) -> list[MemberEvent]:
    """Record a heartbeat of a peer and return the resulting events.

    A heartbeat of an older run of the peer, or one that arrives out of order, is
    ignored.
    """
    member = table.members.get(sender)
    if member is None or _is_stale(member.report, member.sent_at, heartbeat):
        return []
    was_live = sender in table.live_names
    before = member.report
    table.members[sender] = member._replace(
        report=heartbeat.report,
        last_heartbeat_at=now,
        sent_at=heartbeat.sent_at,
        echoed_at=max(member.echoed_at, heartbeat.echo or float("-inf")),
    )
    table.live_names.add(sender)
    return _membership_events(sender, was_live, before, heartbeat.report)


def expire_members(table: MemberTable, now: float) -> list[MemberEvent]:
    """Remove peers whose lease has expired and return them as lost."""
    lost = sorted(
        name
        for name in table.live_names
        if now - table.members[name].last_heartbeat_at >= table.lease_seconds
    )
    table.live_names.difference_update(lost)
    return [MemberEvent(kind=MemberEventKind.LOST, name=name) for name in lost]


def _is_stale(known: MemberReport, sent_at: float, heartbeat: Heartbeat) -> bool:
    if heartbeat.report.incarnation != known.incarnation:
        return heartbeat.report.incarnation < known.incarnation
    return heartbeat.sent_at <= sent_at


def _membership_events(
    name: str, was_live: bool, before: MemberReport, after: MemberReport
) -> list[MemberEvent]:
    if was_live and before.incarnation != after.incarnation:
        return [MemberEvent(kind=MemberEventKind.RESTARTED, name=name)]
    if not was_live:
        return [MemberEvent(kind=MemberEventKind.JOINED, name=name)]
    if before != after:
        return [MemberEvent(kind=MemberEventKind.REPORTED, name=name)]
    return []
