"""Tests of the token relay while upstreams do not answer."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance

from chervilstage.coordination.suspicion import (
    has_no_reachable_upstream,
    is_suspect,
    record_missing_answer,
    record_upstream_answer,
)
from chervilstage.state.packet_decisions import Forward
from testing.support.token_relays import RelayDriver, make_record


class SilentUpstreamTests(TestCase):
    """Guards against callers that wait for unreachable upstreams."""

    def setUp(self) -> None:
        super().setUp()
        self.records = [
            make_record(1),
            make_record(2),
            make_record(3, data_centre="gl-huron"),
            make_record(4, data_centre="gl-huron"),
        ]
        self.relay = RelayDriver(records=self.records)
        self.callers = iter(range(50_000, 60_000))

    def open_at(self, label: int) -> tuple[int, int]:
        """Open a flow at an upstream and return its caller and token."""
        for caller in self.callers:
            opened = self.relay.open_flow(caller)
            if opened.label == label:
                return caller, opened.token or 0
        raise AssertionError(f"no flow reached upstream {label}")

    def announce(self, *labels: int) -> None:
        """Deliver new announcements of some upstreams."""
        for index, record in enumerate(self.records):
            if record.label in labels:
                record = record._replace(sequence=record.sequence + 1)
                self.records[index] = record
                self.relay.apply_records(record)

    def assert_flow_kept(self, caller: int, token: int, *, label: int) -> None:
        """Check that a flow is stored and that its packets reach its upstream."""
        flows = self.relay.state.flows
        caller_flows = [
            f for key, f in flows.items() if key[4:6] == caller.to_bytes(2, "big")
        ]
        self.assertThat([f.upstream.label for f in caller_flows], Equals([label]))
        repeated = self.relay.send(caller, token=token, sequence=1, size=100)
        self.assertThat(repeated, IsInstance(Forward))
        self.assertThat(repeated.label, Equals(label))

    def silence_other_upstreams(self, data_centre: str) -> None:
        """Record two other upstreams of a data centre as silent, a second ago."""
        others = [make_record(n, data_centre=data_centre) for n in (5, 6)]
        self.relay.apply_records(*others)
        for record in others:
            record_missing_answer(self.relay.state, record, self.relay.now)
        self.relay.now += 1.0

    def leave_opening_packets_unanswered(self, label: int, seconds: float) -> None:
        """Advance the time while one upstream answers no opening packet."""
        end = self.relay.now + seconds
        while self.relay.now < end:
            caller = next(self.callers)
            opened = self.relay.send(caller, opening=True)
            if opened.label != label:
                self.relay.send(caller, token=opened.token or 0)
            self.relay.now += 0.02
            if opened.label == label:
                self.relay.now += 0.2
                retried = self.relay.send(caller, opening=True)
                self.relay.send(caller, token=retried.token or 0)

    def test_silence_keeps_open_flows_and_sends_new_ones_elsewhere(self) -> None:
        """Guards against a reset of a flow whose upstream may be alive."""
        caller, token = self.open_at(1)
        self.relay.send(caller, token=token, sequence=1, size=100)
        self.leave_opening_packets_unanswered(1, 3.0)
        self.announce(2, 3, 4)
        self.assert_flow_kept(caller, token, label=1)
        self.assertTrue(is_suspect(self.relay.state, self.records[0], self.relay.now))
        opened = {self.relay.open_flow(next(self.callers)).label for _ in range(20)}
        self.assertThat(1 in opened, Equals(False))

    def test_a_silent_upstream_that_announces_itself_keeps_its_flows(self) -> None:
        """Guards against closing flows whose upstream is still processing them.

        In a run without injected faults on an enlarged deployment an upstream answered
        three callers of one entry late, and their flows were reset.
        """
        caller, token = self.open_at(1)
        self.relay.send(caller, token=token, sequence=1, size=100)
        self.leave_opening_packets_unanswered(1, 3.0)
        self.announce(1, 2, 3, 4)
        self.assert_flow_kept(caller, token, label=1)

    def test_an_upstream_beside_silent_ones_keeps_the_flow_whose_packets_are_lost(
        self,
    ) -> None:
        """Guards against a reset of an open flow whose upstream announces itself."""
        caller, token = self.open_at(3)
        self.relay.now += 3.0
        self.silence_other_upstreams("gl-huron")
        self.relay.send(caller, token=token, sequence=1, size=100)
        for passed in (0.2, 0.4, 0.8, 1.6):
            self.relay.now += passed
            self.announce(1, 2, 3, 4)
            repeated = self.relay.send(caller, token=token, sequence=1, size=100)
            self.assertThat(repeated, IsInstance(Forward))
            self.assertThat(repeated.label, Equals(3))

    def test_an_upstream_that_answers_anything_keeps_its_flows(self) -> None:
        """Guards against a reset of one flow while the upstream answers another one."""
        caller, token = self.open_at(1)
        busy, busy_token = self.open_at(1)
        self.relay.send(caller, token=token, sequence=1, size=100)
        for number in range(8):
            self.leave_opening_packets_unanswered(1, 0.4)
            self.relay.send(
                busy,
                token=busy_token,
                sequence=1 + number,
                size=100,
                acknowledged=number,
            )
        self.assert_flow_kept(caller, token, label=1)

    def test_an_idle_upstream_beside_silent_ones_keeps_its_flows(self) -> None:
        """Guards against counting an idle upstream as silent at its next request.

        The resulting reset of an open flow was found by hunt-0ef1-39 of lsac-lanes.
        """
        caller, token = self.open_at(3)
        self.relay.now += 5.0
        self.silence_other_upstreams("gl-huron")
        decision = self.relay.send(caller, token=token, sequence=1, size=100)
        self.assertThat(decision, IsInstance(Forward))
        self.relay.now += 0.075
        self.assert_flow_kept(caller, token, label=3)

    def test_a_slow_answer_of_a_rarely_used_upstream_closes_no_flow(self) -> None:
        """Guards against silence that counts from before a request was sent.

        On enlarged deployments each entry sends an upstream a request only every few
        seconds; open flows were reset in a run without injected faults.
        """
        flows = [self.open_at(1), self.open_at(1)]
        self.relay.now += 5.0
        for caller, token in flows:
            self.relay.send(caller, token=token, sequence=1, size=100)
        for passed in (0.36, 0.34):
            self.relay.now += passed
            for caller, token in flows:
                repeated = self.relay.send(caller, token=token, sequence=1, size=100)
                self.assertThat(repeated, IsInstance(Forward))
        self.announce(2)
        self.relay.now += 0.1
        for caller, token in flows:
            self.assert_flow_kept(caller, token, label=1)

    def test_an_earlier_silence_closes_no_flow(self) -> None:
        """Guards against silence after a request that was answered at another entry.

        In scale-2 of an enlarged deployment a flow continued at another entry after its
        request; ten seconds later the next request closed a flow at once.
        """
        moved, moved_token = self.open_at(1)
        caller, token = self.open_at(1)
        self.relay.now += 0.01
        for _ in range(2):
            self.relay.send(moved, token=moved_token, sequence=1, size=100)
            self.relay.now += 0.4
        self.relay.now += 10.0
        self.silence_other_upstreams("gl-erie")
        decision = self.relay.send(caller, token=token, sequence=1, size=100)
        self.assertThat(decision, IsInstance(Forward))
        self.relay.now += 0.1
        self.assert_flow_kept(caller, token, label=1)

    def test_one_unanswered_flow_closes_no_flow(self) -> None:
        """Guards against losses on a full link that count as a silent upstream.

        On enlarged deployments uploads filled the link of an entry, and the
        retransmissions of one flow closed another flow.
        """
        caller, token = self.open_at(1)
        other, other_token = self.open_at(1)
        self.relay.send(other, token=other_token, sequence=1, size=100)
        for _ in range(8):
            self.relay.now += 0.4
            self.relay.send(other, token=other_token, sequence=1, size=100)
        self.assert_flow_kept(caller, token, label=1)

    def test_packets_repeated_together_count_as_one_silence(self) -> None:
        """Guards against avoiding an upstream for long after a single loss."""
        caller, token = self.open_at(1)
        for number in range(10):
            self.relay.send(caller, token=token, sequence=1 + 100 * number, size=100)
        self.relay.now += 0.4
        for number in range(10):
            self.relay.send(caller, token=token, sequence=1 + 100 * number, size=100)
        self.assertTrue(is_suspect(self.relay.state, self.records[0], self.relay.now))
        self.relay.now += 0.6
        self.assertFalse(is_suspect(self.relay.state, self.records[0], self.relay.now))

    def test_a_continuing_upload_counts_as_an_answer(self) -> None:
        """Guards against uploads over a slow link that make an upstream suspect."""
        caller, token = self.open_at(1)
        for number in range(60):
            self.relay.now += 0.05
            for sequence in (1 + 1200 * number, 1 + 1200 * max(0, number - 1)):
                self.relay.send(caller, token=token, sequence=sequence, size=1200)
        self.assertFalse(is_suspect(self.relay.state, self.records[0], self.relay.now))

    def test_packets_of_callers_do_not_count_as_answers(self) -> None:
        """Guards against new flows at a silent upstream whose callers send packets."""
        caller, token = self.open_at(1)
        self.relay.send(caller, token=token, sequence=1, size=100)
        self.leave_opening_packets_unanswered(1, 3.0)
        self.announce(2, 3, 4)
        self.assert_flow_kept(caller, token, label=1)
        self.assertTrue(is_suspect(self.relay.state, self.records[0], self.relay.now))

    def test_an_entry_that_gets_no_answers_closes_no_flow(self) -> None:
        """Guards against an entry that closes flows because its own network fails."""
        caller, token = self.open_at(1)
        self.relay.send(caller, token=token, sequence=1, size=100)
        for number in range(20):
            self.relay.send(60_000 + number, opening=True)
        for _ in range(5):
            self.relay.now += 0.4
            for number in range(20):
                self.relay.send(60_000 + number, opening=True)
        self.assert_flow_kept(caller, token, label=1)

    def test_an_entry_that_reaches_no_upstream_reports_so_until_one_answers(
        self,
    ) -> None:
        """Guards against an unreported outage, or one reported after it has ended."""
        self.relay.open_flow(40_001)
        for number in range(20):
            self.relay.send(60_000 + number, opening=True)
        self.assertFalse(has_no_reachable_upstream(self.relay.state, self.relay.now))
        for _ in range(3):
            self.relay.now += 0.5
            for number in range(20):
                self.relay.send(60_000 + number, opening=True)
        self.assertTrue(has_no_reachable_upstream(self.relay.state, self.relay.now))
        self.relay.open_flow(40_002)
        self.assertFalse(has_no_reachable_upstream(self.relay.state, self.relay.now))

    def test_two_silent_upstreams_make_their_data_centre_suspect(self) -> None:
        """Guards against sending new flows to a data centre that fails as a whole."""
        for record in self.records[2:]:
            load = self.relay.state.load_of(record)
            load.answered_at = self.relay.now
        record_missing_answer(self.relay.state, self.records[2], self.relay.now)
        self.assertFalse(is_suspect(self.relay.state, self.records[3], self.relay.now))
        record_missing_answer(
            self.relay.state,
            make_record(5, data_centre="gl-huron"),
            self.relay.now,
        )
        self.assertTrue(is_suspect(self.relay.state, self.records[3], self.relay.now))
        record_upstream_answer(self.relay.state, self.records[3], self.relay.now)
        self.assertFalse(is_suspect(self.relay.state, self.records[3], self.relay.now))
