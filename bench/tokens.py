"""The relay of flows by token: its decisions, its packets and the start of an entry."""

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
from chervilstage.coordination.relay_directory import put_routing, take_items
from chervilstage.coordination.token_relay import relay_packet
from chervilstage.platform.packets import make_codec
from chervilstage.state.counters import Counters
from chervilstage.state.packet_decisions import Forward
from chervilstage.state.token_flows import TokenRelayState
from chervilstage.state.types import Address
from chervilstage.state.upstream_feed import FeedItem
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.token_relay import TokenRelay
from testing.support.flow_states import upstream_of
from testing.support.token_relays import FRONT, SERVICE, make_packet, make_routing

from .figures import Figure
from .transport import BURST, CALLERS, HOST, ROUNDS, drain

FLOWS = 10_000
PACKETS = 100_000
STARTS = 5
SECONDS = 10
IDLE_SECONDS = 60.0
CALLER_PORT = 8172


def relay_state(addresses: list[Address], cold_seconds: float = 0.0) -> TokenRelayState:
    """Return the state of an entry that knows upstreams at these addresses."""
    state = TokenRelayState(name="entry-1", announcement_seconds=1.0)
    routing = make_routing(SERVICE)._replace(flow_idle_seconds=IDLE_SECONDS)
    put_routing(state, routing, 0.0)
    records = [
        upstream_of(SERVICE, address)._replace(label=number, cold_seconds=cold_seconds)
        for number, address in enumerate(addresses, start=1)
    ]
    items = [FeedItem(record=r, age_seconds=0.0, is_gone=False) for r in records]
    take_items(state, items, 0.0)
    state.upstreams_from = -SECONDS
    return state


def caller_of(number: int) -> Address:
    """Return the address of a caller."""
    return Address(host=f"100.64.{number >> 14}.1", port=1024 + number % 16_384)


def measure_decisions() -> Iterator[Figure]:
    """Time the decisions on opening packets and on those of open flows."""
    rng = Random(1)
    state = relay_state([Address(host=f"10.0.0.{n}", port=8080) for n in range(1, 8)])
    opening = [make_packet(caller_of(n), is_opening=True) for n in range(FLOWS)]
    started = time.process_time()
    decisions = [relay_packet(state, packet, 1.0, rng) for packet in opening]
    spent = time.process_time() - started
    yield Figure(name="token.opening", value=spent / FLOWS * 1e6, how="decisions")
    later = [
        make_packet(caller_of(n), token=d.token or 0)
        for n, d in enumerate(decisions)
        if isinstance(d, Forward)
    ]
    for packet in later:
        relay_packet(state, packet, 1.0, rng)
    started = time.process_time()
    for number in range(PACKETS):
        relay_packet(state, later[number % FLOWS], 1.1, rng)
    spent = time.process_time() - started
    yield Figure(name="token.decision", value=spent / PACKETS * 1e6, how="decisions")


def relay_rate(receive_from: TokenRelay | None) -> float:
    """Return packets a second through the relay, or through bare sockets for None."""
    upstream = open_datagram_socket(HOST, 0)
    callers = [open_datagram_socket(HOST, 0) for _ in range(CALLERS)]
    state = relay_state([bound_address(upstream)])
    codec = make_codec(CALLER_PORT)
    relay = receive_from or TokenRelay(
        address=Address(host=HOST, port=0),
        state=state,
        codec=codec,
        counters=Counters(),
    )
    token = flow_token(next(iter(state.registry.records.values())).identity)
    header = bytes(6) + bytes([100, 64, 0, 1]) + (5000).to_bytes(2, "big")
    header += FRONT.port.to_bytes(2, "big") + bytes([198, 18, 0, 1])
    packet = header + bytes(8) + bytes([64]) + token.to_bytes(4, "big")
    front = bound_address(relay.sock)
    target = bound_address(upstream)
    is_bare = receive_from is not None
    spent, arrived = 0.0, 0
    for _ in range(ROUNDS):
        for number in range(BURST):
            callers[number % CALLERS].sendto(packet, front)
        started = time.perf_counter()
        if is_bare:
            drain(relay.sock, lambda data, _: relay.sock.sendto(data, target) and None)
        else:
            drain(relay.sock, relay.receive)
        spent += time.perf_counter() - started
        taken: list[bytes] = []
        drain(upstream, lambda data, _, t=taken: t.append(data))  # type: ignore[misc]
        arrived += len(taken)
    for sock in (upstream, relay.sock, *callers):
        sock.close()
    return arrived / spent


def measure_packets() -> Iterator[Figure]:
    """Compare the relay with bare sockets that pass the same packets on."""
    bare = TokenRelay(
        address=Address(host=HOST, port=0),
        state=relay_state([]),
        codec=make_codec(CALLER_PORT),
        counters=Counters(),
    )
    rate = relay_rate(None)
    yield Figure(name="token.packets", value=rate / relay_rate(bare), how="decisions")


def measure_cold() -> Iterator[Figure]:
    """Count the flows over what a cold upstream bears, summed over four entries."""
    entries = tuple(f"entry-{number}" for number in range(1, 5))
    address = Address(host="10.0.0.1", port=8080)
    taken = 0
    for name in entries:
        state = relay_state([address], cold_seconds=2.0 * SECONDS)
        state.name, state.entries = name, entries
        rng = Random(1)
        for number in range(100 * SECONDS):
            packet = make_packet(caller_of(number), is_opening=True)
            decision = relay_packet(state, packet, number / 100, rng)
            taken += isinstance(decision, Forward)
    borne = 5 * SECONDS
    yield Figure(
        name="cold.excess_over_entries", value=max(0, taken - borne), how="decisions"
    )


def measure_start() -> Iterator[Figure]:
    """Read the processor time of loading an entry, and its memory."""
    source = str(Path(chervilstage.__file__).parent.parent)
    code = (
        "import resource, chervilstage.platform.entry, chervilstage.programs.running\n"
        "from chervilstage.protocol.schemas import schema\n"
        "schema('envelope'), schema('feed')\n"
        "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
    )
    seconds, kibibytes = [], 0
    for _ in range(STARTS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        done = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONPATH": source},
            capture_output=True,
            text=True,
            check=True,
        )
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        seconds.append(
            after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime
        )
        kibibytes = max(kibibytes, int(done.stdout))
    yield Figure(name="entry.start_cpu", value=min(seconds), how="processes")
    yield Figure(name="entry.start_memory", value=kibibytes / 1024, how="processes")


def measure() -> Iterator[Figure]:
    """Yield all figures of the relay by token."""
    yield from measure_decisions()
    yield from measure_packets()
    yield from measure_cold()
    yield from measure_start()
