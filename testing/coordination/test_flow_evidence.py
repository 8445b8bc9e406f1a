"""Which packets and announcements a token relay accepts as evidence about a flow."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, Not

from chervilstage.coordination.flow_tokens import flow_token
from chervilstage.coordination.relay_directory import (
    UPSTREAM_EXPIRY_SECONDS,
    expire_upstreams,
)
from chervilstage.state.packet_decisions import DropPacket, Forward, ResetFlow
from chervilstage.state.types import Address
from chervilstage.transport.token_relay import DEFERRED_REASONS
from testing.support.token_relays import FRONT_ADDRESS, RelayDriver, make_record


class InconclusiveEvidenceTests(TestCase):
    """Evidence of an end or of a lost opening packet that is not conclusive."""

    def test_no_entry_resets_a_flow_right_after_its_upstream_ends(self) -> None:
        """Guards against a reset while the upstream still answers pending requests."""
        owner, other = (RelayDriver(records=[make_record(1)]) for _ in range(2))
        opened = owner.open_flow(40_001)
        for relay in (owner, other):
            relay.apply_records(make_record(1), gone=True)
            relay.now += 0.1
            later = relay.send(40_001, token=opened.token or 0, size=10)
            self.assertThat(later, Not(IsInstance(ResetFlow)))

    def test_a_copy_of_an_opening_packet_sent_elsewhere_is_not_reset(self) -> None:
        """Guards against a reset of a flow that another entry has opened meanwhile."""
        relay = RelayDriver(records=[make_record(1, cold_seconds=9.0)], name="entry-2")
        relay.state.entries = ("entry-1", "entry-2")
        copies = [
            relay.send(40_001 + number, opening=True, copy=1) for number in range(2)
        ]
        self.assertThat([c for c in copies if isinstance(c, ResetFlow)], Equals([]))

    def test_a_copy_on_an_unknown_route_is_not_reset(self) -> None:
        """Guards against a reset of a flow that an entry with a newer table opened."""
        relay = RelayDriver(records=[make_record(1)])
        added = Address(host="198.18.0.9", port=443)
        copy = relay.send(40_001, opening=True, copy=1, front=added)
        self.assertThat(copy, Not(IsInstance(ResetFlow)))

    def test_an_opening_packet_of_a_caller_that_timed_out_is_dropped(self) -> None:
        """Guards against a second answer to a caller whose flow is open elsewhere."""
        for copy, timeout_seconds in ((0, 1.4), (1, 1.2), (2, 0.8)):
            relay = RelayDriver(records=[make_record(1)])
            late = relay.send(
                40_001, opening=True, copy=copy, waited=timeout_seconds + 0.1
            )
            self.assertThat(late, Equals(DropPacket(reason="attempt_over")))
            timely = relay.send(
                40_001, opening=True, copy=copy, waited=timeout_seconds - 0.1
            )
            self.assertThat(timely, IsInstance(Forward))

    def test_a_delayed_opening_packet_is_not_reset(self) -> None:
        """Guards against a reset of a flow that a copy opened during a stall."""
        added = Address(host="198.18.0.9", port=443)
        unknown_route = RelayDriver(records=[make_record(1)])
        no_upstream = RelayDriver(records=[])
        for relay, front in ((unknown_route, added), (no_upstream, FRONT_ADDRESS)):
            late = relay.send(40_001, opening=True, front=front, waited=0.7)
            self.assertThat(late, IsInstance(DropPacket))

    def test_a_delayed_opening_packet_moves_no_flow_opened_by_a_copy(self) -> None:
        """Guards against relaying by a second upstream's token after a stall."""
        relay = RelayDriver(records=[make_record(1)])
        late = relay.send(40_001, opening=True, waited=0.7)
        token = getattr(late, "token", None) or 0
        relay.now += 0.1
        later = relay.send(40_001, token=token, sequence=1_000, size=100)
        self.assertThat(later, Equals(DropPacket(reason="provisional_token")))

    def test_a_delayed_opening_packet_still_opens_a_flow(self) -> None:
        """Guards against callers that get no answer after an entry stalled."""
        relay = RelayDriver(records=[make_record(1)])
        late = relay.send(40_001, opening=True, waited=0.7)
        token = getattr(late, "token", None) or 0
        first = relay.send(40_001, token=token, sequence=2, size=100)
        self.assertThat(first, IsInstance(Forward))

    def test_a_run_that_announces_itself_after_a_reported_end_keeps_its_flows(
        self,
    ) -> None:
        """Guards against a wrongly reported end that takes effect after a silence."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1), gone=True)
        relay.apply_records(make_record(1, sequence=2))
        relay.now += UPSTREAM_EXPIRY_SECONDS + 1.0
        expire_upstreams(relay.state, relay.now)
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, Not(IsInstance(ResetFlow)))


class InitialSequenceNumberTests(TestCase):
    """Callers may start their sequence numbers anywhere in the number space."""

    def test_a_request_is_counted_for_any_initial_sequence_number(self) -> None:
        """Guards against upstreams that seem idle with requests in flight."""
        for first in (1, (1 << 31) + 5):
            relay = RelayDriver(records=[make_record(1)])
            opening = relay.send(40_001, opening=True, sequence=first)
            relay.send(40_001, token=opening.token or 0, sequence=first)
            relay.send(40_001, token=opening.token or 0, sequence=first, size=100)
            load = relay.state.load_of(make_record(1))
            self.assertThat((first, load.in_flight), Equals((first, 1)))


class DuplicateAnswersTests(TestCase):
    """Two upstreams that answer copies of one opening packet."""

    def setUp(self) -> None:
        super().setUp()
        self.records = [make_record(1), make_record(2)]
        self.first = RelayDriver(records=self.records)
        self.other = RelayDriver(records=self.records, name="entry-2")

    def test_the_token_of_a_half_open_upstream_moves_no_flow_at_other_entries(
        self,
    ) -> None:
        """Guards against moving a flow to an upstream that repeats its answer."""
        for caller, place in ((40_001, 0), (40_002, 1)):
            copies = [self.first.send(caller, opening=True)]
            self.first.now += 0.2
            copies.append(self.first.send(caller, opening=True, copy=1))
            self.assertThat(copies[0].label, Not(Equals(copies[1].label)))
            opened, half_open = copies[place], copies[1 - place]
            accepted = self.first.send(caller, token=opened.token or 0)
            self.assertThat(accepted.label, Equals(opened.label))
            later = self.other.send(
                caller, token=half_open.token or 0, sequence=5_000, size=100
            )
            label = getattr(later, "label", None)
            self.assertThat(label, Not(Equals(half_open.label)))

    def test_a_packet_that_overtakes_the_first_is_deferred_until_the_first_arrives(
        self,
    ) -> None:
        """Guards against requests that wait for a retransmission."""
        opening = self.first.send(40_001, opening=True)
        token = opening.token or 0
        for offset in (15 * 1200, 1200):
            later = self.first.send(40_001, token=token, sequence=2 + offset, size=1200)
            self.assertThat(later, Equals(DropPacket(reason="ahead_of_first")))
        self.assertThat("ahead_of_first" in DEFERRED_REASONS, Equals(True))
        data = self.first.send(40_001, token=token, sequence=2, size=1200)
        self.assertThat((data.label, data.has_opened), Equals((opening.label, True)))
        later = self.first.send(40_001, token=token, sequence=2 + 1200, size=1200)
        self.assertThat((later.label, later.has_opened), Equals((opening.label, False)))

    def test_a_late_copy_does_not_open_the_flow_at_another_upstream(
        self,
    ) -> None:
        """Guards against moving a flow that continued elsewhere under another token."""
        label = self.first.open_flow(40_001).label
        late = self.other.send(40_001, opening=True, sequence=1, copy=1)
        while late.label == label:
            self.other.now += 0.2
            late = self.other.send(40_001, opening=True, sequence=1, copy=2)
        later = self.other.send(40_001, token=late.token or 0, sequence=5_000, size=100)
        self.assertThat(getattr(later, "label", None), Not(Equals(late.label)))


class ReusedPortTests(TestCase):
    """A caller's address and port that are reused for another flow."""

    def setUp(self) -> None:
        super().setUp()
        self.relay = RelayDriver(records=[make_record(1), make_record(2)])
        self.opened = self.relay.open_flow(40_001)
        self.relay.send(40_001, token=self.opened.token or 0, sequence=1, size=100)
        self.relay.now += 5.0

    def test_a_new_flow_of_a_reused_port_is_not_treated_as_a_late_copy(self) -> None:
        """Guards against dropping new flows of a port until its old flow expires."""
        opening = self.relay.send(40_001, opening=True, sequence=1 << 30)
        self.assertThat(opening, IsInstance(Forward))

    def test_an_old_flow_does_not_capture_the_packets_of_a_new_one(self) -> None:
        """Guards against relaying another entry's flow to the wrong upstream."""
        other = 3 - self.opened.label
        token = flow_token(make_record(other).identity)
        packet = self.relay.send(
            40_001, token=token, sequence=1 << 30, acknowledged=1 << 29, size=10
        )
        self.assertThat(packet, IsInstance(Forward))
        self.assertThat(packet.label, Equals(other))


class OpenedElsewhereTests(TestCase):
    """An opening packet received here whose flow opened through another entry."""

    def setUp(self) -> None:
        super().setUp()
        self.records = [make_record(1), make_record(2)]
        self.first = RelayDriver(records=self.records[:1])
        self.other = RelayDriver(records=self.records[1:], name="entry-2")
        self.answer_here = self.first.send(40_001, opening=True, sequence=1)
        self.first.now += 0.2
        self.other.now += 0.2
        self.answer_there = self.other.send(40_001, opening=True, sequence=1, copy=1)
        self.first.apply_records(*self.records)
        self.other.apply_records(*self.records)

    def test_a_late_answer_to_the_first_copy_moves_no_flow_opened_by_the_second(
        self,
    ) -> None:
        """Guards against packets to an upstream that answered but got no flow."""
        opened = self.other.send(40_001, token=self.answer_there.token, sequence=2)
        self.assertThat(opened.label, Equals(2))
        self.first.now += 0.3
        later = self.first.send(
            40_001, token=self.answer_here.token, sequence=2, size=100
        )
        self.assertThat(getattr(later, "label", None), Not(Equals(1)))

    def test_a_first_packet_that_this_entry_read_late_opens_its_flow(self) -> None:
        """Guards against callers that get no answer after an entry stalled briefly."""
        self.first.now += 0.8
        late = self.first.send(
            40_001, token=self.answer_here.token, sequence=2, size=100, waited=0.7
        )
        self.assertThat(late.label, Equals(1))

    def test_a_delayed_later_packet_moves_no_flow_opened_by_the_second(
        self,
    ) -> None:
        """Guards against using the longest possible delay of a packet as its delay."""
        self.first.now += 2.8
        later = self.first.send(
            40_001, token=self.answer_here.token, sequence=841, size=100, waited=2.7
        )
        self.assertThat(later, Equals(DropPacket(reason="provisional_token")))

    def test_an_answer_to_the_second_copy_moves_no_flow_opened_by_the_first(
        self,
    ) -> None:
        """Guards against moving a flow to an upstream that answered only a copy."""
        opened = self.first.send(40_001, token=self.answer_here.token, sequence=2)
        self.assertThat(opened.label, Equals(1))
        self.other.now += 0.3
        later = self.other.send(
            40_001, token=self.answer_there.token, sequence=2, size=100
        )
        self.assertThat(getattr(later, "label", None), Not(Equals(2)))

    def test_the_end_of_an_upstream_that_got_no_flow_closes_no_flow(self) -> None:
        """Guards against a reset by the end of an upstream that answered too late."""
        opened = self.other.send(40_001, token=self.answer_there.token, sequence=2)
        self.assertThat(opened.label, Equals(2))
        self.first.apply_records(make_record(1), gone=True)
        self.first.now += 0.5
        later = self.first.send(
            40_001, token=self.answer_here.token, sequence=2, size=100
        )
        self.assertThat(later, Not(IsInstance(ResetFlow)))

    def test_later_data_after_the_next_copy_was_due_moves_no_flow(self) -> None:
        """Guards against treating a flow that continued elsewhere as a new one."""
        self.other.send(40_001, token=self.answer_there.token, sequence=2, size=500)
        self.first.now += 0.1
        later = self.first.send(
            40_001, token=self.answer_here.token, sequence=502, size=100
        )
        self.assertThat(getattr(later, "label", None), Not(Equals(1)))

    def test_later_data_that_this_entry_may_have_delayed_moves_no_flow(self) -> None:
        """Guards against treating a recent packet as an old one after a stall."""
        self.other.send(40_001, token=self.answer_there.token, sequence=2, size=500)
        self.first.now += 0.8
        later = self.first.send(
            40_001,
            token=self.answer_here.token,
            sequence=502,
            size=100,
            waited=0.7,
        )
        self.assertThat(getattr(later, "label", None), Not(Equals(1)))


class RestartedUpstreamTests(TestCase):
    """An upstream that has restarted under its id and is not known yet."""

    def test_the_end_of_the_previous_run_closes_no_flow_opened_by_the_next_run(
        self,
    ) -> None:
        """Guards against resets of flows that an unannounced run has accepted."""
        next_run = make_record(1, incarnation=2)
        for is_owner in (True, False):
            relay = RelayDriver(records=[make_record(1)])
            opened = relay.open_flow(40_001)
            if not is_owner:
                relay = RelayDriver(records=[make_record(1)], name="entry-2")
            relay.apply_records(next_run)
            relay.now += 0.5
            later = relay.send(40_001, token=opened.token or 0, size=10)
            self.assertThat(later, Not(IsInstance(ResetFlow)))

    def test_a_late_end_of_the_previous_run_closes_no_flow_of_a_known_run(
        self,
    ) -> None:
        """Guards against a reset by an entry that has just started."""
        previous_run = make_record(1)
        relay = RelayDriver(records=[make_record(1, incarnation=2)])
        relay.apply_records(previous_run, gone=True)
        relay.now += 0.5
        later = relay.send(40_001, token=flow_token(previous_run.identity), size=10)
        self.assertThat(later, Not(IsInstance(ResetFlow)))

    def test_silence_of_the_next_run_closes_no_flow_that_it_accepted(self) -> None:
        """Guards against silence that closes a flow after an earlier end."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1, incarnation=2))
        relay.now += UPSTREAM_EXPIRY_SECONDS + 1.0
        expire_upstreams(relay.state, relay.now)
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, Not(IsInstance(ResetFlow)))


class RepeatedLeaveTests(TestCase):
    """An upstream whose leave call succeeds, but the answer to it is lost."""

    def test_an_upstream_that_says_again_that_it_ends_keeps_its_flows_till_then(
        self,
    ) -> None:
        """Guards against a reset while an upstream repeats its leave call."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open_flow(40_001)
        relay.apply_records(make_record(1), gone=True)
        relay.now += 1.0
        relay.apply_records(make_record(1), gone=True)
        relay.now += 0.1
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, Not(IsInstance(ResetFlow)))
