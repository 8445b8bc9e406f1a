"""Runs random flows through several entries and finds violations of the FLOW rule.

The rule: an entry neither resets an open flow of a living upstream nor sends it to
another upstream.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import partial
from random import Random
from typing import NamedTuple

from chervilstage.coordination.relay_directory import expire_upstreams
from chervilstage.coordination.token_relay import expire_flows
from chervilstage.state.types import UpstreamPhase

from .callers import start_caller
from .control_updates import (
    announce_record,
    announce_routing,
    check_entries,
    retry_pending_packets,
    start_entry,
)
from .simulation import (
    FRONTS,
    Conditions,
    Entry,
    Finding,
    Simulation,
    Upstream,
    make_routing_table,
)

CALLER_COUNT = 250
FIRST_PORT = 40_000
LOAD_SECONDS = 25.0
MAX_FLOW_SECONDS = 20.0
RUN_SECONDS = 60.0
ANNOUNCEMENT_INTERVAL_SECONDS = 1.2
CHECK_INTERVAL_SECONDS = 0.5
EXPIRY_INTERVAL_SECONDS = 1.0
UPSTREAM_REPLACEMENTS = 8
ROUTE_REMOVALS = 4
# Longer than an entry with delayed updates needs to learn of a removal and to fetch
# the table.
ROUTE_GAP_SECONDS = 5.0
# Lower and upper bounds of random delays and durations.
DRAIN_DELAYS_SECONDS = (1.0, 7.0)
RESTART_DELAYS_SECONDS = (0.0, 3.0)
UNREADY_SECONDS = (0.5, 2.5)
PAUSE_SECONDS = (0.0, 3.0)
MAX_UPDATE_DELAYS_SECONDS = (0.0, 2.0)
DELAYED_UPDATES_SECONDS = (1.0, 6.0)
STOP_DELAY_SECONDS = 1.5


class SimulationResult(NamedTuple):
    """Findings of several seeds, and counts of events that do not violate the rule."""

    seeds_run: int
    findings: tuple[Finding, ...]
    counts: Counter[str]


def draw_conditions(seed: int) -> Conditions:
    """Return the conditions under which a seed runs."""
    rng = Random(seed)
    return Conditions(
        mean_fault_interval_seconds=rng.uniform(0.4, 4.0),
        slow=rng.choice((0.0, 0.1, 0.3)),
        delayed=rng.choice((0.0, 0.0, 0.03)),
        reordered=rng.choice((0.0, 1.0)),
        route_gap_seconds=ROUTE_GAP_SECONDS,
    )


def run_seed(seed: int, conditions: Conditions | None = None) -> Simulation:
    """Run a seed, under conditions drawn from it if none are given."""
    simulation = Simulation(seed=seed, conditions=conditions or draw_conditions(seed))
    rng, after = simulation.rng, simulation.timeline.call_later
    for upstream in simulation.upstreams.values():
        simulation.announced_records[upstream.number] = upstream.current_record()
        seconds = rng.random() * ANNOUNCEMENT_INTERVAL_SECONDS
        after(seconds, partial(_announce_upstream, simulation, upstream))
    for entry in simulation.entries:
        start_entry(simulation, entry)
    for number in range(CALLER_COUNT):
        port = FIRST_PORT + number
        after(1.0 + rng.random() * LOAD_SECONDS, partial(_open_flow, simulation, port))
    for _ in range(UPSTREAM_REPLACEMENTS):
        after(rng.random() * LOAD_SECONDS, lambda: _replace_upstream(simulation))
    for _ in range(ROUTE_REMOVALS):
        after(rng.random() * LOAD_SECONDS, lambda: _remove_route(simulation))
    after(1.0, lambda: _inject_fault(simulation))
    after(CHECK_INTERVAL_SECONDS, lambda: _check_rotation(simulation))
    after(EXPIRY_INTERVAL_SECONDS, lambda: _expire_state(simulation))
    simulation.timeline.run(RUN_SECONDS)
    return simulation


def run_seeds(seeds: Iterable[int]) -> SimulationResult:
    """Run seeds one after the other."""
    seeds_run = 0
    findings: list[Finding] = []
    counts: Counter[str] = Counter()
    for seed in seeds:
        simulation = run_seed(seed)
        seeds_run += 1
        findings += simulation.findings
        counts += simulation.counts
    return SimulationResult(
        seeds_run=seeds_run, findings=tuple(findings), counts=counts
    )


def format_result(result: SimulationResult) -> str:
    """Return a line for each finding, and one with the counts."""
    lines = [
        f"seed={f.seed} at={f.at} entry={f.entry} port={f.port} {f.kind}: {f.reason}"
        for f in result.findings
    ]
    counts = " ".join(f"{name}={n}" for name, n in sorted(result.counts.items()))
    return "\n".join(
        [*lines, f"plays={result.seeds_run} findings={len(result.findings)} {counts}"]
    )


def _announce_upstream(simulation: Simulation, upstream: Upstream) -> None:
    if not upstream.is_alive:
        return
    upstream.sequence += 1
    announce_record(simulation, upstream)
    simulation.timeline.call_later(
        ANNOUNCEMENT_INTERVAL_SECONDS, lambda: _announce_upstream(simulation, upstream)
    )


def _open_flow(simulation: Simulation, port: int) -> None:
    closes_at = simulation.timeline.now + simulation.rng.random() * MAX_FLOW_SECONDS
    front = simulation.rng.choice(FRONTS)
    start_caller(simulation, port=port, front=front, closes_at=closes_at)


def _replace_upstream(simulation: Simulation) -> None:
    """Drain and stop an upstream, or crash it; a new one starts at its address."""
    ready = [
        upstream
        for upstream in simulation.upstreams.values()
        if upstream.is_alive and upstream.phase is UpstreamPhase.READY
    ]
    if len(ready) < 3:
        return
    upstream = simulation.rng.choice(ready)
    after = simulation.timeline.call_later
    if simulation.rng.random() < 0.3:
        upstream.is_alive = False
        after(
            simulation.rng.uniform(*RESTART_DELAYS_SECONDS),
            lambda: _restart_upstream(simulation, upstream),
        )
        return
    upstream.phase = UpstreamPhase.LEAVING
    upstream.sequence += 1
    announce_record(simulation, upstream)
    after(
        simulation.rng.uniform(*DRAIN_DELAYS_SECONDS),
        lambda: _stop_upstream(simulation, upstream),
    )


def _stop_upstream(simulation: Simulation, upstream: Upstream) -> None:
    upstream.is_alive = False
    announce_record(simulation, upstream, is_gone=True)
    seconds = simulation.rng.uniform(*RESTART_DELAYS_SECONDS)
    simulation.timeline.call_later(
        seconds, lambda: _restart_upstream(simulation, upstream)
    )


def _restart_upstream(simulation: Simulation, previous: Upstream) -> None:
    """Start a new incarnation at the same address, usually with the same label."""
    is_same_label = simulation.rng.random() < 0.6
    upstream = Upstream(
        number=previous.number,
        label=previous.label if is_same_label else previous.label + 100,
        incarnation=previous.incarnation + 1000,
    )
    simulation.upstreams[previous.number] = upstream
    seconds = simulation.rng.random() * CHECK_INTERVAL_SECONDS
    simulation.timeline.call_later(
        seconds, lambda: _announce_upstream(simulation, upstream)
    )


def _remove_route(simulation: Simulation) -> None:
    """Remove the second route and add it again; its open flows no longer count."""
    front = FRONTS[1]
    if not simulation.has_route(front):
        return
    _publish_routing(simulation, has_second_route=False)
    simulation.route_removed_at[front] = simulation.timeline.now
    gap = simulation.conditions.route_gap_seconds * simulation.rng.uniform(1.0, 1.5)
    simulation.timeline.call_later(
        gap, lambda: _publish_routing(simulation, has_second_route=True)
    )


def _publish_routing(simulation: Simulation, *, has_second_route: bool) -> None:
    fronts = FRONTS if has_second_route else FRONTS[:1]
    simulation.routing = make_routing_table(simulation.routing.version + 1, fronts)
    for entry in simulation.entries:
        announce_routing(simulation, entry)


def _inject_fault(simulation: Simulation) -> None:
    """Inject a fault into one entry, and schedule the next fault."""
    rng = simulation.rng
    entry = rng.choice(simulation.entries)
    fault = rng.choice(
        (_make_unready, _stop_entry, _crash_entry, _pause_entry, _delay_updates)
    )
    if entry.driver is not None:
        fault(simulation, entry)
    seconds = rng.random() * 2 * simulation.conditions.mean_fault_interval_seconds
    simulation.timeline.call_later(seconds, lambda: _inject_fault(simulation))


def _make_unready(simulation: Simulation, entry: Entry) -> None:
    entry.unready_until = simulation.timeline.now + simulation.rng.uniform(
        *UNREADY_SECONDS
    )


def _stop_entry(simulation: Simulation, entry: Entry) -> None:
    """Stop an entry as in planned maintenance: out of the rotation first."""
    driver = entry.driver
    entry.unready_until = simulation.timeline.now + STOP_DELAY_SECONDS

    def crash_if_running() -> None:
        if entry.driver is driver:
            _crash_entry(simulation, entry)

    simulation.timeline.call_later(STOP_DELAY_SECONDS, crash_if_running)


def _crash_entry(simulation: Simulation, entry: Entry) -> None:
    entry.driver = None
    entry.paused_until = 0.0
    seconds = simulation.rng.uniform(*UNREADY_SECONDS)
    simulation.timeline.call_later(seconds, lambda: start_entry(simulation, entry))


def _pause_entry(simulation: Simulation, entry: Entry) -> None:
    now = simulation.timeline.now
    if now >= entry.paused_until:
        entry.paused_since = now
        entry.paused_until = now + simulation.rng.uniform(*PAUSE_SECONDS)


def _delay_updates(simulation: Simulation, entry: Entry) -> None:
    entry.max_update_delay_seconds = simulation.rng.uniform(*MAX_UPDATE_DELAYS_SECONDS)

    def restore() -> None:
        entry.max_update_delay_seconds = 0.0

    simulation.timeline.call_later(
        simulation.rng.uniform(*DELAYED_UPDATES_SECONDS), restore
    )


def _check_rotation(simulation: Simulation) -> None:
    check_entries(simulation)
    simulation.timeline.call_later(
        CHECK_INTERVAL_SECONDS, lambda: _check_rotation(simulation)
    )


def _expire_state(simulation: Simulation) -> None:
    now = simulation.timeline.now
    for entry in simulation.entries:
        if entry.driver is not None and now >= entry.paused_until:
            expire_flows(entry.driver.state, now)
            expire_upstreams(entry.driver.state, now)
            retry_pending_packets(simulation, entry)
    simulation.timeline.call_later(
        EXPIRY_INTERVAL_SECONDS, lambda: _expire_state(simulation)
    )
