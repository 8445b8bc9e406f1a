"""Packets a second through one entry's relay and back, beside bare sockets.

Relays, upstream and caller share one thread and one loop, in turn: a burst of packets
is sent, relayed, answered and relayed back. Only the time of the relay counts.
"""

from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator

from chervilstage.protocol.proxy_header import HEADER_BYTES
from chervilstage.state.configuration import Service
from chervilstage.state.counters import Counters
from chervilstage.state.types import Address
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.packet_relay import ServiceRelay
from testing.support.flow_states import flow_state

from .figures import Figure

HOST = "127.0.0.1"
BURST = 64
CALLERS = 64
ROUNDS = 150
PAYLOAD = b"x" * 100

Receive = Callable[[bytes, tuple[str, int]], None]


def drain(sock: socket.socket, receive: Receive) -> None:
    """Pass everything that waits on a socket to a function, as the relay does."""
    take = sock.recvfrom
    try:
        while True:
            receive(*take(65_535))
    except BlockingIOError:
        return


def echo(upstream: socket.socket) -> None:
    """Answer everything that waits at the upstream."""
    drain(upstream, lambda data, sender: upstream.sendto(data, sender) and None)


def run_relay(
    front: Address,
    callers: list[socket.socket],
    upstream: socket.socket,
    forward: Callable[[], None],
    back: Callable[[], None],
) -> float:
    """Return packets a second, each one through and back."""
    spent, returned = 0.0, 0
    for _ in range(ROUNDS):
        for number in range(BURST):
            callers[number % CALLERS].sendto(PAYLOAD, front)
        started = time.perf_counter()
        forward()
        spent += time.perf_counter() - started
        echo(upstream)
        started = time.perf_counter()
        back()
        spent += time.perf_counter() - started
        for caller in callers:
            answers: list[bytes] = []
            drain(caller, lambda data, _, a=answers: a.append(data))  # type: ignore[misc]
            returned += sum(answer == PAYLOAD for answer in answers)
    return returned / spent


def entry_rate(callers: list[socket.socket], upstream: socket.socket) -> float:
    """Return the rate of the entry's relay."""
    service = Service(name="alley-desk", data_centres=(), udp_port=0, tcp_port=0)
    state = flow_state([service], {"alley-desk": [bound_address(upstream)]})
    relay = ServiceRelay(
        host=HOST,
        service=service,
        flows=state,
        counters=Counters(),
        on_held=lambda: None,
    )
    try:
        return run_relay(
            relay.front_address,
            callers,
            upstream,
            lambda: drain(relay.front, relay.receive_from_caller),
            lambda: drain(relay.back, relay.receive_from_upstream),
        )
    finally:
        relay.front.close()
        relay.back.close()


def bare_rate(callers: list[socket.socket], upstream: socket.socket) -> float:
    """Return the rate of two sockets that pass on the same bytes without a decision.

    The caller of an answer is known by the order of the packets; the 28 bytes of the
    header are constant.
    """
    front, back = open_datagram_socket(HOST, 0), open_datagram_socket(HOST, 0)
    target, header = bound_address(upstream), b"h" * HEADER_BYTES
    order: list[tuple[str, int]] = []

    def forward(data: bytes, sender: tuple[str, int]) -> None:
        order.append(sender)
        back.sendto(header + data, target)

    def answer(data: bytes, sender: tuple[str, int]) -> None:
        front.sendto(data[HEADER_BYTES:], order.pop(0))

    try:
        return run_relay(
            bound_address(front),
            callers,
            upstream,
            lambda: drain(front, forward),
            lambda: drain(back, answer),
        )
    finally:
        front.close()
        back.close()


def measure() -> Iterator[Figure]:
    """Yield the share of the bare rate, the median of interleaved runs."""
    callers = [open_datagram_socket(HOST, 0) for _ in range(CALLERS)]
    upstream = open_datagram_socket(HOST, 0)
    try:
        shares = []
        for _ in range(7):
            bare = bare_rate(callers, upstream)
            shares.append(entry_rate(callers, upstream) / bare)
        yield Figure(name="transport.packets", value=sorted(shares)[3], how="decisions")
    finally:
        for sock in (*callers, upstream):
            sock.close()
