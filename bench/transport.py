"""Compare the packet rate through one entry's relay with that of bare sockets.

Relay, upstream and callers run in turn on one thread: a burst of packets is sent,
relayed, answered and relayed back. Only the time of the relay counts.
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
from testing.support.flow_states import make_flow_state

from .figures import Figure

HOST = "127.0.0.1"
BURST_PACKETS = 64
CALLER_COUNT = 64
ROUND_COUNT = 150
PAYLOAD = b"x" * 100

PacketReceiver = Callable[[bytes, tuple[str, int]], None]


def drain_socket(sock: socket.socket, receive: PacketReceiver) -> None:
    """Pass all datagrams queued on a socket to a function, as the relay does."""
    receive_packet = sock.recvfrom
    try:
        while True:
            receive(*receive_packet(65_535))
    except BlockingIOError:
        return


def echo_packets(upstream: socket.socket) -> None:
    """Echo all datagrams queued at the upstream."""
    drain_socket(upstream, lambda data, sender: upstream.sendto(data, sender) and None)


def measure_rate(
    front_end: Address,
    callers: list[socket.socket],
    upstream: socket.socket,
    relay_to_upstream: Callable[[], None],
    relay_to_callers: Callable[[], None],
) -> float:
    """Return round trips through a relay per second."""
    spent_seconds, returned_count = 0.0, 0
    for _ in range(ROUND_COUNT):
        for number in range(BURST_PACKETS):
            callers[number % CALLER_COUNT].sendto(PAYLOAD, front_end)
        started = time.perf_counter()
        relay_to_upstream()
        spent_seconds += time.perf_counter() - started
        echo_packets(upstream)
        started = time.perf_counter()
        relay_to_callers()
        spent_seconds += time.perf_counter() - started
        for caller in callers:
            answers: list[bytes] = []
            drain_socket(caller, lambda data, _, a=answers: a.append(data))  # type: ignore[misc]
            returned_count += sum(answer == PAYLOAD for answer in answers)
    return returned_count / spent_seconds


def measure_entry_rate(callers: list[socket.socket], upstream: socket.socket) -> float:
    """Return the packet rate of the entry's relay."""
    service = Service(name="alley-desk", data_centres=(), udp_port=0, tcp_port=0)
    state = make_flow_state([service], {"alley-desk": [bound_address(upstream)]})
    relay = ServiceRelay(
        host=HOST,
        service=service,
        flows=state,
        counters=Counters(),
        on_packet_pending=lambda: None,
    )
    try:
        return measure_rate(
            relay.front_address,
            callers,
            upstream,
            lambda: drain_socket(relay.caller_socket, relay.receive_from_caller),
            lambda: drain_socket(relay.upstream_socket, relay.receive_from_upstream),
        )
    finally:
        relay.caller_socket.close()
        relay.upstream_socket.close()


def measure_bare_rate(callers: list[socket.socket], upstream: socket.socket) -> float:
    """Return the rate of two sockets that forward the same bytes without a decision.

    The order of the packets determines the caller of an answer; the 28 bytes of the
    header are constant.
    """
    front, back = open_datagram_socket(HOST, 0), open_datagram_socket(HOST, 0)
    upstream_address, constant_header = bound_address(upstream), b"h" * HEADER_BYTES
    pending_senders: list[tuple[str, int]] = []

    def forward_packet(data: bytes, sender: tuple[str, int]) -> None:
        pending_senders.append(sender)
        back.sendto(constant_header + data, upstream_address)

    def return_answer(data: bytes, sender: tuple[str, int]) -> None:
        front.sendto(data[HEADER_BYTES:], pending_senders.pop(0))

    try:
        return measure_rate(
            bound_address(front),
            callers,
            upstream,
            lambda: drain_socket(front, forward_packet),
            lambda: drain_socket(back, return_answer),
        )
    finally:
        front.close()
        back.close()


def measure() -> Iterator[Figure]:
    """Yield the ratio to the bare rate, as the median of interleaved runs."""
    callers = [open_datagram_socket(HOST, 0) for _ in range(CALLER_COUNT)]
    upstream = open_datagram_socket(HOST, 0)
    try:
        rate_ratios = []
        for _ in range(7):
            bare_packets_per_second = measure_bare_rate(callers, upstream)
            rate_ratios.append(
                measure_entry_rate(callers, upstream) / bare_packets_per_second
            )
        yield Figure(
            name="transport.packets", value=sorted(rate_ratios)[3], how="decisions"
        )
    finally:
        for sock in (*callers, upstream):
            sock.close()
