"""Relaying of packets from callers to upstreams."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

import anyio

from chervilstage.platform.packets import (
    FLAG_ACK,
    FLAG_SYN,
    HEADER,
    make_codec,
)
from chervilstage.state.counters import Counters
from chervilstage.state.routing import endpoint_of
from chervilstage.state.types import Address
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.token_relay import PacketCodec, TokenRelay
from testing.support.token_relays import (
    FRONT_ADDRESS,
    RelayDriver,
    make_opening_codec,
    make_record,
)

CALLER_PORT = 8172
# Callers abandon an opening packet after this time.
ATTEMPT_SECONDS = 1.4


def packet_bytes(
    *, sequence: int, flags: int = FLAG_ACK, token: int = 0, size: int = 0
) -> bytes:
    """Return a packet of one caller as the platform encodes it."""
    front = endpoint_of(FRONT_ADDRESS)
    caller = endpoint_of(Address(host="100.64.0.1", port=40_001))
    head = HEADER.pack(size, 0, caller, front[4:], front[:4], sequence, 0, flags, token)
    return head + bytes(size)


def make_relay(upstream: Address, codec: PacketCodec | None = None) -> TokenRelay:
    """Return a relay with one upstream that was announced just now."""
    record = make_record(1)
    identity = record.identity._replace(address=upstream)
    driver = RelayDriver(records=[])
    driver.now = replica_clock()
    driver.apply_records(record._replace(identity=identity))
    return TokenRelay(
        address=Address(host="127.0.0.1", port=0),
        state=driver.state,
        codec=codec or make_opening_codec(FRONT_ADDRESS),
        counters=Counters(),
    )


def test_an_opening_packet_that_its_caller_has_abandoned_reaches_no_upstream() -> None:
    """Guards against a second answer to a caller that has opened its flow elsewhere."""
    upstream = open_datagram_socket("127.0.0.1", 0)
    relay = make_relay(bound_address(upstream))
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.sendto(b"opening", bound_address(relay.sock))
    time.sleep(ATTEMPT_SECONDS + 0.2)
    received = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await relay.start(group)
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    with suppress(BlockingIOError):
        received.append(upstream.recv(100))
    for sock in (caller, upstream, relay.sock):
        sock.close()
    assert received == []


def relay_opening_packet_when_idle(stall_seconds: float) -> list[bytes]:
    """Return what an upstream receives of an opening packet sent to an idle entry.

    :param stall_seconds: how long the event loop is blocked before the idle time.
    """
    upstream = open_datagram_socket("127.0.0.1", 0)
    relay = make_relay(bound_address(upstream))
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    received: list[bytes] = []

    def stall() -> None:
        time.sleep(stall_seconds)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await relay.start(group)
            if stall_seconds:
                relay.on_socket_drained()
                await anyio.sleep(0.1)
                stall()
            await anyio.sleep(ATTEMPT_SECONDS + 0.2)
            caller.sendto(b"opening", bound_address(relay.sock))
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    with suppress(BlockingIOError):
        received.append(upstream.recv(100))
    for sock in (caller, upstream, relay.sock):
        sock.close()
    return received


def test_the_first_opening_packet_of_an_entry_is_relayed() -> None:
    """Guards against a new packet that is assumed to be as old as the socket."""
    assert relay_opening_packet_when_idle(0.0) == [b"opening"]


def test_the_first_opening_packet_after_a_stall_without_packets_is_relayed() -> None:
    """Guards against a new packet that is assumed to be as old as an earlier stall."""
    assert relay_opening_packet_when_idle(0.7) == [b"opening"]


def test_data_that_overtakes_the_first_packet_is_relayed_after_it() -> None:
    """Guards against uploads that wait for retransmission of reordered packets."""
    upstream = open_datagram_socket("127.0.0.1", 0)
    relay = make_relay(bound_address(upstream), make_codec(CALLER_PORT))
    relay.receive(packet_bytes(flags=FLAG_SYN, sequence=7), ("127.0.0.1", 1))
    opening = upstream.recv(100)
    token = int.from_bytes(opening[-4:], "big")
    for sequence in (1208, 2408, 8):
        data = packet_bytes(sequence=sequence, token=token, size=1200)
        relay.receive(data, ("127.0.0.1", 1))
    received = []
    # An upstream receives a label of 8 bytes before the packet, whose sequence number
    # is in its bytes 18 to 21.
    with suppress(BlockingIOError):
        while True:
            received.append(int.from_bytes(upstream.recv(2000)[8 + 18 : 8 + 22], "big"))
    upstream.close()
    relay.sock.close()
    assert received == [8, 1208, 2408]
    assert not relay.pending
