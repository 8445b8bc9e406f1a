"""What a relay of flows by token may take a packet or an announcement for."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals

from testing.support.token_relays import RelayDriver, make_record


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
