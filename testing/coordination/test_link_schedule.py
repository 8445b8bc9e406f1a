"""Tests of the order and pace in which an entry sends packets on its link."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from chervilstage.coordination.link_schedule import (
    LEAD_SECONDS,
    can_send_immediately,
    is_opening_expired,
    pop_next_packet,
    pop_sendable_packet,
    record_sent,
    request_deadline,
    waited_seconds,
)
from chervilstage.coordination.suspicion import is_suspect
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import SEQUENCE_SPACE, FlowPacket
from chervilstage.state.link import Link
from chervilstage.state.link_queue import (
    MAXIMUM_BYTES,
    MAXIMUM_FLOW_PACKETS,
    LinkQueue,
    QueuedPacket,
)
from chervilstage.state.packet_decisions import DropPacket, Forward, PacketDecision
from chervilstage.state.types import Address
from testing.support.token_relays import (
    CALLER_HOST,
    RelayDriver,
    make_packet,
    make_queued_packet,
    make_record,
)

BYTES_PER_SECOND = 500_000.0
DATA_BYTES = 1_200
UPSTREAM = Forward(address=Address(host="10.0.0.1", port=8080), label=1, token=None)


def make_caller_packet(port: int, **fields: int) -> FlowPacket:
    """Return a packet of the caller that uses a port."""
    return make_packet(Address(host=CALLER_HOST, port=port), **fields)


def make_queued_data(
    port: int, sequence: int, due: float | None = None
) -> QueuedPacket:
    """Return a queued data packet; only those of long requests have a deadline."""
    packet = make_caller_packet(port, sequence=sequence, size=DATA_BYTES)
    return make_queued_packet(packet, UPSTREAM, 0.0)._replace(due_at=due)


def packet_in(queued: QueuedPacket) -> FlowPacket:
    """Return the caller's packet in a queued datagram."""
    assert queued.packet is not None
    return queued.packet


def port_of(queued: QueuedPacket) -> int:
    """Return the port of the caller of a queued packet."""
    return int.from_bytes(packet_in(queued).caller[4:6], "big")


def drain_caller_ports(queue: LinkQueue, now: float = 0.0) -> list[int]:
    """Empty a queue and return the callers' ports in the order of sending."""
    ports = []
    while queued := pop_next_packet(queue, now):
        ports.append(port_of(queued))
    return ports


class SchedulingOrderTests(TestCase):
    """Guards against flows that are delayed by bursts of others."""

    def test_a_one_packet_request_is_sent_before_the_rest_of_an_upload(self) -> None:
        queue = LinkQueue()
        for number in range(16):
            queue.add(make_queued_data(40_001, number * DATA_BYTES))
        pop_next_packet(queue, 0.0)
        queue.add(make_queued_data(40_002, 0))
        self.assertThat(drain_caller_ports(queue)[:2], Equals([40_002, 40_001]))

    def test_short_requests_are_served_round_robin(self) -> None:
        queue = LinkQueue()
        for port in (40_001, 40_002):
            for number in range(3):
                queue.add(make_queued_data(port, number * DATA_BYTES))
        self.assertThat(drain_caller_ports(queue), Equals([40_001, 40_002] * 3))

    def test_long_requests_are_sent_earliest_deadline_first(self) -> None:
        """Guards against uploads that share a full link until all are late."""
        queue = LinkQueue()
        for number in range(3):
            for port, due in ((40_002, 6.0), (40_001, 5.0)):
                queue.add(make_queued_data(port, number * DATA_BYTES, due))
        self.assertThat(drain_caller_ports(queue), Equals([40_001] * 3 + [40_002] * 3))

    def test_short_requests_are_sent_before_long_ones(self) -> None:
        queue = LinkQueue()
        for number in range(3):
            queue.add(make_queued_data(40_001, number * DATA_BYTES, 5.0))
        pop_next_packet(queue, 0.0)
        for number in range(2):
            queue.add(make_queued_data(40_002, number * DATA_BYTES))
        self.assertThat(
            drain_caller_ports(queue), Equals([40_002, 40_002, 40_001, 40_001])
        )

    def test_a_request_past_its_deadline_delays_no_other_one(self) -> None:
        """Guards against one endless upload that delays all others."""
        queue = LinkQueue()
        for number in range(2):
            for port, due in ((40_001, 0.5), (40_002, 5.0), (40_003, 0.6)):
                queue.add(make_queued_data(port, number * DATA_BYTES, due))
        ports = drain_caller_ports(queue, 1.0)
        self.assertThat(ports[:2], Equals([40_002, 40_002]))
        self.assertThat(ports[2:], Equals([40_001, 40_003] * 2))

    def test_the_first_window_of_a_long_request_counts_as_short(self) -> None:
        """Guards against requests that count as long before they exceed a window."""
        relay = RelayDriver(records=[make_record(1)])
        token = relay.open_flow(40_001).token or 0
        found = []
        for number in range(20):
            sequence = 2 + number * DATA_BYTES
            relay.send(40_001, token=token, sequence=sequence, size=DATA_BYTES)
            packet = make_caller_packet(40_001, sequence=sequence, size=DATA_BYTES)
            key = packet.caller + packet.front
            found.append(request_deadline(relay.state, key, packet))
        self.assertThat(found[:16], Equals([None] * 16))
        route = relay.state.routes[packet.front]
        due = relay.now + route.objective_seconds
        self.assertThat(found[16:], Equals([due] * 4))

    def test_a_flow_that_is_queued_again_does_not_starve_others(self) -> None:
        queue = LinkQueue()
        queue.add(make_queued_data(40_001, 0))
        queue.add(make_queued_data(40_001, DATA_BYTES))
        pop_next_packet(queue, 0.0)
        sent = []
        for number in range(4):
            queue.add(make_queued_data(40_002, number * DATA_BYTES))
            queued = pop_next_packet(queue, 0.0)
            assert queued is not None
            sent.append(port_of(queued))
        self.assertThat(sent.count(40_001), Equals(1))

    def test_packets_of_a_flow_are_sent_in_sequence_order(self) -> None:
        """Guards against reordered data, which callers retransmit as lost."""
        queue = LinkQueue()
        first = SEQUENCE_SPACE - DATA_BYTES
        in_order = [(first + n * DATA_BYTES) % SEQUENCE_SPACE for n in range(5)]
        for position in (3, 0, 4, 1, 2):
            queue.add(make_queued_data(40_001, in_order[position]))
        sent = []
        while queued := pop_next_packet(queue, 0.0):
            sent.append(packet_in(queued).sequence)
        self.assertThat(sent, Equals(in_order))

    def test_acknowledgements_with_equal_sequence_keep_arrival_order(self) -> None:
        """Guards against an older acknowledgement that is sent last."""
        queue = LinkQueue()
        for acknowledged in (500, 1_700, 2_900):
            packet = make_caller_packet(40_001, sequence=9, acknowledged=acknowledged)
            queue.add(make_queued_packet(packet, UPSTREAM, 0.0))
        sent = []
        while queued := pop_next_packet(queue, 0.0):
            sent.append(packet_in(queued).acknowledged)
        self.assertThat(sent, Equals([500, 1_700, 2_900]))


class OpaqueDatagramsTests(TestCase):
    """Guards against starving flows whose packets the entry can't parse."""

    def test_opaque_datagrams_keep_order_and_flows_are_served_round_robin(self) -> None:
        queue = LinkQueue()
        for text in (b"a1", b"a2", b"a3", b"b1", b"b2"):
            queued = QueuedPacket(
                flow=text[0], datagram=text, address=UPSTREAM.address, queued_at=0.0
            )
            self.assertThat(queue.add(queued), Equals(True))
        sent = []
        while queued := pop_next_packet(queue, 0.0):
            sent.append(queued.datagram)
        self.assertThat(sent, Equals([b"a1", b"b1", b"a2", b"b2", b"a3"]))
        self.assertThat(
            is_opening_expired(make_opaque_datagram(b"x"), 1e9), Equals(False)
        )


def make_opaque_datagram(datagram: bytes) -> QueuedPacket:
    """Return a queued datagram that the entry can't parse."""
    return QueuedPacket(
        flow=1, datagram=datagram, address=UPSTREAM.address, queued_at=0.0
    )


class QueueLimitTests(TestCase):
    """Guards against a queue that exhausts memory."""

    def test_packets_of_one_flow_are_limited(self) -> None:
        queue = LinkQueue()
        for number in range(MAXIMUM_FLOW_PACKETS):
            self.assertThat(queue.add(make_queued_data(40_001, number)), Equals(True))
        self.assertThat(
            queue.add(make_queued_data(40_001, SEQUENCE_SPACE // 4)), Equals(False)
        )
        self.assertThat(queue.add(make_queued_data(40_002, 0)), Equals(True))

    def test_bytes_of_all_flows_are_limited_until_packets_are_sent(self) -> None:
        queue = LinkQueue()
        port = 1_024
        while queue.add(make_queued_data(port, 0)):
            port += 1
        self.assertThat(queue.bytes, LessThan(MAXIMUM_BYTES + 1))
        pop_next_packet(queue, 0.0)
        self.assertThat(queue.add(make_queued_data(port, 0)), Equals(True))
        while pop_next_packet(queue, 0.0):
            pass
        self.assertThat((queue.packets, queue.bytes), Equals((0, 0)))
        self.assertThat(queue.flows, Equals({}))


class PacingTests(TestCase):
    """Guards against sending more than the link can buffer, which it would drop."""

    def test_a_link_gets_no_more_than_its_rate_plus_a_small_lead(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        link = relay.state.link
        link.bytes_per_second = BYTES_PER_SECOND
        for port in range(40_001, 40_061):
            link.queue.add(make_queued_data(port, 0))
        sent_bytes = 0
        for step in range(101):
            now = relay.now + step / 1_000
            while queued := pop_sendable_packet(link, link.queue, now):
                link.record_sent(len(queued.datagram), now)
                sent_bytes += len(queued.datagram)
            self.assertThat(link.backlog_seconds(now), LessThan(LEAD_SECONDS + 0.003))
        carried = 0.1 * BYTES_PER_SECOND
        self.assertThat(sent_bytes, LessThan(carried + LEAD_SECONDS * BYTES_PER_SECOND))
        self.assertThat(0.85 * carried, LessThan(sent_bytes))

    def test_nothing_is_queued_for_a_link_of_unknown_rate(self) -> None:
        link = Link()
        for _ in range(1_000):
            self.assertThat(can_send_immediately(link, link.queue, 1.0), Equals(True))
            link.record_sent(1_239, 1.0)

    def test_a_packet_does_not_overtake_queued_packets(self) -> None:
        link = Link(bytes_per_second=BYTES_PER_SECOND)
        link.queue.add(make_queued_data(40_001, 0))
        self.assertThat(can_send_immediately(link, link.queue, 1.0), Equals(False))


class QueuedCopiesTests(TestCase):
    """Guards against sending data twice and suspecting upstreams of queueing delay."""

    def setUp(self) -> None:
        super().setUp()
        self.relay = RelayDriver(records=[make_record(1), make_record(2)])
        self.link = self.relay.state.link

    def relay_and_queue(self, packet: FlowPacket) -> PacketDecision:
        """Relay a packet onto a busy link, where it is queued."""
        relay = self.relay
        decision = relay_packet(relay.state, packet, relay.now, relay.rng)
        if isinstance(decision, Forward):
            self.link.queue.add(make_queued_packet(packet, decision, relay.now))
        return decision

    def send_next(self) -> QueuedPacket:
        """Send the next packet of the queue."""
        queued = pop_next_packet(self.link.queue, 0.0)
        assert queued is not None
        now = self.relay.now
        wait_seconds = waited_seconds(queued, now)
        record_sent(self.relay.state, packet_in(queued), now, wait_seconds)
        return queued

    def test_queued_data_is_not_queued_again(self) -> None:
        token = self.relay.open_flow(40_001).token or 0
        data = make_caller_packet(40_001, sequence=1, size=DATA_BYTES, token=token)
        self.relay_and_queue(data)
        self.relay.now += 0.2
        decision = self.relay_and_queue(data)
        self.assertThat(decision, Equals(DropPacket(reason="copy_waits")))
        self.assertThat(self.link.queue.packets, Equals(1))

    def test_data_that_was_sent_is_relayed_again(self) -> None:
        """Guards against dropping the retransmission of a lost packet."""
        token = self.relay.open_flow(40_001).token or 0
        data = make_caller_packet(40_001, sequence=1, size=DATA_BYTES, token=token)
        self.relay_and_queue(data)
        self.send_next()
        self.relay.now += 0.2
        self.assertThat(self.relay_and_queue(data), IsInstance(Forward))

    def test_an_upstream_is_not_suspected_for_queueing_delay(self) -> None:
        opened = self.relay.open_flow(40_001)
        data = make_caller_packet(
            40_001, sequence=1, size=DATA_BYTES, token=opened.token or 0
        )
        self.relay_and_queue(data)
        self.relay.now += 1.0
        self.relay_and_queue(data)
        self.send_next()
        self.relay.now += 0.05
        self.relay_and_queue(data)
        record = self.relay.state.registry.records[opened.address]
        suspected = is_suspect(self.relay.state, record, self.relay.now)
        self.assertThat(suspected, Equals(False))

    def test_a_copy_of_a_queued_opening_packet_selects_no_other_upstream(self) -> None:
        opening = make_caller_packet(40_001, is_opening=True, sequence=7)
        self.relay_and_queue(opening)
        self.relay.now += 0.2
        decision = self.relay_and_queue(opening._replace(copy=1))
        self.assertThat(decision, Equals(DropPacket(reason="copy_waits")))
        self.send_next()
        silences = self.relay.state.unresponsive_upstreams
        self.assertThat(silences, Equals({}))

    def test_an_opening_packet_that_waited_too_long_is_not_sent(self) -> None:
        """Guards against a flow that opens after its caller has timed out."""
        self.relay_and_queue(make_caller_packet(40_001, is_opening=True, sequence=7))
        queued = pop_next_packet(self.link.queue, 0.0)
        assert queued is not None
        self.assertThat(is_opening_expired(queued, self.relay.now + 1.3), Equals(False))
        self.assertThat(is_opening_expired(queued, self.relay.now + 1.5), Equals(True))

    def test_a_delayed_opening_packet_is_marked_as_lacking_copies(self) -> None:
        """Guards against trusting first data while a copy may have opened the flow."""
        self.relay_and_queue(make_caller_packet(40_001, is_opening=True, sequence=7))
        self.relay.now += 0.5
        queued = self.send_next()
        flow = self.relay.state.flows[queued.flow]
        self.assertThat(flow.has_missed_copies, Equals(True))
        self.assertThat(flow.opening_sent_at, Equals(self.relay.now))
