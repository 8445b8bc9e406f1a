"""Measure the token relay: decisions, packet rate, cold excess, entry startup."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path
from random import Random

import chervilstage
from chervilstage.coordination.flow_tokens import flow_token
from chervilstage.coordination.relay_directory import apply_feed_items, apply_routing
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.platform.packets import make_codec
from chervilstage.state.counters import Counters
from chervilstage.state.packet_decisions import Forward
from chervilstage.state.token_flows import TokenRelayState
from chervilstage.state.types import Address
from chervilstage.state.upstream_feed import FeedItem
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.token_relay import TokenRelay
from testing.support.flow_states import make_ready_upstream
from testing.support.token_relays import (
    FRONT_ADDRESS,
    SERVICE,
    make_packet,
    make_routing,
)

from .figures import Figure
from .transport import BURST_PACKETS, CALLER_COUNT, HOST, ROUND_COUNT, drain_socket

FLOW_COUNT = 10_000
PACKET_COUNT = 100_000
START_COUNT = 5
SIMULATED_SECONDS = 10
IDLE_SECONDS = 60.0
CALLER_PORT = 8172


def make_relay_state(
    addresses: list[Address], cold_seconds: float = 0.0
) -> TokenRelayState:
    """Return the state of an entry that knows upstreams at these addresses."""
    state = TokenRelayState(name="entry-1", announcement_seconds=1.0)
    routing = make_routing(SERVICE)._replace(flow_idle_seconds=IDLE_SECONDS)
    apply_routing(state, routing, 0.0)
    records = [
        make_ready_upstream(SERVICE, address)._replace(
            label=number, cold_seconds=cold_seconds
        )
        for number, address in enumerate(addresses, start=1)
    ]
    items = [FeedItem(record=r, age_seconds=0.0, is_gone=False) for r in records]
    apply_feed_items(state, items, 0.0)
    # Startup, in which packets without an upstream are dropped, has ended.
    state.upstreams_known_since = -SIMULATED_SECONDS
    return state


def caller_address(number: int) -> Address:
    """Return the address of a caller."""
    return Address(host=f"100.64.{number >> 14}.1", port=1024 + number % 16_384)


def measure_decisions() -> Iterator[Figure]:
    """Time the decisions on opening packets and on packets of open flows."""
    rng = Random(1)
    state = make_relay_state(
        [Address(host=f"10.0.0.{n}", port=8080) for n in range(1, 8)]
    )
    opening_packets = [
        make_packet(caller_address(n), is_opening=True) for n in range(FLOW_COUNT)
    ]
    started = time.process_time()
    decisions = [relay_packet(state, packet, 1.0, rng) for packet in opening_packets]
    spent_seconds = time.process_time() - started
    yield Figure(
        name="token.opening", value=spent_seconds / FLOW_COUNT * 1e6, how="decisions"
    )
    data_packets = [
        make_packet(caller_address(n), token=d.token or 0)
        for n, d in enumerate(decisions)
        if isinstance(d, Forward)
    ]
    for packet in data_packets:
        relay_packet(state, packet, 1.0, rng)
    started = time.process_time()
    for number in range(PACKET_COUNT):
        relay_packet(state, data_packets[number % FLOW_COUNT], 1.1, rng)
    spent_seconds = time.process_time() - started
    yield Figure(
        name="token.decision", value=spent_seconds / PACKET_COUNT * 1e6, how="decisions"
    )


def relay_rate(bare_relay: TokenRelay | None) -> float:
    """Return packets per second through the relay, or through bare sockets.

    :param bare_relay: a relay whose socket alone is used; None measures a whole relay.
    """
    upstream = open_datagram_socket(HOST, 0)
    callers = [open_datagram_socket(HOST, 0) for _ in range(CALLER_COUNT)]
    state = make_relay_state([bound_address(upstream)])
    codec = make_codec(CALLER_PORT)
    relay = bare_relay or TokenRelay(
        address=Address(host=HOST, port=0),
        state=state,
        codec=codec,
        counters=Counters(),
    )
    token = flow_token(next(iter(state.registry.records.values())).identity)
    # A packet of an open flow as ``chervilstage.platform.packets`` decodes it.
    header = bytes(6) + bytes([100, 64, 0, 1]) + (5000).to_bytes(2, "big")
    header += FRONT_ADDRESS.port.to_bytes(2, "big") + bytes([198, 18, 0, 1])
    packet = header + bytes(8) + bytes([64]) + token.to_bytes(4, "big")
    front_address = bound_address(relay.sock)
    upstream_address = bound_address(upstream)
    is_bare = bare_relay is not None
    spent_seconds, arrived_count = 0.0, 0
    for _ in range(ROUND_COUNT):
        for number in range(BURST_PACKETS):
            callers[number % CALLER_COUNT].sendto(packet, front_address)
        started = time.perf_counter()
        if is_bare:
            drain_socket(
                relay.sock,
                lambda data, _: relay.sock.sendto(data, upstream_address) and None,
            )
        else:
            drain_socket(relay.sock, relay.receive)
        spent_seconds += time.perf_counter() - started
        received_packets: list[bytes] = []
        drain_socket(upstream, lambda data, _, t=received_packets: t.append(data))  # type: ignore[misc]
        arrived_count += len(received_packets)
    for sock in (upstream, relay.sock, *callers):
        sock.close()
    return arrived_count / spent_seconds


def measure_packet_rate() -> Iterator[Figure]:
    """Compare the relay with bare sockets that forward the same packets."""
    bare = TokenRelay(
        address=Address(host=HOST, port=0),
        state=make_relay_state([]),
        codec=make_codec(CALLER_PORT),
        counters=Counters(),
    )
    relay_packets_per_second = relay_rate(None)
    yield Figure(
        name="token.packets",
        value=relay_packets_per_second / relay_rate(bare),
        how="decisions",
    )


def measure_cold_excess() -> Iterator[Figure]:
    """Count flows above a cold upstream's capacity, summed over four entries."""
    entry_names = tuple(f"entry-{number}" for number in range(1, 5))
    address = Address(host="10.0.0.1", port=8080)
    forwarded_count = 0
    for name in entry_names:
        state = make_relay_state([address], cold_seconds=2.0 * SIMULATED_SECONDS)
        state.name, state.entries = name, entry_names
        rng = Random(1)
        for number in range(100 * SIMULATED_SECONDS):
            packet = make_packet(caller_address(number), is_opening=True)
            decision = relay_packet(state, packet, number / 100, rng)
            forwarded_count += isinstance(decision, Forward)
    # All entries together may open 5 flows per second at a cold upstream.
    cold_capacity = 5 * SIMULATED_SECONDS
    yield Figure(
        name="cold.excess_over_entries",
        value=max(0, forwarded_count - cold_capacity),
        how="decisions",
    )


def measure_startup() -> Iterator[Figure]:
    """Measure the processor time and memory of importing the modules of an entry."""
    source_folder = str(Path(chervilstage.__file__).parent.parent)
    code = (
        "import resource, chervilstage.platform.entry, chervilstage.programs.running\n"
        "from chervilstage.protocol.schemas import schema\n"
        "schema('envelope'), schema('feed')\n"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    )
    processor_seconds, max_resident_kibibytes = [], 0
    for _ in range(START_COUNT):
        usage_before = resource.getrusage(resource.RUSAGE_CHILDREN)
        completed = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONPATH": source_folder},
            capture_output=True,
            text=True,
            check=True,
        )
        usage_after = resource.getrusage(resource.RUSAGE_CHILDREN)
        processor_seconds.append(
            usage_after.ru_utime
            + usage_after.ru_stime
            - usage_before.ru_utime
            - usage_before.ru_stime
        )
        max_resident_kibibytes = max(max_resident_kibibytes, int(completed.stdout))
    yield Figure(name="entry.start_cpu", value=min(processor_seconds), how="processes")
    yield Figure(
        name="entry.start_memory", value=max_resident_kibibytes / 1024, how="processes"
    )


def measure() -> Iterator[Figure]:
    """Yield all figures of the token relay, and of the startup of an entry."""
    yield from measure_decisions()
    yield from measure_packet_rate()
    yield from measure_cold_excess()
    yield from measure_startup()
