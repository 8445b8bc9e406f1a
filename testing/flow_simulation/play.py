"""Plays random flows through several entries and finds breaks of the FLOW rule."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from functools import partial
from random import Random
from typing import NamedTuple

from chervilstage.coordination.relay_directory import forget_old
from chervilstage.coordination.token_relay import sweep_flows
from chervilstage.state.types import UpstreamPhase

from .callers import start_caller
from .news import (
    check_entries,
    release_held,
    start_entry,
    tell_record,
    tell_routing,
)
from .simulation import (
    FRONTS,
    Conditions,
    Entry,
    Finding,
    Simulation,
    Upstream,
    make_table,
)

CALLERS = 250
FIRST_PORT = 40_000
BUSY_SECONDS = 25.0
FLOW_SECONDS = 20.0
PLAY_SECONDS = 60.0
ANNOUNCEMENT_SECONDS = 1.2
CHECK_SECONDS = 0.5
SWEEP_SECONDS = 1.0
REPLACEMENTS = 8
ROUTE_CHANGES = 4
# Longer than a late entry takes to hear of a removal and to fetch the table.
ROUTE_GAP_SECONDS = 5.0
DRAIN_SECONDS = (1.0, 7.0)
RESTART_SECONDS = (0.0, 3.0)
UNREADY_SECONDS = (0.5, 2.5)
STILL_SECONDS = (0.0, 3.0)
LATENESS_SECONDS = (0.0, 2.0)
LATE_NEWS_SECONDS = (1.0, 6.0)
STOP_SECONDS = 1.5


class PlayResult(NamedTuple):
    """What plays found, and the counts of what is no break of the rule."""

    plays: int
    findings: tuple[Finding, ...]
    counts: Counter[str]


def draw_conditions(seed: int) -> Conditions:
    """Return what the play of a seed is like."""
    rng = Random(seed)
    return Conditions(
        outage_seconds=rng.uniform(0.4, 4.0),
        slow=rng.choice((0.0, 0.1, 0.3)),
        delayed=rng.choice((0.0, 0.0, 0.03)),
        reordered=rng.choice((0.0, 1.0)),
        route_gap_seconds=ROUTE_GAP_SECONDS,
    )


def play(seed: int, conditions: Conditions | None = None) -> Simulation:
    """Play a seed, under conditions drawn from it if none are given."""
    simulation = Simulation(seed=seed, conditions=conditions or draw_conditions(seed))
    rng, after = simulation.rng, simulation.timeline.after
    for upstream in simulation.upstreams.values():
        simulation.announced[upstream.number] = upstream.record()
        seconds = rng.random() * ANNOUNCEMENT_SECONDS
        after(seconds, partial(_announce, simulation, upstream))
    for entry in simulation.entries:
        start_entry(simulation, entry)
    for number in range(CALLERS):
        port = FIRST_PORT + number
        after(1.0 + rng.random() * BUSY_SECONDS, partial(_call, simulation, port))
    for _ in range(REPLACEMENTS):
        after(rng.random() * BUSY_SECONDS, lambda: _replace(simulation))
    for _ in range(ROUTE_CHANGES):
        after(rng.random() * BUSY_SECONDS, lambda: _remove_route(simulation))
    after(1.0, lambda: _disturb(simulation))
    after(CHECK_SECONDS, lambda: _check(simulation))
    after(SWEEP_SECONDS, lambda: _sweep(simulation))
    simulation.timeline.play(PLAY_SECONDS)
    return simulation


def play_all(seeds: Iterable[int]) -> PlayResult:
    """Play seeds one after the other."""
    plays = 0
    findings: list[Finding] = []
    counts: Counter[str] = Counter()
    for seed in seeds:
        simulation = play(seed)
        plays += 1
        findings += simulation.findings
        counts += simulation.counts
    return PlayResult(plays=plays, findings=tuple(findings), counts=counts)


def describe(result: PlayResult) -> str:
    """Return the findings and counts of plays, one line each."""
    lines = [
        f"seed={f.seed} at={f.at} entry={f.entry} port={f.port} {f.kind}: {f.reason}"
        for f in result.findings
    ]
    counts = " ".join(f"{name}={n}" for name, n in sorted(result.counts.items()))
    return "\n".join(
        [*lines, f"plays={result.plays} findings={len(result.findings)} {counts}"]
    )


def _announce(simulation: Simulation, upstream: Upstream) -> None:
    if not upstream.is_alive:
        return
    upstream.sequence += 1
    tell_record(simulation, upstream)
    simulation.timeline.after(
        ANNOUNCEMENT_SECONDS, lambda: _announce(simulation, upstream)
    )


def _call(simulation: Simulation, port: int) -> None:
    until = simulation.timeline.now + simulation.rng.random() * FLOW_SECONDS
    front = simulation.rng.choice(FRONTS)
    start_caller(simulation, port=port, front=front, until=until)


def _replace(simulation: Simulation) -> None:
    """Drain and end an upstream, or crash it; another run follows at its address."""
    ready = [
        upstream
        for upstream in simulation.upstreams.values()
        if upstream.is_alive and upstream.phase is UpstreamPhase.READY
    ]
    if len(ready) < 3:
        return
    upstream = simulation.rng.choice(ready)
    after = simulation.timeline.after
    if simulation.rng.random() < 0.3:
        upstream.is_alive = False
        after(
            simulation.rng.uniform(*RESTART_SECONDS),
            lambda: _restart(simulation, upstream),
        )
        return
    upstream.phase = UpstreamPhase.LEAVING
    upstream.sequence += 1
    tell_record(simulation, upstream)
    after(simulation.rng.uniform(*DRAIN_SECONDS), lambda: _leave(simulation, upstream))


def _leave(simulation: Simulation, upstream: Upstream) -> None:
    upstream.is_alive = False
    tell_record(simulation, upstream, gone=True)
    seconds = simulation.rng.uniform(*RESTART_SECONDS)
    simulation.timeline.after(seconds, lambda: _restart(simulation, upstream))


def _restart(simulation: Simulation, before: Upstream) -> None:
    """Start a run at the address, most often under the label of the run before."""
    is_same_label = simulation.rng.random() < 0.6
    upstream = Upstream(
        number=before.number,
        label=before.label if is_same_label else before.label + 100,
        incarnation=before.incarnation + 1000,
    )
    simulation.upstreams[before.number] = upstream
    seconds = simulation.rng.random() * CHECK_SECONDS
    simulation.timeline.after(seconds, lambda: _announce(simulation, upstream))


def _remove_route(simulation: Simulation) -> None:
    """Remove the second route; its flows do not count any more."""
    front = FRONTS[1]
    if not simulation.routes(front):
        return
    _put_table(simulation, with_second=False)
    simulation.removed_at[front] = simulation.timeline.now
    gap = simulation.conditions.route_gap_seconds * simulation.rng.uniform(1.0, 1.5)
    simulation.timeline.after(gap, lambda: _put_table(simulation, with_second=True))


def _put_table(simulation: Simulation, *, with_second: bool) -> None:
    fronts = FRONTS if with_second else FRONTS[:1]
    simulation.routing = make_table(simulation.routing.version + 1, fronts)
    for entry in simulation.entries:
        tell_routing(simulation, entry)


def _disturb(simulation: Simulation) -> None:
    """Do something to one entry, and again after a while."""
    rng = simulation.rng
    entry = rng.choice(simulation.entries)
    disturbance = rng.choice((_be_unready, _stop, _crash, _stand_still, _be_late))
    if entry.driver is not None:
        disturbance(simulation, entry)
    seconds = rng.random() * 2 * simulation.conditions.outage_seconds
    simulation.timeline.after(seconds, lambda: _disturb(simulation))


def _be_unready(simulation: Simulation, entry: Entry) -> None:
    entry.unready_until = simulation.timeline.now + simulation.rng.uniform(
        *UNREADY_SECONDS
    )


def _stop(simulation: Simulation, entry: Entry) -> None:
    """Stop an entry as planned work does: out of rotation first."""
    driver = entry.driver
    entry.unready_until = simulation.timeline.now + STOP_SECONDS

    def crash() -> None:
        if entry.driver is driver:
            _crash(simulation, entry)

    simulation.timeline.after(STOP_SECONDS, crash)


def _crash(simulation: Simulation, entry: Entry) -> None:
    entry.driver = None
    entry.still_until = 0.0
    seconds = simulation.rng.uniform(*UNREADY_SECONDS)
    simulation.timeline.after(seconds, lambda: start_entry(simulation, entry))


def _stand_still(simulation: Simulation, entry: Entry) -> None:
    now = simulation.timeline.now
    if now >= entry.still_until:
        entry.still_since = now
        entry.still_until = now + simulation.rng.uniform(*STILL_SECONDS)


def _be_late(simulation: Simulation, entry: Entry) -> None:
    entry.lateness = simulation.rng.uniform(*LATENESS_SECONDS)

    def end() -> None:
        entry.lateness = 0.0

    simulation.timeline.after(simulation.rng.uniform(*LATE_NEWS_SECONDS), end)


def _check(simulation: Simulation) -> None:
    check_entries(simulation)
    simulation.timeline.after(CHECK_SECONDS, lambda: _check(simulation))


def _sweep(simulation: Simulation) -> None:
    now = simulation.timeline.now
    for entry in simulation.entries:
        if entry.driver is not None and now >= entry.still_until:
            sweep_flows(entry.driver.state, now)
            forget_old(entry.driver.state, now)
            release_held(simulation, entry)
    simulation.timeline.after(SWEEP_SECONDS, lambda: _sweep(simulation))
