"""Measure load on new upstreams, new work at leaving upstreams, and ejection.

``upstreams.cold_excess`` uses decisions: the sum over all cases of the largest number
of requests in flight above the capacity of a new upstream; an entry freezes and another
one restarts during the ramp. Its baselines use no capacity leases.
``upstreams.leave_last_work`` uses processes: the longest time from the leave call to
the last new work at a stand-in. ``upstreams.failed_requests`` uses decisions: the ratio
of failed attempts to those that fail without ejection in the same fault.
"""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from pathlib import Path

from testing.support.process_cluster import ProcessCluster
from testing.support.request_driver import (
    call_control,
    fetch_standin_report,
    send_requests_until,
    start_standin,
)
from testing.support.upstream_fakes import FakeGroup, make_announcement
from testing.support.upstream_load import ChooseUpstreamKey, FakeLoad

from .ejection import failed_attempts
from .figures import Figure
from .upstream_baselines import selection_policies

SEEDS = range(6)
SLOT_COUNTS = (2, 4)
UPSTREAM_COUNT = 3
LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-huron"]
LEAVE_ROUNDS = 3


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    for variant, pick in selection_policies().items():
        total_excess = sum(
            cold_excess(pick, slots, seed) for slots in SLOT_COUNTS for seed in SEEDS
        )
        yield Figure(
            name="upstreams.cold_excess",
            value=total_excess,
            how="decisions",
            variant=variant,
        )
    yield Figure(
        name="upstreams.leave_last_work",
        value=max(leave_last_work() for _ in range(LEAVE_ROUNDS)),
        how="processes",
    )
    failed_without_ejection = failed_attempts("no_ejection")
    for variant in ("", "no_trial", "connection_errors_ignored", "no_ejection"):
        yield Figure(
            name="upstreams.failed_requests",
            value=failed_attempts(variant) / failed_without_ejection,
            how="decisions",
            variant=variant,
        )


def cold_excess(pick: ChooseUpstreamKey | None, slots: int, seed: int) -> int:
    """Return the requests above capacity in a run that replaces a warm upstream."""
    group = FakeGroup(seed=seed)
    fake_load = FakeLoad(group=group, work_seconds_bounds=(0.05, 0.5), pick=pick)
    group.run(1)
    for number in range(UPSTREAM_COUNT):
        fake_load.add(make_announcement(number, slots=slots))
    fake_load.offered_requests = dict.fromkeys(fake_load.offered_requests, 3)
    fake_load.run(10)
    replaced_key = next(iter(fake_load.upstreams))
    excess = max(0, fake_load.upstreams.pop(replaced_key).max_excess)
    fake_load.add(make_announcement(0, slots=slots, incarnation=2))
    fake_load.run(1)
    group.entries["e1"].frozen = True
    fake_load.run(2)
    fake_load.kill("e2")
    fake_load.run(2)
    fake_load.restart("e2")
    group.entries["e1"].frozen = False
    fake_load.run(10)
    return excess + sum(
        max(0, upstream.max_excess) for upstream in fake_load.upstreams.values()
    )


def leave_last_work() -> float:
    """Return the seconds from the leave call to the last new work at a stand-in."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(folder=Path(folder), layout=LAYOUT)
        try:
            cluster.start_all()
            leaving_standin = start_standin(cluster, "gl-erie")
            start_standin(cluster, "gl-huron")
            cluster.wait_for_upstreams("alley-desk", 2)
            hosts = [entry.host for entry in cluster.entries]
            send_requests_until(hosts, 8, lambda counts: counts[200] >= 300)
            send_requests_until(
                hosts,
                8,
                lambda counts: counts[200] >= 1_000,
                on_first_answer=lambda: call_control(
                    leaving_standin, "POST", "/v1/leave"
                ),
            )
            report = fetch_standin_report(leaving_standin)
        finally:
            cluster.close()
    return max(0.0, float(report["last_new_work_at"] - report["leaving_at"]))
