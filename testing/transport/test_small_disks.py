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
from testing.support.disk_cluster import DiskCluster
from testing.support.full_disks import WRITE, FullDisk, patch_disks

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

    def begin_operation(self, kind: str) -> None:
        """Begin an operation, and refuse a write when the files take up the disk.

        :raises OSError: the disk is full for this kind of operation.
        """
        super().begin_operation(kind)
        if kind != WRITE:
            return
        if sum(path.stat().st_size for path in self.folder.iterdir()) >= DISK_BYTES:
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


def make_single_replica_cluster(folder: Path) -> DiskCluster:
    """Return a cluster of one replica on a small disk."""
    cluster = DiskCluster(folder=folder, count=1, size=1, seed=1)
    cluster.disks = [SmallDisk(folder=disk.folder) for disk in cluster.disks]
    return cluster


def make_table_change(version: int) -> Change:
    """Return a change that publishes a large routing table."""
    content = f"{version:0{TABLE_BYTES}}".encode()
    change = Change(operation_id=f"v{version}", operator="maria", base_revision=None)
    return change._replace(routing=RoutingDocument(version=version, content=content))


def make_inventory_change(number: int) -> Change:
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


async def publish(cluster: DiskCluster, first: int, last: int) -> None:
    """Publish tables in sequence until one is refused."""
    for version in range(first, last + 1):
        if not cluster.unacknowledged_operations:
            await cluster.submit_until_acknowledged(
                make_table_change(version), ACKNOWLEDGED_SECONDS
            )


def test_hundreds_of_large_changes_fit_on_the_disk(tmp_path: Path) -> None:
    """Guards against a log that fills its own disk before the first snapshot."""
    cluster = make_single_replica_cluster(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await publish(cluster, 1, 400)
            group.cancel_scope.cancel()

    with patch_disks(cluster.disks):
        anyio.run(main)
    assert cluster.unacknowledged_operations == []


def test_hundreds_of_large_inventories_fit_on_the_disk(tmp_path: Path) -> None:
    """Guards against a log of inventory changes that fills its own disk."""
    cluster = make_single_replica_cluster(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            for number in range(400):
                if not cluster.unacknowledged_operations:
                    await cluster.submit_until_acknowledged(
                        make_inventory_change(number), ACKNOWLEDGED_SECONDS
                    )
            group.cancel_scope.cancel()

    with patch_disks(cluster.disks):
        anyio.run(main)
    assert cluster.unacknowledged_operations == []


def test_hundreds_of_large_changes_are_removed_from_memory(tmp_path: Path) -> None:
    """Guards against a replica that exceeds its memory limit."""
    cluster = make_single_replica_cluster(tmp_path)
    measured_bytes: list[int] = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            for last in range(50, 301, 50):
                await publish(cluster, last - 49, last)
                measured_bytes.append(routing_bytes(cluster.nodes[0].replica))
            group.cancel_scope.cancel()

    with patch_disks(cluster.disks):
        anyio.run(main)
    assert max(measured_bytes) <= MAX_LOG_BYTES


def test_a_replica_recovers_although_its_log_fills_half_of_the_disk(
    tmp_path: Path,
) -> None:
    """Guards against a full save that has no space next to the old files."""
    cluster = make_single_replica_cluster(tmp_path)

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await publish(cluster, 1, 160)
            cluster.disks[0].fill({WRITE})
            group.start_soon(publish, cluster, 161, 161)
            await anyio.sleep(FULL_SECONDS)
            cluster.disks[0].free()
            await publish(cluster, 162, 165)
            group.cancel_scope.cancel()

    with patch_disks(cluster.disks):
        anyio.run(main)
    assert cluster.unacknowledged_operations == []
