"""Measure how fast a configuration is in force, and that none is lost or reverted.

``config.in_force`` uses processes: the longest time from when the leader takes a
change, before a majority has synced it, until every entry has it. ``config.lost`` and
``config.reverted`` are counts of decisions under random faults with fixed seeds; the
baseline is one replica whose disk may lose what it has acknowledged when it is killed.
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

from testing.support.cell import HTTP_OK, Cell
from testing.support.processes import Started, wait_until
from testing.support.replica_faults import FaultSeries, revision_of

from .figures import Figure

LAYOUT = ["gl-erie", "gl-erie", "gl-huron", "gl-superior"]
CONTROLS = 3
CHANGES = 20
PAUSE_SECONDS = 0.4
FAULT_SEEDS = range(40)
FAULT_STEPS = 250
BASELINE = "single_unsynced"


class Loss(NamedTuple):
    """Acknowledged changes that are gone, and revisions that went back."""

    lost: int
    reverted: int


def measure() -> Iterator[Figure]:
    """Yield all figures."""
    yield Figure(name="config.in_force", value=slowest_change(), how="processes")
    replicated = lose(CONTROLS, syncs=True)
    single = lose(1, syncs=False)
    for variant, loss in (("", replicated), (BASELINE, single)):
        yield Figure(
            name="config.lost", value=loss.lost, how="decisions", variant=variant
        )
        yield Figure(
            name="config.reverted",
            value=loss.reverted,
            how="decisions",
            variant=variant,
        )


def slowest_change() -> float:
    """Return the longest time until a change is in force on all entries, in seconds.

    Changes are made while all is well, while a replica is frozen, and after the
    leader has been killed.
    """
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=LAYOUT, controls=CONTROLS)
        try:
            cell.start_all()
            delays = [change_delay(cell, f"well-{n}") for n in range(CHANGES)]
            leader = cell.wait_leader()
            frozen = control_of(cell, leader % CONTROLS + 1)
            frozen.process.send_signal(signal.SIGSTOP)
            delays += [change_delay(cell, f"frozen-{n}") for n in range(CHANGES)]
            frozen.process.send_signal(signal.SIGCONT)
            control_of(cell, cell.wait_leader()).process.kill()
            delays += [change_delay(cell, f"killed-{n}") for n in range(CHANGES)]
        finally:
            cell.close()
    return max(delays)


def control_of(cell: Cell, number: int) -> Started:
    """Return a control replica that runs."""
    return cell.running_controls[cell.controls[number - 1].name]


def change_delay(cell: Cell, operation: str) -> float:
    """Make a change and return the seconds until the last entry has it in force."""
    accepted: list[tuple[float, int]] = []

    def is_accepted() -> bool:
        number = cell.leader()
        if not number:
            return False
        base = cell.call("GET", "/v1/configuration", number=number)[1]["revision"]
        out = ["gl-erie"] if base % 2 else []
        document: dict[str, Any] = {"operation_id": operation, "operator": "bench"}
        document |= {"base_revision": base, "out": out}
        status, answer = cell.call("POST", "/v1/changes", document, number=number)
        if status != HTTP_OK or answer["code"]:
            return False
        accepted.append((answer["at"], answer["revision_after"]))
        return True

    time.sleep(PAUSE_SECONDS)
    wait_until(is_accepted, f"{operation} is accepted")
    at, revision = accepted[-1]
    return max(seen_at(entry, revision) for entry in cell.running.values()) - at


def seen_at(entry: Started, revision: int) -> float:
    """Return when an entry has put a revision, or a later one, in force."""
    found: list[float] = []

    def is_in_force() -> bool:
        for line in entry.lines("configuration_in_force"):
            if int(line.rsplit("revision=", 1)[1]) >= revision:
                found.append(time_of(line))
                return True
        return False

    wait_until(is_in_force, f"revision {revision} on {entry.name}")
    return found[-1]


def time_of(line: str) -> float:
    """Return the time of a log line in seconds since the epoch."""
    stamp = re.search(r'time="([^"]+)"', line)
    assert stamp is not None, line
    return datetime.strptime(stamp.group(1), "%Y-%m-%d %H:%M:%S,%f").timestamp()


def lose(size: int, *, syncs: bool) -> Loss:
    """Count what random faults lose or revert.

    :param size: how many replicas there are.
    :param syncs: whether disks sync before a change is acknowledged.
    """
    lost = reverted = 0
    for seed in FAULT_SEEDS:
        series = FaultSeries(size=size, seed=seed, syncs=syncs, checks=False)
        highest = 0
        for _ in range(FAULT_STEPS):
            series.step()
            leader = series.cell.leader()
            if leader is None:
                continue
            reverted += revision_of(leader) < highest
            highest = revision_of(leader)
        missing = series.lost()
        lost += sum(not series.cell.told[operation].code for operation in missing)
    return Loss(lost=lost, reverted=reverted)
