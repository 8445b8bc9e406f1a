"""Flows: broken ones, cost of a decision, memory and balance."""

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
from testing.support.flow_states import flow_state

from .control_bytes import measure_bytes
from .figures import Figure

NAME = "alley-desk"
UPSTREAMS = [Address(host="10.0.0.1", port=port) for port in range(1, 8)]
NAMES = ["e1", "e2", "e3", "e4"]
FLOWS = 4_000
HELD = 300_000
FEW = 10_000
SAMPLE = 40_000

Choose = Callable[[str, int, list[int]], int]


def callers(count: int, first: int = 0) -> list[bytes]:
    """Return packed addresses of callers."""
    return [n.to_bytes(6, "big") for n in range(first, first + count)]


def new_state() -> FlowState:
    """Return an entry before seven upstreams."""
    service = Service(name=NAME, data_centres=(), udp_port=0, tcp_port=0)
    return flow_state([service], {NAME: UPSTREAMS})


def seconds_per_decision(state: FlowState, packets: list[bytes]) -> float:
    """Return the mean time of key and decision for some packets."""
    seed = service_seed(NAME)
    started = time.perf_counter()
    for caller in packets:
        key = flow_key(seed, caller)
        route_packet(state=state, service=NAME, key=key, now=time.monotonic())
    return (time.perf_counter() - started) / len(packets)


def measure_costs() -> Iterator[Figure]:
    """Yield the cost of decisions and what it grows by."""
    rng = Random(1)
    state = new_state()
    seconds_per_decision(state, callers(FEW))
    few = [rng.choice(callers(FEW)) for _ in range(SAMPLE)]
    at_few = min(seconds_per_decision(state, few) for _ in range(5))
    seconds_per_decision(state, callers(HELD - FEW, FEW))
    every = callers(HELD)
    many = [every[rng.randrange(HELD)] for _ in range(SAMPLE)]
    at_many = min(seconds_per_decision(state, many) for _ in range(5))
    new = min(
        seconds_per_decision(state, callers(20_000, HELD + n * 20_000))
        for n in range(3)
    )
    yield Figure(name="flows.pinned_decision", value=at_many * 1e6, how="decisions")
    yield Figure(name="flows.new_decision", value=new * 1e6, how="decisions")
    yield Figure(name="flows.cost_growth", value=at_many / at_few, how="decisions")
    table = dict.fromkeys(every)
    started = time.perf_counter()
    for caller in many:
        table.get(caller)
    lookup = (time.perf_counter() - started) / len(many)
    yield Figure(name="flows.dict_lookup", value=lookup * 1e6, how="decisions")


def measure_memory() -> Iterator[Figure]:
    """Yield the memory of an open flow, allocator's overhead left out."""
    state = new_state()
    seed = service_seed(NAME)
    gc.collect()
    tracemalloc.start()
    for number in range(HELD):
        key = flow_key(seed, number.to_bytes(6, "big"))
        route_packet(state=state, service=NAME, key=key, now=time.monotonic())
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    yield Figure(name="flows.bytes", value=used / HELD, how="decisions")


def hash_modulo(entry: str, flow: int, upstreams: list[int]) -> int:
    """Choose by the hash of the flow modulo the number of upstreams."""
    return upstreams[xxhash.xxh3_64_intdigest(b"%d" % flow) % len(upstreams)]


def rendezvous(entry: str, flow: int, upstreams: list[int]) -> int:
    """Choose by rendezvous hashing."""
    return int(rendezvous_order(str(flow), [str(u) for u in upstreams])[0])


def local_table() -> Choose:
    """Return a choice that each entry remembers without telling its peers."""
    tables: dict[str, dict[int, int]] = {name: {} for name in NAMES}

    def choose(entry: str, flow: int, upstreams: list[int]) -> int:
        table = tables[entry]
        if flow not in table or table[flow] not in range(8):
            table[flow] = rendezvous(entry, flow, upstreams)
        return table[flow]

    return choose


class Baseline:
    """Counts the broken flows of a choice without agreement between entries."""

    def __init__(self, *, choose: Choose) -> None:
        self.choose = choose
        self.first: dict[int, int] = {}
        self.broken = 0

    def packet(self, entry: str, flow: int, upstreams: list[int]) -> None:
        """Route one packet."""
        chosen = self.choose(entry, flow, upstreams)
        if self.first.setdefault(flow, chosen) != chosen:
            self.broken += 1
            self.first[flow] = chosen


def baselines() -> dict[str, Baseline]:
    """Return the baselines by variant."""
    return {
        "hash_modulo": Baseline(choose=hash_modulo),
        "rendezvous": Baseline(choose=rendezvous),
        "local_table": Baseline(choose=local_table()),
    }


class Scenario:
    """The same packets to a group of entries and to the baselines."""

    def __init__(self, *, seed: int) -> None:
        self.rng = Random(seed)
        self.group = FlowGroup(
            names=NAMES, rng=Random(seed), loss=0.01, delay=0.01, services=[NAME]
        )
        self.upstreams = list(range(7))
        for port in self.upstreams:
            self.group.add_upstream(NAME, port)
        for name in NAMES:
            self.group.start_entry(name)
        self.group.settle()
        self.baselines = baselines()

    def send(self, count: int, first: int = 0, flows: int = FLOWS) -> None:
        """Send packets of random flows to random entries, 500 a second."""
        for number in range(count):
            name = self.rng.choice(sorted(self.group.nodes))
            flow = first + self.rng.randrange(flows)
            self.group.packet(name, NAME, flow)
            for baseline in self.baselines.values():
                baseline.packet(name, flow, self.upstreams)
            if number % 10 == 9:
                self.group.tick()

    def figures(self, name: str, value: float) -> Iterator[Figure]:
        """Yield the figure and those of the baselines."""
        yield Figure(name=name, value=value, how="decisions")
        for variant, baseline in self.baselines.items():
            yield Figure(
                name=name, value=baseline.broken, how="decisions", variant=variant
            )


def measure_planned() -> Iterator[Figure]:
    """Yield the flows broken while an upstream joins, one leaves, entries change."""
    scenario = Scenario(seed=1)
    group = scenario.group
    scenario.send(12_000)
    group.add_upstream(NAME, 7)
    scenario.upstreams.append(7)
    scenario.send(8_000)
    group.add_upstream(NAME, 2, phase=UpstreamPhase.LEAVING)
    scenario.upstreams.remove(2)
    scenario.send(8_000)
    group.stop_entry("e1")
    scenario.send(4_000)
    group.start_entry("e1")
    scenario.send(8_000)
    yield from scenario.figures("flows.broken_planned", len(group.broken))


def measure_loss() -> Iterator[Figure]:
    """Yield the flows broken by the loss of an entry while buckets move.

    Half of the flows have sent a single packet before, so that one entry alone knows
    them. Those of them that break are a figure of their own.
    """
    scenario = Scenario(seed=2)
    group = scenario.group
    scenario.send(12_000)
    scenario.send(2_000, first=FLOWS)
    group.kill_entry("e3")
    for seen in group.seen_by.values():
        seen.discard("e3")
    group.add_upstream(NAME, 7)
    scenario.upstreams.append(7)
    scenario.send(12_000, flows=2 * FLOWS)
    alone = len(group.orphans)
    yield from scenario.figures("flows.broken_entry_loss", len(group.broken) - alone)
    yield Figure(
        name="flows.broken_entry_loss",
        value=alone,
        how="decisions",
        variant="pinned_on_the_lost_entry_alone",
    )


def measure_foreign() -> Iterator[Figure]:
    """Yield the packets to another service's upstream as addresses change hands."""
    group = FlowGroup(names=NAMES, rng=Random(3), loss=0.01, delay=0.05)
    for number, service in enumerate(("alley-desk", "league-ledger")):
        for port in range(4):
            group.add_upstream(service, number * 100 + port)
    for name in NAMES:
        group.start_entry(name)
    group.settle()
    rng = Random(3)
    services = ["alley-desk", "league-ledger"]
    for change in range(12):
        for number in range(1_000):
            group.packet(rng.choice(NAMES), rng.choice(services), rng.randrange(2_000))
            if number % 20 == 19:
                group.tick()
        port = change % 4
        group.add_upstream(services[change % 2], port, incarnation=change + 2)
    yield Figure(name="flows.foreign_packets", value=group.foreign, how="decisions")


def measure_balance() -> Iterator[Figure]:
    """Yield busiest over mean of seven equal upstreams for the flows held."""
    state = new_state()
    seed = service_seed(NAME)
    placed: dict[str, Counter[object]] = {
        "": Counter(),
        "hash_modulo": Counter(),
        "rendezvous": Counter(),
    }
    for number in range(HELD // 5):
        key = flow_key(seed, number.to_bytes(6, "big"))
        placed[""][state.view.buckets(NAME)[key >> 40]] += 1
        placed["hash_modulo"][hash_modulo("", number, list(range(7)))] += 1
        placed["rendezvous"][rendezvous("", number, list(range(7)))] += 1
    placed["local_table"] = placed["rendezvous"]
    for variant, counts in placed.items():
        busiest = max(counts.values()) * len(counts) / sum(counts.values())
        yield Figure(
            name="balance.flows", value=busiest, how="decisions", variant=variant
        )


def measure() -> Iterator[Figure]:
    """Yield all figures of flows."""
    yield from measure_planned()
    yield from measure_loss()
    yield from measure_foreign()
    yield from measure_costs()
    yield from measure_memory()
    yield from measure_balance()
    yield from measure_bytes()
