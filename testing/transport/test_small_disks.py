"""Small disks with space for a few hundred large routing tables, as in production."""

from __future__ import annotations

import errno
import os
from pathlib import Path

import anyio

from chervilstage.state.configuration import (
    Change,
    DataCentre,
    Inventory,
    RoutingDocument,
)
from chervilstage.state.log_entries import ChangeCommand
from chervilstage.state.replica import Replica
from testing.support.disk_cell import DiskCell
from testing.support.full_disks import WRITE, FullDisk, refusing

# A platform's disk has 128 MB, a log entry with 1,640 routes takes 0.45 MB; both are
# divided by 100 here.
DISK_BYTES = 1_280_000
TABLE_BYTES = 4_500
ACKNOWLEDGED_SECONDS = 4.5
# The limit of a log in bytes, plus the one change that exceeds it.
MAX_LOG_BYTES = 1024 * 1024 + TABLE_BYTES
FULL_SECONDS = 0.5


class SmallDisk(FullDisk):
    """Disk that refuses writes once its files have reached its capacity."""

    def take(self, kind: str) -> None:
        """Perform an operation.

        :raises OSError: the operation is refused.
        """
        super().take(kind)
        if kind != WRITE:
            return
        if sum(path.stat().st_size for path in self.folder.iterdir()) >= DISK_BYTES:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def make_cell(folder: Path) -> DiskCell:
    """Return a cell of one replica on a small disk."""
    cell = DiskCell(folder=folder, count=1, size=1, seed=1)
    cell.disks = [SmallDisk(folder=disk.folder) for disk in cell.disks]
    return cell


def make_table(version: int) -> Change:
    """Return a change that publishes a large routing table."""
    content = f"{version:0{TABLE_BYTES}}".encode()
    change = Change(operation_id=f"v{version}", operator="maria", base_revision=None)
    return change._replace(routing=RoutingDocument(version=version, content=content))


def make_inventory(number: int) -> Change:
    """Return a change to a large inventory, most of which stays the same."""
    names = ("x" * TABLE_BYTES, f"dc-{number}")
    inventory = Inventory(data_centres=tuple(DataCentre(name=n) for n in names))
    return Change(
        operation_id=f"i{number}",
        operator="maria",
        base_revision=None,
        inventory=inventory,
    )


def routing_bytes(replica: Replica) -> int:
    """Return the bytes of the routing tables in the log of a replica."""
    commands = (entry.command for entry in replica.log.entries)
    changes = [c.change for c in commands if isinstance(c, ChangeCommand)]
    return sum(len(c.routing.content) for c in changes if c.routing is not None)


async def publish(cell: DiskCell, first: int, last: int) -> None:
    """Publish tables in sequence until one is refused."""
    for version in range(first, last + 1):
        if not cell.refused:
            await cell.order(make_table(version), ACKNOWLEDGED_SECONDS)


def test_hundreds_of_large_changes_fit_on_the_disk(tmp_path: Path) -> None:
    """Guards against a log that fills its own disk before the first snapshot."""
    cell = make_cell(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cell.start(group)
            await publish(cell, 1, 400)
            group.cancel_scope.cancel()

    with refusing(cell.disks):
        anyio.run(main)
    assert cell.refused == []


def test_hundreds_of_large_inventories_fit_on_the_disk(tmp_path: Path) -> None:
    """Guards against a log of inventory changes that fills its own disk."""
    cell = make_cell(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cell.start(group)
            for number in range(400):
                if not cell.refused:
                    await cell.order(make_inventory(number), ACKNOWLEDGED_SECONDS)
            group.cancel_scope.cancel()

    with refusing(cell.disks):
        anyio.run(main)
    assert cell.refused == []


def test_hundreds_of_large_changes_are_removed_from_memory(tmp_path: Path) -> None:
    """Guards against a replica that exceeds its memory limit."""
    cell = make_cell(tmp_path)
    measured_bytes: list[int] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cell.start(group)
            for last in range(50, 301, 50):
                await publish(cell, last - 49, last)
                measured_bytes.append(routing_bytes(cell.nodes[0].replica))
            group.cancel_scope.cancel()

    with refusing(cell.disks):
        anyio.run(main)
    assert max(measured_bytes) <= MAX_LOG_BYTES


def test_a_replica_recovers_although_its_log_fills_half_of_the_disk(
    tmp_path: Path,
) -> None:
    """Guards against a full save that has no space next to the old files."""
    cell = make_cell(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cell.start(group)
            await publish(cell, 1, 160)
            cell.disks[0].fill({WRITE})
            group.start_soon(publish, cell, 161, 161)
            await anyio.sleep(FULL_SECONDS)
            cell.disks[0].free()
            await publish(cell, 162, 165)
            group.cancel_scope.cancel()

    with refusing(cell.disks):
        anyio.run(main)
    assert cell.refused == []
