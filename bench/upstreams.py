"""Measure the load on fresh upstreams, the end of work on leaving ones, and ejection.

``upstreams.cold_excess`` is decisions: the sum over all cases of the most requests in
flight above what a fresh upstream bears; an entry freezes and another one restarts
during the ramp. ``upstreams.leave_last_work`` is processes. The baselines of both use
no leases. ``upstreams.failed_requests`` is decisions: attempts that fail over those
that fail without ejection in the same fault.
"""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

from testing.support.cell import Cell
from testing.support.request_driver import (
    call_control,
    drive,
    standin_report,
    start_standin,
)
from testing.support.upstream_fakes import FakeGroup, record_of
from testing.support.upstream_load import FakeLoad, Pick

from .ejection import failed_attempts
from .figures import Figure
from .upstream_baselines import picks

SEEDS = range(6)
SLOTS = (2, 4)
UPSTREAMS = 3
LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
LEAVE_ROUNDS = 3


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    for variant, pick in picks().items():
        excess = sum(
            cold_excess(pick, slots, seed) for slots in SLOTS for seed in SEEDS
        )
        yield Figure(
            name="upstreams.cold_excess",
            value=excess,
            how="decisions",
            variant=variant,
        )
    yield Figure(
        name="upstreams.leave_last_work",
        value=max(leave_last_work() for _ in range(LEAVE_ROUNDS)),
        how="processes",
    )
    unprotected = failed_attempts("no_ejection")
    for variant in ("", "no_trial", "connection_errors_ignored", "no_ejection"):
        yield Figure(
            name="upstreams.failed_requests",
            value=failed_attempts(variant) / unprotected,
            how="decisions",
            variant=variant,
        )


def cold_excess(pick: Pick | None, slots: int, seed: int) -> int:
    """Return the excess of a run in which fresh upstreams replace warm ones."""
    group = FakeGroup(seed=seed)
    load = FakeLoad(group=group, work=(0.05, 0.5), pick=pick)
    group.run(1)
    for number in range(UPSTREAMS):
        load.add(record_of(number, slots=slots))
    load.offered = dict.fromkeys(load.offered, 3)
    load.run(10)
    gone = next(iter(load.upstreams))
    excess = max(0, load.upstreams.pop(gone).worst_excess)
    load.add(record_of(0, slots=slots, incarnation=2))
    load.run(1)
    group.entries["e1"].frozen = True
    load.run(2)
    load.kill("e2")
    load.run(2)
    load.restart("e2")
    group.entries["e1"].frozen = False
    load.run(10)
    return excess + sum(max(0, u.worst_excess) for u in load.upstreams.values())


def leave_last_work() -> float:
    """Return the seconds from leaving until the last new work at a stand-in."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=LAYOUT)
        try:
            cell.start_all()
            leaver = start_standin(cell, "gl-erie")
            start_standin(cell, "gl-huron")
            cell.wait_registered("alley-desk", 2)
            hosts = [entry.host for entry in cell.entries]
            drive(hosts, 8, lambda counts: counts[200] >= 300)
            drive(
                hosts,
                8,
                lambda counts: counts[200] >= 1_000,
                during=lambda: call_control(leaver, "POST", "/v1/leave"),
            )
            report = standin_report(leaver)
        finally:
            cell.close()
    return max(0.0, float(report["last_new_work_at"] - report["leaving_at"]))
