"""What a relay of flows by token may take a packet or an announcement for."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, Not

from chervilstage.coordination.relay_directory import FORGOTTEN_SECONDS, forget_old
from chervilstage.state.flow_packets import ResetFlow
from testing.support.token_relays import RelayDriver, make_record


class EarlySignsTests(TestCase):
    """Signs of an end or of a lost opening that are no proof yet."""

    def test_another_entry_waits_as_long_after_an_end(self) -> None:
        """Guards against a reset while the upstream answers what it has in hand."""
        holds, other = (RelayDriver(records=[make_record(1)]) for _ in range(2))
        opened = holds.open(40_001)
        for relay in (holds, other):
            relay.hear(make_record(1), gone=True)
            relay.now += 0.1
            later = relay.send(40_001, token=opened.token or 0, size=10)
            self.assertThat(later, Not(IsInstance(ResetFlow)))

    def test_a_copy_whose_first_went_elsewhere_is_not_refused(self) -> None:
        """Guards against a reset of a flow that another entry has opened meanwhile."""
        relay = RelayDriver(records=[make_record(1, cold_seconds=9.0)], name="entry-2")
        relay.state.entries = ("entry-1", "entry-2")
        copies = [
            relay.send(40_001 + number, opening=True, copy=1) for number in range(2)
        ]
        self.assertThat([c for c in copies if isinstance(c, ResetFlow)], Equals([]))

    def test_a_run_that_is_heard_after_its_end_has_not_ended(self) -> None:
        """Guards against an end that was told wrongly and counts after a silence."""
        relay = RelayDriver(records=[make_record(1)])
        opened = relay.open(40_001)
        relay.hear(make_record(1), gone=True)
        relay.hear(make_record(1, sequence=2))
        relay.now += FORGOTTEN_SECONDS + 1.0
        forget_old(relay.state, relay.now)
        later = relay.send(40_001, token=opened.token or 0, size=10)
        self.assertThat(later, Not(IsInstance(ResetFlow)))


class RequestsOfHighSequencesTests(TestCase):
    """Callers begin to count their bytes anywhere in the number space."""

    def test_a_request_counts_whatever_the_caller_began_to_count_at(self) -> None:
        """Guards against upstreams that look free while they have requests."""
        for first in (1, (1 << 31) + 5):
            relay = RelayDriver(records=[make_record(1)])
            opening = relay.send(40_001, opening=True, sequence=first)
            relay.send(40_001, token=opening.token or 0, sequence=first)
            relay.send(40_001, token=opening.token or 0, sequence=first, size=100)
            load = relay.state.load_of(make_record(1))
            self.assertThat((first, load.in_flight), Equals((first, 1)))
