"""Packets on their way to a link that carries little."""

from __future__ import annotations

import socket
from contextlib import closing

import anyio

from chervilstage.state.counters import Counters
from chervilstage.state.flow_packets import Forward
from chervilstage.state.link import Link
from chervilstage.state.token_flows import TokenRelayState
from chervilstage.state.types import Address
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.paced_sender import PacedSender
from testing.support.token_relays import CALLER_HOST, make_packet, make_queued

PACKETS = 60
DATA_BYTES = 1_200
BYTES_PER_SECOND = 200_000.0


def drain(sock: socket.socket) -> int:
    """Return how many datagrams wait in a socket."""
    count = 0
    while True:
        try:
            sock.recv(2_000)
        except BlockingIOError:
            return count
        count += 1


def test_a_burst_leaves_at_the_rate_of_the_link_and_none_is_lost() -> None:
    """Guards against bursts of uploads that a narrow link drops."""
    link = Link(bytes_per_second=BYTES_PER_SECOND)
    state = TokenRelayState(name="entry-1", announcement_seconds=1.2, link=link)
    with (
        closing(open_datagram_socket("127.0.0.1", 0)) as upstream,
        closing(open_datagram_socket("127.0.0.1", 0)) as sock,
    ):
        sender = PacedSender(sock=sock, state=state, counters=Counters())
        decision = Forward(address=bound_address(upstream), label=1, token=None)
        arrived = [0]

        async def main() -> None:
            async with anyio.create_task_group() as group:
                group.start_soon(sender.run)
                for number in range(PACKETS):
                    packet = make_packet(
                        Address(host=CALLER_HOST, port=40_001 + number % 4),
                        sequence=number * DATA_BYTES,
                        size=DATA_BYTES,
                    )
                    sender.send(make_queued(packet, decision, replica_clock()))
                arrived[0] = drain(upstream)
                await sender.finish()
                group.cancel_scope.cancel()

        started = replica_clock()
        anyio.run(main)
        elapsed = replica_clock() - started
        assert arrived[0] < PACKETS / 4
        assert arrived[0] + drain(upstream) == PACKETS
    assert elapsed > 0.8 * PACKETS * DATA_BYTES / BYTES_PER_SECOND
    assert link.traffic.waited_seconds > 0.0
