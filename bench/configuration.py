"""Measure the delay of configuration changes, and how many are lost or reverted.

``config.in_force`` uses processes: the longest time from the leader's acceptance of a
change, before a majority has synced it, until the change is in force on every entry.
``config.lost`` and ``config.reverted`` are counted in simulations with random faults
and fixed seeds. Their baseline is one replica whose disk does not sync, so that a kill
may lose changes that it has acknowledged.
"""

from __future__ import annotations

import re
import signal
import tempfile
import time
from collections.abc import Iterator
from datetime import datetime
from pathlib import Path
from typing import Any, NamedTuple

from testing.support.process_cluster import HTTP_OK, ProcessCluster
from testing.support.processes import StartedProcess, wait_until
from testing.support.replica_faults import FaultSeries, applied_revision

from .figures import Figure

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-superior"]
CONTROL_REPLICA_COUNT = 3
CHANGES_PER_PHASE = 20
CHANGE_INTERVAL_SECONDS = 0.4
FAULT_SEEDS = range(40)
STEPS_PER_FAULT_SERIES = 250
BASELINE_VARIANT = "single_unsynced"


class LossCounts(NamedTuple):
    """Numbers of acknowledged changes that are lost and of reverted revisions."""

    lost: int
    reverted: int


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    yield Figure(name="config.in_force", value=max_change_delay(), how="processes")
    replicated_counts = count_losses(CONTROL_REPLICA_COUNT, syncs=True)
    single_counts = count_losses(1, syncs=False)
    for variant, loss_counts in (
        ("", replicated_counts),
        (BASELINE_VARIANT, single_counts),
    ):
        yield Figure(
            name="config.lost", value=loss_counts.lost, how="decisions", variant=variant
        )
        yield Figure(
            name="config.reverted",
            value=loss_counts.reverted,
            how="decisions",
            variant=variant,
        )


def max_change_delay() -> float:
    """Return the longest time until a change is in force on all entries, in seconds.

    Changes are made while all replicas run, while a follower is frozen, and after
    the leader has been killed.
    """
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(
            folder=Path(folder), layout=LAYOUT, controls=CONTROL_REPLICA_COUNT
        )
        try:
            cluster.start_all()
            delays = [
                change_delay(cluster, f"well-{n}") for n in range(CHANGES_PER_PHASE)
            ]
            leader = cluster.wait_for_leader()
            frozen_replica = running_control_replica(
                cluster, leader % CONTROL_REPLICA_COUNT + 1
            )
            frozen_replica.process.send_signal(signal.SIGSTOP)
            delays += [
                change_delay(cluster, f"frozen-{n}") for n in range(CHANGES_PER_PHASE)
            ]
            frozen_replica.process.send_signal(signal.SIGCONT)
            running_control_replica(cluster, cluster.wait_for_leader()).process.kill()
            delays += [
                change_delay(cluster, f"killed-{n}") for n in range(CHANGES_PER_PHASE)
            ]
        finally:
            cluster.close()
    return max(delays)


def running_control_replica(cluster: ProcessCluster, number: int) -> StartedProcess:
    """Return a running control replica by its number."""
    return cluster.running_controls[cluster.controls[number - 1].name]


def change_delay(cluster: ProcessCluster, operation: str) -> float:
    """Make a change and return the seconds until it is in force on all entries."""
    accepted: list[tuple[float, int]] = []

    def is_accepted() -> bool:
        leader_number = cluster.find_leader()
        if not leader_number:
            return False
        base_revision = cluster.call_operator_api(
            "GET", "/v1/configuration", number=leader_number
        )[1]["revision"]
        data_centres_out = ["gl-erie"] if base_revision % 2 else []
        document: dict[str, Any] = {"operation_id": operation, "operator": "bench"}
        document |= {"base_revision": base_revision, "out": data_centres_out}
        status, answer = cluster.call_operator_api(
            "POST", "/v1/changes", document, number=leader_number
        )
        if status != HTTP_OK or answer["code"]:
            return False
        accepted.append((answer["at"], answer["revision_after"]))
        return True

    time.sleep(CHANGE_INTERVAL_SECONDS)
    wait_until(is_accepted, f"{operation} is accepted")
    accepted_at, revision = accepted[-1]
    return (
        max(
            wait_in_force(entry, revision) for entry in cluster.running_entries.values()
        )
        - accepted_at
    )


def wait_in_force(entry: StartedProcess, revision: int) -> float:
    """Wait until a revision, or a later one, is in force; return when that was."""
    in_force_times: list[float] = []

    def is_in_force() -> bool:
        for line in entry.log_lines("configuration_in_force"):
            if int(line.rsplit("revision=", 1)[1]) >= revision:
                in_force_times.append(log_time(line))
                return True
        return False

    wait_until(is_in_force, f"revision {revision} on {entry.name}")
    return in_force_times[-1]


def log_time(line: str) -> float:
    """Return the time of a log line in seconds since the epoch."""
    match = re.search(r'time="([^"]+)"', line)
    assert match is not None, line
    return datetime.strptime(match.group(1), "%Y-%m-%d %H:%M:%S,%f").timestamp()


def count_losses(replica_count: int, *, syncs: bool) -> LossCounts:
    """Count changes lost and revisions reverted under random faults.

    :param replica_count: number of control replicas.
    :param syncs: whether disks sync before a change is acknowledged.
    """
    lost = reverted = 0
    for seed in FAULT_SEEDS:
        series = FaultSeries(size=replica_count, seed=seed, syncs=syncs, checks=False)
        leader_revision = 0
        for _ in range(STEPS_PER_FAULT_SERIES):
            series.step()
            leader = series.cluster.leader()
            if leader is None:
                continue
            reverted += applied_revision(leader) < leader_revision
            leader_revision = applied_revision(leader)
        lost_operations = series.find_lost_changes()
        lost += sum(
            not series.cluster.reported_outcomes[operation].code
            for operation in lost_operations
        )
    return LossCounts(lost=lost, reverted=reverted)
