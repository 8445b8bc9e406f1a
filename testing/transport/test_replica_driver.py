"""Failed and full disks: nothing is acknowledged that is not durable."""

from __future__ import annotations

import errno
import tempfile
from pathlib import Path

import anyio
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.coordination.replica_members import form_replica_set
from chervilstage.errors.configuration import LogWriteError
from chervilstage.state.counters import Counters
from chervilstage.state.replica import Role
from chervilstage.state.replica_messages import Hello
from chervilstage.state.types import Address
from chervilstage.transport.frame_channel import FrameClient, FrameServer
from chervilstage.transport.log_store import LogStore
from chervilstage.transport.replica_driver import ReplicaDriver
from chervilstage.transport.replica_links import ReplicaLinks
from testing.support.replica_faults import make_operator_change

ADDRESS = Address(host="127.0.0.1", port=1)
KEY = b"k" * 32
CHANGE_COUNT = 100


class FailingDisk:
    """Disk whose syncs succeed until ``fails`` is set."""

    def __init__(self) -> None:
        self.fails = False

    def sync(self, descriptor: int) -> None:
        """Sync, or fail with an error that has no ``errno``."""
        if self.fails:
            raise OSError("no space left on device")


class DiskWithoutSpace(FailingDisk):
    """Disk whose syncs fail for lack of space while ``fails`` is set."""

    def sync(self, descriptor: int) -> None:
        """Sync, or fail for lack of space."""
        if self.fails:
            raise OSError(errno.ENOSPC, "no space left on device")


def make_driver(disk: FailingDisk, folder: Path) -> ReplicaDriver:
    """Return the driver of a single replica that can become the leader."""
    counters = Counters()
    client = FrameClient(name="control-1", key=KEY, counters=counters)
    frames = FrameServer(name="control-1", address=ADDRESS, key=KEY, counters=counters)
    store = LogStore(folder=folder, identity=5, sync_file=disk.sync)
    driver = ReplicaDriver(
        address=ADDRESS, store=store, links=ReplicaLinks(frames=client), frames=frames
    )
    hello = Hello(
        name="control-1",
        identity=5,
        data_centre="gl-erie",
        address=ADDRESS,
        formed=False,
    )
    driver.enqueue(form_replica_set(driver.replica, [hello]))
    return driver


async def wait_until_ready(driver: ReplicaDriver) -> None:
    """Wait up to 10 s until the replica is the leader and has no pending effects."""
    for _ in range(1000):
        if driver.replica.role is Role.LEADER and not driver.pending:
            return
        await anyio.sleep(0.01)


class ReplicaDriverTests(TestCase):
    """Guards against a replica that continues after a failed write."""

    def test_failed_disk_ends_the_process_before_a_change_is_acknowledged(self) -> None:
        disk, acknowledged = FailingDisk(), []

        async def main() -> None:
            driver = make_driver(disk, Path(tempfile.mkdtemp()) / "data")

            async def submit() -> None:
                await wait_until_ready(driver)
                disk.fails = True
                acknowledged.append(
                    await driver.submit(make_operator_change("lost", 0))
                )

            async with anyio.create_task_group() as group:
                group.start_soon(driver.run)
                group.start_soon(submit)

        error = self.assertRaises(BaseExceptionGroup, anyio.run, main)
        self.assertThat(type(error.exceptions[0]), Equals(LogWriteError))
        self.assertThat(acknowledged, Equals([]))

    def test_a_full_disk_delays_changes_and_loses_nothing(self) -> None:
        """Guards against a stop, or entries stored twice, after a full disk."""
        disk = DiskWithoutSpace()
        folder = Path(tempfile.mkdtemp()) / "data"
        codes: list[str] = []

        async def main() -> None:
            driver = make_driver(disk, folder)

            async def free() -> None:
                await anyio.sleep(0.5)
                disk.fails = False

            async with anyio.create_task_group() as group:
                group.start_soon(driver.run)
                await wait_until_ready(driver)
                codes.append(
                    (await driver.submit(make_operator_change("before", 0))).code
                )
                disk.fails = True
                group.start_soon(free)
                with anyio.fail_after(5.0):
                    outcome = await driver.submit(make_operator_change("during", 1))
                codes.append(outcome.code)
                group.cancel_scope.cancel()
            driver.store.close()

        anyio.run(main)
        self.assertThat(codes, Equals(["", ""]))
        stored = LogStore(folder=folder, identity=6).stored
        saved_operations = [
            outcome.operation_id for outcome in stored.snapshot.outcomes
        ]
        commands = [e.command for e in stored.entries if e.command is not None]
        saved_operations += [command.change.operation_id for command in commands]
        self.assertThat(saved_operations, Equals(["before", "during"]))
        positions = [entry.position for entry in stored.entries]
        self.assertThat(stored.snapshot.position < min(positions), Equals(True))
        self.assertThat(len(positions), Equals(len(set(positions))))

    def test_changes_of_one_turn_share_syncs_in_bounded_batches(self) -> None:
        """Guards against a sync per change, and against a batch without a limit."""
        syncs: list[float] = []

        async def main() -> None:
            driver = make_driver(FailingDisk(), Path(tempfile.mkdtemp()) / "data")
            async with anyio.create_task_group() as group:
                group.start_soon(driver.run)
                await wait_until_ready(driver)
                driver.store.observe = syncs.append
                async with anyio.create_task_group() as changes:
                    for number in range(CHANGE_COUNT):
                        change = make_operator_change(f"change-{number}", 0)
                        changes.start_soon(driver.submit, change)
                group.cancel_scope.cancel()

        anyio.run(main)
        self.assertThat(len(syncs) < CHANGE_COUNT / 10, Equals(True))
        self.assertThat(len(syncs) > 1, Equals(True))
