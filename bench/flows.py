"""Measure broken flows, the cost of decisions, memory per flow, and balance."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections import Counter
from collections.abc import Callable, Iterator
from random import Random

import xxhash

from chervilstage.coordination.flows import route_packet
from chervilstage.coordination.rendezvous import rendezvous_order
from chervilstage.state.configuration import Service
from chervilstage.state.flow_state import FlowState
from chervilstage.state.types import Address, UpstreamPhase
from chervilstage.state.view import flow_key, service_seed
from testing.support.flow_group import FlowGroup
from testing.support.flow_states import make_flow_state

from .control_bytes import measure_control_bytes
from .figures import Figure

SERVICE = "alley-desk"
UPSTREAM_ADDRESSES = [Address(host="10.0.0.1", port=port) for port in range(1, 8)]
ENTRY_NAMES = ["e1", "e2", "e3", "e4"]
SCENARIO_FLOWS = 4_000
OPEN_FLOWS = 300_000
FEW_FLOWS = 10_000
SAMPLE_PACKETS = 40_000

# Chooses the upstream of a packet by the entry, the flow and the available upstreams.
UpstreamChoice = Callable[[str, int, list[int]], int]


def caller_addresses(count: int, first: int = 0) -> list[bytes]:
    """Return packed addresses of callers, counted from ``first``."""
    return [n.to_bytes(6, "big") for n in range(first, first + count)]


def make_state() -> FlowState:
    """Return the flow state of an entry with seven upstreams."""
    service = Service(name=SERVICE, data_centres=(), udp_port=0, tcp_port=0)
    return make_flow_state([service], {SERVICE: UPSTREAM_ADDRESSES})


def seconds_per_decision(state: FlowState, packets: list[bytes]) -> float:
    """Return the mean time to compute the flow key and route each of the packets."""
    seed = service_seed(SERVICE)
    started = time.perf_counter()
    for caller in packets:
        key = flow_key(seed, caller)
        route_packet(state=state, service=SERVICE, key=key, now=time.monotonic())
    return (time.perf_counter() - started) / len(packets)


def measure_decision_costs() -> Iterator[Figure]:
    """Yield the cost of decisions and its growth from few to many open flows."""
    rng = Random(1)
    state = make_state()
    seconds_per_decision(state, caller_addresses(FEW_FLOWS))
    few_flow_packets = [
        rng.choice(caller_addresses(FEW_FLOWS)) for _ in range(SAMPLE_PACKETS)
    ]
    few_flow_seconds = min(
        seconds_per_decision(state, few_flow_packets) for _ in range(5)
    )
    seconds_per_decision(state, caller_addresses(OPEN_FLOWS - FEW_FLOWS, FEW_FLOWS))
    all_callers = caller_addresses(OPEN_FLOWS)
    many_flow_packets = [
        all_callers[rng.randrange(OPEN_FLOWS)] for _ in range(SAMPLE_PACKETS)
    ]
    many_flow_seconds = min(
        seconds_per_decision(state, many_flow_packets) for _ in range(5)
    )
    new_flow_seconds = min(
        seconds_per_decision(state, caller_addresses(20_000, OPEN_FLOWS + n * 20_000))
        for n in range(3)
    )
    yield Figure(
        name="flows.pinned_decision", value=many_flow_seconds * 1e6, how="decisions"
    )
    yield Figure(
        name="flows.new_decision", value=new_flow_seconds * 1e6, how="decisions"
    )
    yield Figure(
        name="flows.cost_growth",
        value=many_flow_seconds / few_flow_seconds,
        how="decisions",
    )
    caller_table = dict.fromkeys(all_callers)
    started = time.perf_counter()
    for caller in many_flow_packets:
        caller_table.get(caller)
    lookup_seconds = (time.perf_counter() - started) / len(many_flow_packets)
    yield Figure(name="flows.dict_lookup", value=lookup_seconds * 1e6, how="decisions")


def measure_flow_memory() -> Iterator[Figure]:
    """Yield the memory of an open flow, without allocator overhead."""
    state = make_state()
    seed = service_seed(SERVICE)
    gc.collect()
    tracemalloc.start()
    for number in range(OPEN_FLOWS):
        key = flow_key(seed, number.to_bytes(6, "big"))
        route_packet(state=state, service=SERVICE, key=key, now=time.monotonic())
    used_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure(name="flows.bytes", value=used_bytes / OPEN_FLOWS, how="decisions")


def hash_modulo(entry: str, flow: int, upstreams: list[int]) -> int:
    """Choose by the hash of the flow modulo the number of upstreams."""
    return upstreams[xxhash.xxh3_64_intdigest(b"%d" % flow) % len(upstreams)]


def rendezvous(entry: str, flow: int, upstreams: list[int]) -> int:
    """Choose by rendezvous hashing."""
    return int(rendezvous_order(str(flow), [str(u) for u in upstreams])[0])


def make_local_table() -> UpstreamChoice:
    """Return a policy by which each entry stores its own choices, without its peers."""
    tables: dict[str, dict[int, int]] = {name: {} for name in ENTRY_NAMES}

    def choose(entry: str, flow: int, upstreams: list[int]) -> int:
        table = tables[entry]
        if flow not in table or table[flow] not in range(8):
            table[flow] = rendezvous(entry, flow, upstreams)
        return table[flow]

    return choose


class Baseline:
    """Counts how often a choice without coordination of entries breaks a flow."""

    def __init__(self, *, choose: UpstreamChoice) -> None:
        self.choose = choose
        self.upstream_by_flow: dict[int, int] = {}
        self.broken = 0

    def route(self, entry: str, flow: int, upstreams: list[int]) -> None:
        """Route one packet."""
        chosen = self.choose(entry, flow, upstreams)
        if self.upstream_by_flow.setdefault(flow, chosen) != chosen:
            self.broken += 1
            self.upstream_by_flow[flow] = chosen


def make_baselines() -> dict[str, Baseline]:
    """Return the baselines by variant."""
    return {
        "hash_modulo": Baseline(choose=hash_modulo),
        "rendezvous": Baseline(choose=rendezvous),
        "local_table": Baseline(choose=make_local_table()),
    }


class Scenario:
    """Sends the same packets to a group of entries and to the baselines."""

    def __init__(self, *, seed: int) -> None:
        self.rng = Random(seed)
        self.group = FlowGroup(
            names=ENTRY_NAMES,
            rng=Random(seed),
            loss=0.01,
            delay=0.01,
            services=[SERVICE],
        )
        self.upstreams = list(range(7))
        for port in self.upstreams:
            self.group.add_upstream(SERVICE, port)
        for name in ENTRY_NAMES:
            self.group.start_entry(name)
        self.group.run_until_settled()
        self.baselines = make_baselines()

    def send_packets(
        self, count: int, first: int = 0, flows: int = SCENARIO_FLOWS
    ) -> None:
        """Send packets of random flows to random entries, 500 per second."""
        for sequence in range(count):
            entry_name = self.rng.choice(sorted(self.group.nodes))
            flow = first + self.rng.randrange(flows)
            self.group.receive_packet(entry_name, SERVICE, flow)
            for baseline in self.baselines.values():
                baseline.route(entry_name, flow, self.upstreams)
            if sequence % 10 == 9:
                self.group.tick()

    def make_figures(self, name: str, value: float) -> Iterator[Figure]:
        """Yield the figure and those of the baselines."""
        yield Figure(name=name, value=value, how="decisions")
        for variant, baseline in self.baselines.items():
            yield Figure(
                name=name, value=baseline.broken, how="decisions", variant=variant
            )


def measure_planned_changes() -> Iterator[Figure]:
    """Yield the flows broken while upstreams join or leave and an entry restarts."""
    scenario = Scenario(seed=1)
    group = scenario.group
    scenario.send_packets(12_000)
    group.add_upstream(SERVICE, 7)
    scenario.upstreams.append(7)
    scenario.send_packets(8_000)
    group.add_upstream(SERVICE, 2, phase=UpstreamPhase.LEAVING)
    scenario.upstreams.remove(2)
    scenario.send_packets(8_000)
    group.stop_entry("e1")
    scenario.send_packets(4_000)
    group.start_entry("e1")
    scenario.send_packets(8_000)
    yield from scenario.make_figures("flows.broken_planned", len(group.broken_flows))


def measure_entry_loss() -> Iterator[Figure]:
    """Yield the flows broken by the loss of an entry while buckets move.

    Half of the flows send at most a few packets before the loss, 2,000 in all. Broken
    flows that only the lost entry had pinned are a separate figure.
    """
    scenario = Scenario(seed=2)
    group = scenario.group
    scenario.send_packets(12_000)
    scenario.send_packets(2_000, first=SCENARIO_FLOWS)
    group.kill_entry("e3")
    for entries in group.forwarding_entries.values():
        entries.discard("e3")
    group.add_upstream(SERVICE, 7)
    scenario.upstreams.append(7)
    scenario.send_packets(12_000, flows=2 * SCENARIO_FLOWS)
    single_entry_count = len(group.unpinned_broken_flows)
    yield from scenario.make_figures(
        "flows.broken_entry_loss", len(group.broken_flows) - single_entry_count
    )
    yield Figure(
        name="flows.broken_entry_loss",
        value=single_entry_count,
        how="decisions",
        variant="pinned_on_the_lost_entry_alone",
    )


def measure_foreign_packets() -> Iterator[Figure]:
    """Yield the packets to another service's upstream while addresses are reused."""
    group = FlowGroup(names=ENTRY_NAMES, rng=Random(3), loss=0.01, delay=0.05)
    for number, service in enumerate(("alley-desk", "league-ledger")):
        for port in range(4):
            group.add_upstream(service, number * 100 + port)
    for name in ENTRY_NAMES:
        group.start_entry(name)
    group.run_until_settled()
    rng = Random(3)
    services = ["alley-desk", "league-ledger"]
    for change_number in range(12):
        for number in range(1_000):
            group.receive_packet(
                rng.choice(ENTRY_NAMES), rng.choice(services), rng.randrange(2_000)
            )
            if number % 20 == 19:
                group.tick()
        port = change_number % 4
        group.add_upstream(
            services[change_number % 2], port, incarnation=change_number + 2
        )
    yield Figure(
        name="flows.foreign_packets", value=group.wrong_service_packets, how="decisions"
    )


def measure_balance() -> Iterator[Figure]:
    """Yield the ratio of the busiest of seven equal upstreams to the mean, by flows."""
    state = make_state()
    seed = service_seed(SERVICE)
    flow_counts: dict[str, Counter[object]] = {
        "": Counter(),
        "hash_modulo": Counter(),
        "rendezvous": Counter(),
    }
    for number in range(OPEN_FLOWS // 5):
        key = flow_key(seed, number.to_bytes(6, "big"))
        flow_counts[""][state.view.buckets(SERVICE)[key >> 40]] += 1
        flow_counts["hash_modulo"][hash_modulo("", number, list(range(7)))] += 1
        flow_counts["rendezvous"][rendezvous("", number, list(range(7)))] += 1
    flow_counts["local_table"] = flow_counts["rendezvous"]
    for variant, counts in flow_counts.items():
        ratio = max(counts.values()) * len(counts) / sum(counts.values())
        yield Figure(
            name="balance.flows", value=ratio, how="decisions", variant=variant
        )


def measure() -> Iterator[Figure]:
    """Yield all figures of flows."""
    yield from measure_planned_changes()
    yield from measure_entry_loss()
    yield from measure_foreign_packets()
    yield from measure_decision_costs()
    yield from measure_flow_memory()
    yield from measure_balance()
    yield from measure_control_bytes()
