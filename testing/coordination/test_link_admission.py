"""Tests of which new flows an entry admits while its link is busy."""

from __future__ import annotations

from random import Random

from testtools import TestCase
from testtools.matchers import Equals, GreaterThan, IsInstance, LessThan

from chervilstage.coordination.flow_tokens import flow_token
from chervilstage.coordination.relay_directory import apply_routing
from chervilstage.coordination.token_relay import expire_flows
from chervilstage.state.packet_decisions import DropPacket, Forward, ResetFlow
from chervilstage.state.routing import endpoint_of
from chervilstage.state.types import Address
from testing.support.token_relays import (
    FRONT_ADDRESS,
    SERVICE,
    RelayDriver,
    make_record,
    make_routing,
)

BYTES_PER_SECOND = 500_000.0
DATA_BYTES = 1_200
UPLOAD_FRONT = Address(host="198.18.0.2", port=443)
UPLOAD_BYTES = 60_000
OBJECTIVE_SECONDS = 2.0
REJECTED = ResetFlow(sequence=0, reason="link_full")


class LinkAdmissionTests(TestCase):
    """Guards against admitting so many uploads that they delay each other."""

    def setUp(self) -> None:
        super().setUp()
        self.relay = RelayDriver(records=[make_record(n) for n in range(1, 4)])
        self.state = self.relay.state
        self.link = self.state.link
        self.link.bytes_per_second = BYTES_PER_SECOND
        routes = tuple(
            make_routing(SERVICE, front=front)
            .routes[0]
            ._replace(objective_seconds=OBJECTIVE_SECONDS)
            for front in (FRONT_ADDRESS, UPLOAD_FRONT)
        )
        routing = make_routing(SERVICE, version=2)._replace(routes=routes)
        apply_routing(self.state, routing, self.relay.now)
        self.set_request_size(UPLOAD_FRONT, UPLOAD_BYTES)
        self.set_request_size(FRONT_ADDRESS, 300)

    def set_request_size(self, front: Address, size: int) -> None:
        """Set the smoothed size of the requests of a route."""
        self.state.request_bytes[endpoint_of(front)] = float(size)

    def open_upload(self, port: int, copy: int = 0) -> object:
        """Return the decision on the opening packet of an upload."""
        return self.relay.send(port, opening=True, front=UPLOAD_FRONT, copy=copy)

    def open_until_rejected(self) -> int:
        """Return how many simultaneous uploads are admitted."""
        for number in range(100):
            if self.open_upload(40_001 + number) == REJECTED:
                return number
        return 100

    def test_uploads_are_rejected_while_others_would_delay_them(self) -> None:
        admitted = self.open_until_rejected()
        self.assertThat(admitted, GreaterThan(1))
        seconds = admitted * UPLOAD_BYTES / BYTES_PER_SECOND
        self.assertThat(seconds, LessThan(OBJECTIVE_SECONDS / 2))

    def test_a_link_without_pending_load_admits_any_upload(self) -> None:
        """Guards against rejecting every request larger than the limit."""
        self.set_request_size(UPLOAD_FRONT, 100 * UPLOAD_BYTES)
        self.assertThat(self.open_upload(40_001), IsInstance(Forward))
        self.assertThat(self.open_upload(40_002), Equals(REJECTED))

    def test_short_requests_are_admitted_while_uploads_are_rejected(self) -> None:
        self.open_until_rejected()
        for port in range(50_001, 50_021):
            decision = self.relay.send(port, opening=True)
            self.assertThat(decision, IsInstance(Forward))

    def test_a_link_of_unknown_rate_rejects_no_upload(self) -> None:
        self.link.bytes_per_second = float("inf")
        self.assertThat(self.open_until_rejected(), Equals(100))

    def test_uploads_on_a_fast_link_are_not_rejected(self) -> None:
        self.link.bytes_per_second = 125_000_000.0
        self.assertThat(self.open_until_rejected(), Equals(100))

    def test_a_later_copy_is_not_rejected(self) -> None:
        """Guards against resetting a flow that another copy has opened elsewhere."""
        self.open_until_rejected()
        decision = self.open_upload(50_001, copy=1)
        self.assertThat(decision, IsInstance(Forward))

    def test_an_open_flow_is_not_reset_while_the_link_is_full(self) -> None:
        """Guards against resetting open flows because of load."""
        token = self.relay.open_flow(50_001).token or 0
        self.open_until_rejected()
        decision = self.relay.send(50_001, token=token, size=DATA_BYTES)
        self.assertThat(decision, IsInstance(Forward))

    def test_finished_uploads_free_capacity(self) -> None:
        admitted = self.open_until_rejected()
        token = self.send_upload(40_001)
        self.assertThat(self.open_upload(50_001), IsInstance(Forward))
        self.assertThat(self.link.expected_flows, Equals(admitted))
        self.relay.send(
            40_001, front=UPLOAD_FRONT, token=token, ending=True, acknowledged=1
        )
        self.assertThat(self.link.expected_flows, Equals(admitted))

    def send_upload(self, port: int, size: int = UPLOAD_BYTES) -> int:
        """Send the data of an upload whose flow is opening, and return its token."""
        flow = self.state.flows[self.key_of(port)]
        token = flow_token(flow.upstream.identity)
        for sequence in range(2, size, DATA_BYTES):
            self.relay.send(
                port,
                front=UPLOAD_FRONT,
                token=token,
                sequence=sequence,
                size=DATA_BYTES,
            )
        return token

    def key_of(self, port: int) -> bytes:
        """Return the key of an upload."""
        caller = endpoint_of(Address(host="100.64.0.1", port=port))
        return caller + endpoint_of(UPLOAD_FRONT)

    def test_request_sizes_are_learned_from_answered_requests(self) -> None:
        """Guards against a limit that relies on fixed request sizes."""
        front = endpoint_of(UPLOAD_FRONT)
        for port in range(40_001, 40_041):
            self.relay.now += 5.0
            expire_flows(self.state, self.relay.now)
            self.open_upload(port)
            token = self.send_upload(port, 2 * UPLOAD_BYTES)
            self.relay.send(
                port,
                front=UPLOAD_FRONT,
                token=token,
                sequence=2 * UPLOAD_BYTES,
                acknowledged=1,
                ending=True,
            )
        self.assertThat(
            self.state.request_bytes[front], GreaterThan(1.9 * UPLOAD_BYTES)
        )

    def test_removed_flows_leave_no_expected_load(self) -> None:
        """Guards against a leak in the expected load, which would reject ever more."""
        rng = Random(5)
        for _ in range(400):
            port = 40_001 + rng.randrange(30)
            self.relay.now += rng.random() * 0.3
            if rng.random() < 0.5:
                decision = self.relay.send(
                    port,
                    opening=True,
                    front=rng.choice((FRONT_ADDRESS, UPLOAD_FRONT)),
                    sequence=rng.getrandbits(32),
                )
                self.assertThat(decision is None, Equals(False))
            elif self.key_of(port) in self.state.flows:
                self.send_upload(port, rng.randrange(2, 3 * UPLOAD_BYTES))
            expire_flows(self.state, self.relay.now)
        self.relay.now += 120.0
        expire_flows(self.state, self.relay.now)
        self.assertThat(self.state.flows, Equals({}))
        self.assertThat(
            (self.link.expected_bytes, self.link.expected_flows), Equals((0.0, 0))
        )

    def test_an_opening_packet_that_waited_long_is_not_rejected(self) -> None:
        """Guards against resetting a flow that a later copy has opened elsewhere."""
        self.open_until_rejected()
        decision = self.relay.send(50_001, opening=True, front=UPLOAD_FRONT, waited=0.3)
        self.assertThat(isinstance(decision, ResetFlow), Equals(False))
        self.assertThat(decision, IsInstance((Forward, DropPacket)))
