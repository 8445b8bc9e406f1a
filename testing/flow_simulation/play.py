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
from .world import FRONTS, Conditions, Entry, Finding, Upstream, World, make_table

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


def play(seed: int, conditions: Conditions | None = None) -> World:
    """Play a seed, under conditions drawn from it if none are given."""
    world = World(seed=seed, conditions=conditions or draw_conditions(seed))
    rng, after = world.rng, world.timeline.after
    for upstream in world.upstreams.values():
        world.announced[upstream.number] = upstream.record()
        seconds = rng.random() * ANNOUNCEMENT_SECONDS
        after(seconds, partial(_announce, world, upstream))
    for entry in world.entries:
        start_entry(world, entry)
    for number in range(CALLERS):
        port = FIRST_PORT + number
        after(1.0 + rng.random() * BUSY_SECONDS, partial(_call, world, port))
    for _ in range(REPLACEMENTS):
        after(rng.random() * BUSY_SECONDS, lambda: _replace(world))
    for _ in range(ROUTE_CHANGES):
        after(rng.random() * BUSY_SECONDS, lambda: _remove_route(world))
    after(1.0, lambda: _disturb(world))
    after(CHECK_SECONDS, lambda: _check(world))
    after(SWEEP_SECONDS, lambda: _sweep(world))
    world.timeline.play(PLAY_SECONDS)
    return world


def play_all(seeds: Iterable[int]) -> PlayResult:
    """Play seeds one after the other."""
    plays = 0
    findings: list[Finding] = []
    counts: Counter[str] = Counter()
    for seed in seeds:
        world = play(seed)
        plays += 1
        findings += world.findings
        counts += world.counts
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


def _announce(world: World, upstream: Upstream) -> None:
    if not upstream.is_alive:
        return
    upstream.sequence += 1
    tell_record(world, upstream)
    world.timeline.after(ANNOUNCEMENT_SECONDS, lambda: _announce(world, upstream))


def _call(world: World, port: int) -> None:
    until = world.timeline.now + world.rng.random() * FLOW_SECONDS
    front = world.rng.choice(FRONTS)
    start_caller(world, port=port, front=front, until=until)


def _replace(world: World) -> None:
    """Drain and end an upstream, or crash it; another run follows at its address."""
    ready = [
        upstream
        for upstream in world.upstreams.values()
        if upstream.is_alive and upstream.phase is UpstreamPhase.READY
    ]
    if len(ready) < 3:
        return
    upstream = world.rng.choice(ready)
    after = world.timeline.after
    if world.rng.random() < 0.3:
        upstream.is_alive = False
        after(world.rng.uniform(*RESTART_SECONDS), lambda: _restart(world, upstream))
        return
    upstream.phase = UpstreamPhase.LEAVING
    upstream.sequence += 1
    tell_record(world, upstream)
    after(world.rng.uniform(*DRAIN_SECONDS), lambda: _leave(world, upstream))


def _leave(world: World, upstream: Upstream) -> None:
    upstream.is_alive = False
    tell_record(world, upstream, gone=True)
    seconds = world.rng.uniform(*RESTART_SECONDS)
    world.timeline.after(seconds, lambda: _restart(world, upstream))


def _restart(world: World, before: Upstream) -> None:
    """Start a run at the address, most often under the label of the run before."""
    is_same_label = world.rng.random() < 0.6
    upstream = Upstream(
        number=before.number,
        label=before.label if is_same_label else before.label + 100,
        incarnation=before.incarnation + 1000,
    )
    world.upstreams[before.number] = upstream
    seconds = world.rng.random() * CHECK_SECONDS
    world.timeline.after(seconds, lambda: _announce(world, upstream))


def _remove_route(world: World) -> None:
    """Remove the second route; its flows do not count any more."""
    front = FRONTS[1]
    if not world.routes(front):
        return
    _put_table(world, with_second=False)
    world.removed_at[front] = world.timeline.now
    gap = world.conditions.route_gap_seconds * world.rng.uniform(1.0, 1.5)
    world.timeline.after(gap, lambda: _put_table(world, with_second=True))


def _put_table(world: World, *, with_second: bool) -> None:
    fronts = FRONTS if with_second else FRONTS[:1]
    world.routing = make_table(world.routing.version + 1, fronts)
    for entry in world.entries:
        tell_routing(world, entry)


def _disturb(world: World) -> None:
    """Do something to one entry, and again after a while."""
    rng = world.rng
    entry = rng.choice(world.entries)
    disturbance = rng.choice((_be_unready, _stop, _crash, _stand_still, _be_late))
    if entry.driver is not None:
        disturbance(world, entry)
    seconds = rng.random() * 2 * world.conditions.outage_seconds
    world.timeline.after(seconds, lambda: _disturb(world))


def _be_unready(world: World, entry: Entry) -> None:
    entry.unready_until = world.timeline.now + world.rng.uniform(*UNREADY_SECONDS)


def _stop(world: World, entry: Entry) -> None:
    """Stop an entry as planned work does: out of rotation first."""
    driver = entry.driver
    entry.unready_until = world.timeline.now + STOP_SECONDS

    def crash() -> None:
        if entry.driver is driver:
            _crash(world, entry)

    world.timeline.after(STOP_SECONDS, crash)


def _crash(world: World, entry: Entry) -> None:
    entry.driver = None
    entry.still_until = 0.0
    seconds = world.rng.uniform(*UNREADY_SECONDS)
    world.timeline.after(seconds, lambda: start_entry(world, entry))


def _stand_still(world: World, entry: Entry) -> None:
    now = world.timeline.now
    if now >= entry.still_until:
        entry.still_since = now
        entry.still_until = now + world.rng.uniform(*STILL_SECONDS)


def _be_late(world: World, entry: Entry) -> None:
    entry.lateness = world.rng.uniform(*LATENESS_SECONDS)

    def end() -> None:
        entry.lateness = 0.0

    world.timeline.after(world.rng.uniform(*LATE_NEWS_SECONDS), end)


def _check(world: World) -> None:
    check_entries(world)
    world.timeline.after(CHECK_SECONDS, lambda: _check(world))


def _sweep(world: World) -> None:
    now = world.timeline.now
    for entry in world.entries:
        if entry.driver is not None and now >= entry.still_until:
            sweep_flows(entry.driver.state, now)
            forget_old(entry.driver.state, now)
            release_held(world, entry)
    world.timeline.after(SWEEP_SECONDS, lambda: _sweep(world))
