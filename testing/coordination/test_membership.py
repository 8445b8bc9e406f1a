"""Tests of the membership leases between entries."""

from __future__ import annotations

from hypothesis import given, strategies as st
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination.membership import (
    MemberEventKind,
    expire_members,
    make_heartbeat,
    receive_heartbeat,
)
from chervilstage.state.members import MemberReport, MemberTable
from chervilstage.state.types import Address, Peer

LEASE_SECONDS = 1.0


def table_of(name: str, peer: str, incarnation: int = 1) -> MemberTable:
    """Return the table of an entry with one peer."""
    address = Address(host="127.0.0.1", port=1)
    table = MemberTable(
        name=name,
        data_centre="gl-erie",
        peers=[Peer(name=peer, data_centre="gl-erie", address=address)],
        lease_seconds=LEASE_SECONDS,
    )
    table.report = MemberReport(incarnation=incarnation)
    return table


class LeaseTests(TestCase):
    """Guards against an entry that relies on its lease after peers removed it."""

    @given(st.lists(st.tuples(st.floats(0.01, 0.8), st.booleans()), max_size=30))
    def test_own_lease_expires_before_a_peer_removes_this_entry(
        self, steps: list[tuple[float, bool]]
    ) -> None:
        a, b = table_of("a", "b"), table_of("b", "a")
        now = 1.0
        for delay, delivered in steps:
            heartbeat = make_heartbeat(a, "b", now)
            reply_at = now + delay / 4
            if delivered:
                receive_heartbeat(b, "a", heartbeat, reply_at)
            reply = make_heartbeat(b, "a", reply_at)
            now += delay
            receive_heartbeat(a, "b", reply, now)
            expire_members(b, now)
            if a.is_own_lease_valid(now):
                self.assertThat(b.live(), Equals(["a", "b"]))

    def test_heartbeat_of_an_older_run_is_ignored(self) -> None:
        a, b = table_of("a", "b"), table_of("b", "a", incarnation=2)
        old = make_heartbeat(table_of("b", "a", incarnation=1), "a", 9.0)
        receive_heartbeat(a, "b", make_heartbeat(b, "a", 1.0), 1.0)
        self.assertThat(receive_heartbeat(a, "b", old, 1.1), Equals([]))
        self.assertThat(a.members["b"].report.incarnation, Equals(2))

    def test_silent_member_is_reported_lost_once(self) -> None:
        a, b = table_of("a", "b"), table_of("b", "a")
        receive_heartbeat(a, "b", make_heartbeat(b, "a", 0.0), 0.0)
        kinds = [event.kind for event in expire_members(a, LEASE_SECONDS)]
        self.assertThat(kinds, Equals([MemberEventKind.LOST]))
        self.assertThat(expire_members(a, LEASE_SECONDS), Equals([]))
