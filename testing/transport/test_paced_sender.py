"""Datagrams on their way to a link that carries little."""

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
from testing.support.flow_states import flow_state

HOST = "127.0.0.1"
PACKETS = 60
DATA_BYTES = 1_200
BYTES_PER_SECOND = 200_000.0
LEAST_SECONDS = 0.8 * PACKETS * DATA_BYTES / BYTES_PER_SECOND


def drain(sock: socket.socket) -> int:
    """Return how many datagrams wait in a socket."""
    count = 0
    while True:
        try:
            sock.recv(2_000)
        except BlockingIOError:
            return count
        count += 1


def play(sender: PacedSender, send_all: Callable[[], None]) -> float:
    """Send datagrams until the link has taken all, and return the seconds."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            group.start_soon(sender.run)
            send_all()
            await sender.finish()
            group.cancel_scope.cancel()

    started = replica_clock()
    anyio.run(main)
    return replica_clock() - started


def test_a_burst_leaves_at_the_rate_of_the_link_and_none_is_lost() -> None:
    """Guards against bursts of uploads that a narrow link drops."""
    link = Link(bytes_per_second=BYTES_PER_SECOND)
    with (
        closing(open_datagram_socket(HOST, 0)) as upstream,
        closing(open_datagram_socket(HOST, 0)) as sock,
    ):

        def give(queued: QueuedPacket, now: float) -> None:
            """Send a datagram and take note of it."""
            assert send_datagram(sock, queued.datagram, queued.address)
            link.give(len(queued.datagram), now)

        sender = PacedSender(
            link=link, queue=LinkQueue(), give=give, counters=Counters()
        )
        at_once = [0]

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
                    give(queued, queued.queued_at)
                else:
                    sender.keep(queued)
            at_once[0] = drain(upstream)

        seconds = play(sender, send_all)
        assert at_once[0] < PACKETS / 4
        assert at_once[0] + drain(upstream) == PACKETS
    assert seconds > LEAST_SECONDS


def service_relay(upstream: Address, link: Link | None) -> ServiceRelay:
    """Return the relay of a service with one upstream."""
    service = Service(name="alley-desk", data_centres=(), udp_port=0, tcp_port=0)
    return ServiceRelay(
        host=HOST,
        service=service,
        flows=flow_state([service], {service.name: [upstream]}),
        counters=Counters(),
        on_held=lambda: None,
        link=link,
    )


def burst_through(relay: ServiceRelay, upstream: socket.socket) -> int:
    """Relay a burst of a caller and its answers; return what was answered."""
    caller = open_datagram_socket(HOST, 0)
    address = bound_address(caller)
    with closing(caller), closing(relay.front), closing(relay.back):
        for _ in range(PACKETS):
            relay.receive_from_caller(bytes(DATA_BYTES), address)
        play(relay.to_upstreams, lambda: None)
        requests = []
        while len(requests) < PACKETS:
            requests.append(upstream.recv(2_000))
        for request in requests:
            relay.receive_from_upstream(request, bound_address(upstream))
        play(relay.to_callers, lambda: None)
        return drain(caller)


def test_bursts_of_callers_and_of_upstreams_share_the_link_and_none_is_lost() -> None:
    """Guards against datagrams of own front ends that a narrow link drops."""
    with closing(open_datagram_socket(HOST, 0)) as upstream:
        link = Link(bytes_per_second=BYTES_PER_SECOND)
        started = replica_clock()
        answered = burst_through(service_relay(bound_address(upstream), link), upstream)
        assert replica_clock() - started > 2 * LEAST_SECONDS
    assert answered == PACKETS


def test_a_link_of_unknown_rate_takes_datagrams_of_own_front_ends_at_once() -> None:
    """Guards against a relay that waits where nothing limits it."""
    with closing(open_datagram_socket(HOST, 0)) as upstream:
        relay = service_relay(bound_address(upstream), None)
        answered = burst_through(relay, upstream)
        assert not relay.to_upstreams.queue.flows
    assert answered == PACKETS
