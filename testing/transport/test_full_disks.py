"""Full disks: changes are still accepted, and every replica recovers."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random

import anyio
import pytest

from chervilstage.coordination import replica_apply
from chervilstage.coordination.replica_effects import Send
from chervilstage.errors.configuration import LogWriteError
from chervilstage.state.replica import Snapshot, Vote
from chervilstage.state.replica_messages import LeadershipTransfer
from chervilstage.transport.log_store import LogStore
from testing.support.disk_cluster import DiskCluster, DiskNode, change_without_base
from testing.support.full_disks import (
    MAX_SPARED_OPERATIONS,
    REMOVE,
    FullDisk,
    patch_disks,
)

# Less than the 5 s that the user documentation gives operators to wait for an answer.
ACKNOWLEDGED_SECONDS = 4.5
# An operator's client tries another replica after a second without an answer.
TIMEOUT_SECONDS = 1.0
FULL_SECONDS = (0.3, 1.8)
CHANGE_PAUSE_SECONDS = 0.1
# Enough calls to outlast the replacement of a silent voter and its readmission.
CALLS_WHILE_FULL = 20
CALL_PAUSE_SECONDS = 0.25
IO_ERROR_NUMBER = 5  # EIO
SEEDS = (3, 4)
ROUNDS = 6
DOWNTIME_SECONDS = (0.05, 0.5)

Scenario = Callable[[DiskCluster], Awaitable[None]]


@pytest.fixture(autouse=True)
def short_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Shorten the log so that snapshots are taken while disks are full."""
    monkeypatch.setattr(replica_apply, "SNAPSHOT_ENTRIES", 8)
    monkeypatch.setattr(replica_apply, "KEPT_ENTRIES", 4)


def run(cluster: DiskCluster, scenario: Scenario) -> None:
    """Start the replicas, run a scenario and stop them."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await scenario(cluster)
            group.cancel_scope.cancel()

    with patch_disks(cluster.disks):
        anyio.run(main)


def leader_of(cluster: DiskCluster) -> DiskNode:
    """Return the leader."""
    leader = cluster.leader()
    assert leader is not None
    return leader


async def send_changes(cluster: DiskCluster, done: anyio.Event) -> None:
    """Send changes to any replicas until ``done`` is set; wait for their outcomes."""
    number = 0
    async with anyio.create_task_group() as requests:
        while not done.is_set():
            change = change_without_base(f"change-{number}")
            requests.start_soon(
                cluster.submit_until_acknowledged, change, ACKNOWLEDGED_SECONDS
            )
            await anyio.sleep(CHANGE_PAUSE_SECONDS)
            number += 1


@pytest.mark.parametrize("seed", SEEDS)
def test_every_replica_takes_part_again_after_full_disks_in_turn(
    tmp_path: Path, seed: int
) -> None:
    """Guards against a full disk that excludes its replica permanently."""
    cluster = DiskCluster(folder=tmp_path, count=4, size=3, seed=seed)
    run(cluster, lambda cluster: fill_disks_in_turn(cluster, Random(seed)))


async def fill_disks_in_turn(cluster: DiskCluster, rng: Random) -> None:
    """Fill each disk in turn, the leader's first, while changes arrive."""
    done = anyio.Event()
    others = [node for node in cluster.nodes if not node.is_leader()]
    async with anyio.create_task_group() as group:
        group.start_soon(send_changes, cluster, done)
        for node in [leader_of(cluster), *rng.sample(others, len(others))]:
            node.disk.fill_at_random(rng)
            await anyio.sleep(rng.uniform(*FULL_SECONDS))
            node.disk.free()
        done.set()
    await cluster.wait_until(
        lambda: not cluster.problems(), "every replica taking part"
    )
    assert not cluster.unacknowledged_operations
    known_outcomes = leader_of(cluster).replica.applied.outcomes
    assert not [
        operation
        for operation in cluster.acknowledged_seconds
        if operation not in known_outcomes
    ]


@pytest.mark.parametrize(("count", "size", "seed"), [(3, 3, 3), (4, 3, 4), (6, 5, 3)])
def test_crashes_while_a_disk_is_full_lose_no_change(
    tmp_path: Path, count: int, size: int, seed: int
) -> None:
    """Guards against a partial save that a restarted process loads as complete."""
    cluster = DiskCluster(folder=tmp_path, count=count, size=size, seed=seed)
    run(cluster, lambda cluster: kill_replicas_while_full(cluster, Random(seed)))


async def kill_replicas_while_full(cluster: DiskCluster, rng: Random) -> None:
    """Fill the disks of random replicas, and kill replicas while a disk is full."""
    done = anyio.Event()
    async with anyio.create_task_group() as group:
        group.start_soon(send_changes, cluster, done)
        for _ in range(ROUNDS):
            await run_kill_round(cluster, rng)
        done.set()
    # Changes may have been refused while too few replicas ran.
    cluster.unacknowledged_operations.clear()
    await cluster.wait_until(
        lambda: not cluster.problems(), "every replica taking part"
    )
    for number in range(len(cluster.nodes)):
        await cluster.submit_until_acknowledged(
            change_without_base(f"after-{number}"), ACKNOWLEDGED_SECONDS
        )
    assert not cluster.unacknowledged_operations
    newest = max(cluster.nodes, key=lambda node: node.revision)
    known_outcomes = newest.replica.applied.outcomes
    assert not [
        operation
        for operation in cluster.acknowledged_seconds
        if operation not in known_outcomes
    ]


async def run_kill_round(cluster: DiskCluster, rng: Random) -> None:
    """Fill a disk, kill some replicas, restart them and free the disk."""
    numbers = range(len(cluster.nodes))
    full = rng.choice(numbers)
    disk = cluster.disks[full]
    disk.fill_at_random(rng)
    await anyio.sleep(rng.uniform(*FULL_SECONDS) / 2)
    victims = rng.choice([[full], [rng.choice(numbers)], list(numbers)])
    loses_power = rng.random() < 0.5
    for number in victims:
        cluster.disks[number].kill_within(rng.randint(0, MAX_SPARED_OPERATIONS))
    await anyio.sleep(rng.uniform(*DOWNTIME_SECONDS))
    for number in victims:
        await cluster.kill(number)
        if loses_power:
            cluster.disks[number].contents.lose_power(rng)
    is_freed_first = rng.random() < 0.5
    if is_freed_first:
        disk.free()
    for number in victims:
        await cluster.restart(number)
    await anyio.sleep(rng.uniform(*FULL_SECONDS))
    disk.free()


def test_a_change_at_a_leader_with_a_full_disk_is_answered_in_time(
    tmp_path: Path,
) -> None:
    """Guards against calls that wait at a replica which cannot commit."""
    cluster = DiskCluster(folder=tmp_path, count=3, size=3, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        leader = leader_of(cluster)
        await leader.changes.submit(change_without_base("before"))
        leader.disk.fill()
        with anyio.fail_after(TIMEOUT_SECONDS):
            outcome = await leader.changes.submit(change_without_base("during"))
        assert not outcome.code
        assert cluster.leader() is not leader

    run(cluster, scenario)


def test_a_voter_replaced_while_its_disk_is_full_forwards_calls_to_the_leader(
    tmp_path: Path,
) -> None:
    """Guards against calls refused by a replica that does not learn of the leader."""
    cluster = DiskCluster(folder=tmp_path, count=4, size=3, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        await cluster.wait_until(
            lambda: not cluster.problems(), "every replica taking part"
        )
        voter = next(
            n for n in cluster.nodes if n.replica.is_voter() and not n.is_leader()
        )
        voter.disk.fill()
        for number in range(CALLS_WHILE_FULL):
            with anyio.fail_after(TIMEOUT_SECONDS):
                change = change_without_base(f"change-{number}")
                outcome = await voter.changes.submit(change)
            assert not outcome.code
            await anyio.sleep(CALL_PAUSE_SECONDS)
        voters = leader_of(cluster).replica.members.voters()
        assert len(voters) == cluster.size
        assert voter.replica.identity not in voters
        voter.disk.free()
        await cluster.wait_until(
            lambda: not cluster.problems(), "every replica taking part"
        )

    run(cluster, scenario)


def test_a_file_that_cannot_be_removed_excludes_no_replica(tmp_path: Path) -> None:
    """Guards against a failed clean-up that is treated as a failed save."""
    cluster = DiskCluster(folder=tmp_path, count=1, size=1, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        node = leader_of(cluster)
        node.disk.fill({REMOVE}, spared=1)
        for number in range(20):
            change = change_without_base(f"change-{number}")
            await cluster.submit_until_acknowledged(change, TIMEOUT_SECONDS)
        node.disk.free()
        await cluster.submit_until_acknowledged(
            change_without_base("after"), ACKNOWLEDGED_SECONDS
        )
        assert not cluster.unacknowledged_operations

    run(cluster, scenario)


def test_a_replica_starts_on_a_blank_disk_that_is_full(tmp_path: Path) -> None:
    """Guards against a crash loop of a process while its disk is full."""
    cluster = DiskCluster(folder=tmp_path, count=4, size=3, seed=1)
    cluster.disks[3].folder.mkdir(parents=True)
    cluster.disks[3].fill()

    async def scenario(cluster: DiskCluster) -> None:
        await cluster.submit_until_acknowledged(
            change_without_base("first"), ACKNOWLEDGED_SECONDS
        )
        cluster.disks[3].free()
        await cluster.wait_until(
            lambda: not cluster.problems(), "every replica taking part"
        )
        assert not cluster.unacknowledged_operations

    run(cluster, scenario)


def test_a_disk_that_fails_while_it_is_full_ends_the_process(tmp_path: Path) -> None:
    """Guards against an endless wait after an error other than a full disk."""
    cluster = DiskCluster(folder=tmp_path, count=3, size=3, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        leader = leader_of(cluster)
        leader.disk.fill()
        await cluster.submit_until_acknowledged(
            change_without_base("first"), ACKNOWLEDGED_SECONDS
        )
        leader.disk.fill(error_number=IO_ERROR_NUMBER)
        await anyio.sleep(2 * TIMEOUT_SECONDS)

    with pytest.raises(BaseExceptionGroup) as caught:
        run(cluster, scenario)
    assert caught.group_contains(LogWriteError)


def test_a_save_counts_as_durable_although_other_effects_follow_it(
    tmp_path: Path,
) -> None:
    """Guards against a durable entry that the leader does not count as durable.

    Effects that are pending after a save may span batches, the last without a save.
    """
    cluster = DiskCluster(folder=tmp_path, count=1, size=1, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        driver = leader_of(cluster).driver

        async def add_messages() -> None:
            body = LeadershipTransfer(term=0)
            message = Send(address=driver.address, to=0, body=body)
            driver.enqueue([message] * 100)

        async with anyio.create_task_group() as group:
            with anyio.fail_after(TIMEOUT_SECONDS):
                group.start_soon(add_messages)
                outcome = await driver.submit(change_without_base("first"))
        assert not outcome.code

    run(cluster, scenario)


def test_a_replica_outside_the_voters_forwards_calls_to_the_leader(
    tmp_path: Path,
) -> None:
    """Guards against non-voting replicas that never learn of a leader."""
    cluster = DiskCluster(folder=tmp_path, count=5, size=3, seed=1)

    async def scenario(cluster: DiskCluster) -> None:
        await cluster.wait_until(
            lambda: not cluster.problems(), "every replica taking part"
        )
        for number, node in enumerate(cluster.nodes):
            with anyio.fail_after(TIMEOUT_SECONDS):
                change = change_without_base(f"change-{number}")
                outcome = await node.changes.submit(change)
            assert not outcome.code

    run(cluster, scenario)


def test_a_file_that_cannot_be_removed_is_logged_once(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Guards against a log line for each retry to remove a file."""
    disk = FullDisk(folder=tmp_path / "data")
    with patch_disks([disk]):
        store = LogStore(folder=disk.folder, identity=1, sync_file=disk.sync)
        disk.fill({REMOVE})
        for _ in range(10):
            store.save_full_state(Vote(), Snapshot(), ())
        store.close()
    events = [r.msg for r in caplog.records if isinstance(r.msg, dict)]
    logged_files = [e["file"] for e in events if e["event"] == "log_file_left"]
    assert logged_files
    assert len(logged_files) == len(set(logged_files))
