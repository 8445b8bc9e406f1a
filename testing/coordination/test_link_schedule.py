"""Which packets an entry gives to its link, and when."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import Equals, IsInstance, LessThan

from chervilstage.coordination.link_schedule import (
    LEAD_SECONDS,
    due_at,
    is_too_late,
    next_packet,
    note_sent,
    take_next,
    takes_at_once,
    waited_seconds,
)
from chervilstage.coordination.suspicion import is_suspect
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.state.flow_packets import NUMBER_SPACE, FlowPacket
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
    make_queued,
    make_record,
)

BYTES_PER_SECOND = 500_000.0
DATA_BYTES = 1_200
UPSTREAM = Forward(address=Address(host="10.0.0.1", port=8080), label=1, token=None)


def packet_of(port: int, **fields: int) -> FlowPacket:
    """Return a packet of a caller, named by its port."""
    return make_packet(Address(host=CALLER_HOST, port=port), **fields)


def data_of(port: int, sequence: int, due: float | None = None) -> QueuedPacket:
    """Return a full packet of data, of a long request if it is due at a time."""
    packet = packet_of(port, sequence=sequence, size=DATA_BYTES)
    return make_queued(packet, UPSTREAM, 0.0)._replace(due_at=due)


def packet_in(queued: QueuedPacket) -> FlowPacket:
    """Return the caller's packet that waits."""
    assert queued.packet is not None
    return queued.packet


def port_of(queued: QueuedPacket) -> int:
    """Return the port of the caller of a packet that waits."""
    return int.from_bytes(packet_in(queued).caller[4:6], "big")


def ports_of(queue: LinkQueue, now: float = 0.0) -> list[int]:
    """Empty a queue and return the callers' ports in the order of their turns."""
    ports = []
    while queued := take_next(queue, now):
        ports.append(port_of(queued))
    return ports


class TurnsTests(TestCase):
    """Guards against flows that wait behind the bursts of others."""

    def test_a_request_of_one_packet_goes_before_the_rest_of_an_upload(self) -> None:
        queue = LinkQueue()
        for number in range(16):
            queue.add(data_of(40_001, number * DATA_BYTES))
        take_next(queue, 0.0)
        queue.add(data_of(40_002, 0))
        self.assertThat(ports_of(queue)[:2], Equals([40_002, 40_001]))

    def test_short_requests_share_the_link_packet_by_packet(self) -> None:
        queue = LinkQueue()
        for port in (40_001, 40_002):
            for number in range(3):
                queue.add(data_of(port, number * DATA_BYTES))
        self.assertThat(ports_of(queue), Equals([40_001, 40_002] * 3))

    def test_a_long_request_ends_before_the_one_that_is_due_after_it(self) -> None:
        """Guards against uploads that share a full link until all are late."""
        queue = LinkQueue()
        for number in range(3):
            for port, due in ((40_002, 6.0), (40_001, 5.0)):
                queue.add(data_of(port, number * DATA_BYTES, due))
        self.assertThat(ports_of(queue), Equals([40_001] * 3 + [40_002] * 3))

    def test_short_requests_go_before_long_ones(self) -> None:
        queue = LinkQueue()
        for number in range(3):
            queue.add(data_of(40_001, number * DATA_BYTES, 5.0))
        take_next(queue, 0.0)
        for number in range(2):
            queue.add(data_of(40_002, number * DATA_BYTES))
        self.assertThat(ports_of(queue), Equals([40_002, 40_002, 40_001, 40_001]))

    def test_a_request_that_is_late_keeps_no_other_one_waiting(self) -> None:
        """Guards against one endless upload that makes all others late."""
        queue = LinkQueue()
        for number in range(2):
            for port, due in ((40_001, 0.5), (40_002, 5.0), (40_003, 0.6)):
                queue.add(data_of(port, number * DATA_BYTES, due))
        ports = ports_of(queue, 1.0)
        self.assertThat(ports[:2], Equals([40_002, 40_002]))
        self.assertThat(ports[2:], Equals([40_001, 40_003] * 2))

    def test_the_first_window_of_a_long_request_takes_turns(self) -> None:
        """Guards against requests that are taken for long before they are."""
        relay = RelayDriver(records=[make_record(1)])
        token = relay.open(40_001).token or 0
        found = []
        for number in range(20):
            sequence = 2 + number * DATA_BYTES
            relay.send(40_001, token=token, sequence=sequence, size=DATA_BYTES)
            packet = packet_of(40_001, sequence=sequence, size=DATA_BYTES)
            key = packet.caller + packet.front
            found.append(due_at(relay.state, key, packet))
        self.assertThat(found[:16], Equals([None] * 16))
        route = relay.state.routes[packet.front]
        due = relay.now + route.objective_seconds
        self.assertThat(found[16:], Equals([due] * 4))

    def test_a_flow_that_comes_back_at_once_does_not_keep_others_waiting(self) -> None:
        queue = LinkQueue()
        queue.add(data_of(40_001, 0))
        queue.add(data_of(40_001, DATA_BYTES))
        take_next(queue, 0.0)
        taken = []
        for number in range(4):
            queue.add(data_of(40_002, number * DATA_BYTES))
            queued = take_next(queue, 0.0)
            assert queued is not None
            taken.append(port_of(queued))
        self.assertThat(taken.count(40_001), Equals(1))

    def test_packets_of_a_flow_leave_in_the_order_of_their_sequence(self) -> None:
        """Guards against data out of order, which callers repeat as lost."""
        queue = LinkQueue()
        first = NUMBER_SPACE - DATA_BYTES
        in_order = [(first + n * DATA_BYTES) % NUMBER_SPACE for n in range(5)]
        for position in (3, 0, 4, 1, 2):
            queue.add(data_of(40_001, in_order[position]))
        taken = []
        while queued := take_next(queue, 0.0):
            taken.append(packet_in(queued).sequence)
        self.assertThat(taken, Equals(in_order))

    def test_acknowledgements_with_one_sequence_leave_as_they_came(self) -> None:
        """Guards against an older acknowledgement that comes last."""
        queue = LinkQueue()
        for acknowledged in (500, 1_700, 2_900):
            packet = packet_of(40_001, sequence=9, acknowledged=acknowledged)
            queue.add(make_queued(packet, UPSTREAM, 0.0))
        taken = []
        while queued := take_next(queue, 0.0):
            taken.append(packet_in(queued).acknowledged)
        self.assertThat(taken, Equals([500, 1_700, 2_900]))


class OpaqueDatagramsTests(TestCase):
    """Guards against flows of which an entry reads nothing that are left out."""

    def test_datagrams_of_a_flow_keep_their_order_and_flows_take_turns(self) -> None:
        queue = LinkQueue()
        for text in (b"a1", b"a2", b"a3", b"b1", b"b2"):
            queued = QueuedPacket(
                flow=text[0], datagram=text, address=UPSTREAM.address, queued_at=0.0
            )
            self.assertThat(queue.add(queued), Equals(True))
        taken = []
        while queued := take_next(queue, 0.0):
            taken.append(queued.datagram)
        self.assertThat(taken, Equals([b"a1", b"b1", b"a2", b"b2", b"a3"]))
        self.assertThat(is_too_late(queued_of(b"x"), 1e9), Equals(False))


def queued_of(datagram: bytes) -> QueuedPacket:
    """Return a datagram of which nothing is read."""
    return QueuedPacket(
        flow=1, datagram=datagram, address=UPSTREAM.address, queued_at=0.0
    )


class BoundsTests(TestCase):
    """Guards against a queue that takes all memory."""

    def test_one_flow_takes_few_places(self) -> None:
        queue = LinkQueue()
        for number in range(MAXIMUM_FLOW_PACKETS):
            self.assertThat(queue.add(data_of(40_001, number)), Equals(True))
        self.assertThat(queue.add(data_of(40_001, NUMBER_SPACE // 4)), Equals(False))
        self.assertThat(queue.add(data_of(40_002, 0)), Equals(True))

    def test_all_flows_together_are_bounded_and_leave_room_again(self) -> None:
        queue = LinkQueue()
        port = 1_024
        while queue.add(data_of(port, 0)):
            port += 1
        self.assertThat(queue.bytes, LessThan(MAXIMUM_BYTES + 1))
        take_next(queue, 0.0)
        self.assertThat(queue.add(data_of(port, 0)), Equals(True))
        while take_next(queue, 0.0):
            pass
        self.assertThat((queue.packets, queue.bytes), Equals((0, 0)))
        self.assertThat(queue.flows, Equals({}))


class PaceTests(TestCase):
    """Guards against packets that a link drops since it cannot keep them."""

    def test_a_link_gets_no_more_than_its_rate_and_a_small_lead(self) -> None:
        relay = RelayDriver(records=[make_record(1)])
        link = relay.state.link
        link.bytes_per_second = BYTES_PER_SECOND
        for port in range(40_001, 40_061):
            link.queue.add(data_of(port, 0))
        given = 0
        for step in range(101):
            now = relay.now + step / 1_000
            while queued := next_packet(link, link.queue, now):
                link.give(len(queued.datagram), now)
                given += len(queued.datagram)
            self.assertThat(link.ahead(now), LessThan(LEAD_SECONDS + 0.003))
        carried = 0.1 * BYTES_PER_SECOND
        self.assertThat(given, LessThan(carried + LEAD_SECONDS * BYTES_PER_SECOND))
        self.assertThat(0.85 * carried, LessThan(given))

    def test_a_link_of_unknown_rate_takes_everything_at_once(self) -> None:
        link = Link()
        for _ in range(1_000):
            self.assertThat(takes_at_once(link, link.queue, 1.0), Equals(True))
            link.give(1_239, 1.0)

    def test_a_packet_does_not_overtake_those_that_wait(self) -> None:
        link = Link(bytes_per_second=BYTES_PER_SECOND)
        link.queue.add(data_of(40_001, 0))
        self.assertThat(takes_at_once(link, link.queue, 1.0), Equals(False))


class WaitingCopiesTests(TestCase):
    """Guards against links that carry data twice, and upstreams blamed for the wait."""

    def setUp(self) -> None:
        super().setUp()
        self.relay = RelayDriver(records=[make_record(1), make_record(2)])
        self.link = self.relay.state.link

    def arrive(self, packet: FlowPacket) -> PacketDecision:
        """Relay a packet onto a link that has no room."""
        relay = self.relay
        decision = relay_packet(relay.state, packet, relay.now, relay.rng)
        if isinstance(decision, Forward):
            self.link.queue.add(make_queued(packet, decision, relay.now))
        return decision

    def give_next(self) -> QueuedPacket:
        """Give the link the packet whose turn it is."""
        queued = take_next(self.link.queue, 0.0)
        assert queued is not None
        now = self.relay.now
        waited = waited_seconds(queued, now)
        note_sent(self.relay.state, packet_in(queued), now, waited)
        return queued

    def test_data_that_waits_is_not_queued_again(self) -> None:
        token = self.relay.open(40_001).token or 0
        data = packet_of(40_001, sequence=1, size=DATA_BYTES, token=token)
        self.arrive(data)
        self.relay.now += 0.2
        decision = self.arrive(data)
        self.assertThat(decision, Equals(DropPacket(reason="copy_waits")))
        self.assertThat(self.link.queue.packets, Equals(1))

    def test_data_that_was_sent_is_relayed_again(self) -> None:
        """Guards against callers that never get a lost packet through."""
        token = self.relay.open(40_001).token or 0
        data = packet_of(40_001, sequence=1, size=DATA_BYTES, token=token)
        self.arrive(data)
        self.give_next()
        self.relay.now += 0.2
        self.assertThat(self.arrive(data), IsInstance(Forward))

    def test_an_upstream_is_not_suspected_for_what_waits_here(self) -> None:
        opened = self.relay.open(40_001)
        data = packet_of(40_001, sequence=1, size=DATA_BYTES, token=opened.token or 0)
        self.arrive(data)
        self.relay.now += 1.0
        self.arrive(data)
        self.give_next()
        self.relay.now += 0.05
        self.arrive(data)
        record = self.relay.state.registry.records[opened.address]
        suspected = is_suspect(self.relay.state, record, self.relay.now)
        self.assertThat(suspected, Equals(False))

    def test_a_copy_of_a_waiting_opening_packet_goes_to_no_other_upstream(self) -> None:
        opening = packet_of(40_001, is_opening=True, sequence=7)
        self.arrive(opening)
        self.relay.now += 0.2
        decision = self.arrive(opening._replace(copy=1))
        self.assertThat(decision, Equals(DropPacket(reason="copy_waits")))
        self.give_next()
        silences = self.relay.state.silences
        self.assertThat(silences, Equals({}))

    def test_an_opening_packet_that_waited_too_long_is_not_sent(self) -> None:
        """Guards against a flow that opens after its caller has given it up."""
        self.arrive(packet_of(40_001, is_opening=True, sequence=7))
        queued = take_next(self.link.queue, 0.0)
        assert queued is not None
        self.assertThat(is_too_late(queued, self.relay.now + 1.3), Equals(False))
        self.assertThat(is_too_late(queued, self.relay.now + 1.5), Equals(True))

    def test_a_late_opening_packet_tells_that_a_copy_may_be_elsewhere(self) -> None:
        """Guards against first data that is taken though a copy opened the flow."""
        self.arrive(packet_of(40_001, is_opening=True, sequence=7))
        self.relay.now += 0.5
        queued = self.give_next()
        flow = self.relay.state.flows[queued.flow]
        self.assertThat(flow.lacks_copies, Equals(True))
        self.assertThat(flow.sent_at, Equals(self.relay.now))
