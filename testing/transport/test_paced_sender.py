"""Pacing of datagrams on a link of a low rate."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import closing

import anyio

from chervilstage.state.configuration import Service
from chervilstage.state.counters import Counters
from chervilstage.state.link import Link
from chervilstage.state.link_queue import LinkQueue, QueuedPacket
from chervilstage.state.types import Address
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.datagrams import (
    bound_address,
    open_datagram_socket,
    send_datagram,
)
from chervilstage.transport.paced_sender import PacedSender
from chervilstage.transport.packet_relay import ServiceRelay
from testing.support.flow_states import make_flow_state

HOST = "127.0.0.1"
PACKETS = 60
DATA_BYTES = 1_200
BYTES_PER_SECOND = 200_000.0
MINIMUM_SECONDS = 0.8 * PACKETS * DATA_BYTES / BYTES_PER_SECOND


def count_received(sock: socket.socket) -> int:
    """Read all datagrams that wait in a socket and return their number."""
    count = 0
    while True:
        try:
            sock.recv(2_000)
        except BlockingIOError:
            return count
        count += 1


def run_sender(sender: PacedSender, send_all: Callable[[], None]) -> float:
    """Send datagrams, wait until all are sent, and return the duration in seconds."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run)
            send_all()
            await sender.wait_until_sent()
            group.cancel_scope.cancel()

    started = replica_clock()
    anyio.run(main)
    return replica_clock() - started


def test_a_burst_is_sent_at_the_link_rate_without_loss() -> None:
    """Guards against loss of upload bursts on a link of a low rate."""
    link = Link(bytes_per_second=BYTES_PER_SECOND)
    with (
        closing(open_datagram_socket(HOST, 0)) as upstream,
        closing(open_datagram_socket(HOST, 0)) as sock,
    ):

        def send_queued(queued: QueuedPacket, now: float) -> None:
            """Send a datagram and account for it on the link."""
            assert send_datagram(sock, queued.datagram, queued.address)
            link.record_sent(len(queued.datagram), now)

        sender = PacedSender(
            link=link, queue=LinkQueue(), send_queued=send_queued, counters=Counters()
        )
        sent_immediately = [0]

        def send_all() -> None:
            """Send a burst."""
            for number in range(PACKETS):
                queued = QueuedPacket(
                    flow=number % 4,
                    datagram=bytes(DATA_BYTES),
                    address=bound_address(upstream),
                    queued_at=replica_clock(),
                )
                if sender.has_room(queued.queued_at):
                    send_queued(queued, queued.queued_at)
                else:
                    sender.enqueue(queued)
            sent_immediately[0] = count_received(upstream)

        seconds = run_sender(sender, send_all)
        assert sent_immediately[0] < PACKETS / 4
        assert sent_immediately[0] + count_received(upstream) == PACKETS
    assert seconds > MINIMUM_SECONDS


def make_service_relay(upstream: Address, link: Link | None) -> ServiceRelay:
    """Return the relay of a service with one upstream."""
    service = Service(name="alley-desk", data_centres=(), udp_port=0, tcp_port=0)
    return ServiceRelay(
        host=HOST,
        service=service,
        flows=make_flow_state([service], {service.name: [upstream]}),
        counters=Counters(),
        on_packet_pending=lambda: None,
        link=link,
    )


def relay_burst(relay: ServiceRelay, upstream: socket.socket) -> int:
    """Relay a burst of a caller and its answers; return the number of answers."""
    caller = open_datagram_socket(HOST, 0)
    address = bound_address(caller)
    with closing(caller), closing(relay.caller_socket), closing(relay.upstream_socket):
        for _ in range(PACKETS):
            relay.receive_from_caller(bytes(DATA_BYTES), address)
        run_sender(relay.upstream_sender, lambda: None)
        requests = []
        while len(requests) < PACKETS:
            requests.append(upstream.recv(2_000))
        for request in requests:
            relay.receive_from_upstream(request, bound_address(upstream))
        run_sender(relay.caller_sender, lambda: None)
        return count_received(caller)


def test_bursts_of_callers_and_upstreams_share_the_link_without_loss() -> None:
    """Guards against loss of front-end datagrams on a link of a low rate."""
    with closing(open_datagram_socket(HOST, 0)) as upstream:
        link = Link(bytes_per_second=BYTES_PER_SECOND)
        started = replica_clock()
        answer_count = relay_burst(
            make_service_relay(bound_address(upstream), link), upstream
        )
        assert replica_clock() - started > 2 * MINIMUM_SECONDS
    assert answer_count == PACKETS


def test_a_link_of_unknown_rate_does_not_delay_datagrams() -> None:
    """Guards against a relay that queues datagrams although no rate is configured."""
    with closing(open_datagram_socket(HOST, 0)) as upstream:
        relay = make_service_relay(bound_address(upstream), None)
        answer_count = relay_burst(relay, upstream)
        assert not relay.upstream_sender.queue.flows
    assert answer_count == PACKETS
