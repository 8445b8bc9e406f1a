"""Full disks: changes go on meanwhile, and every replica takes part again."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from chervilstage.coordination import replica_apply
from chervilstage.coordination.replica_effects import Send
from chervilstage.state.replica_messages import HandOver
from testing.support.disk_cell import DiskCell, DiskNode, change_without_base
from testing.support.full_disks import refusing

# An operator moves on to another replica after a second without an answer.
PATIENCE_SECONDS = 1.0

Scenario = Callable[[DiskCell], Awaitable[None]]


@pytest.fixture(autouse=True)
def short_log(monkeypatch: pytest.MonkeyPatch) -> None:
    """Take snapshots so often that disks are full during some."""
    monkeypatch.setattr(replica_apply, "SNAPSHOT_ENTRIES", 8)
    monkeypatch.setattr(replica_apply, "KEPT_ENTRIES", 4)


def run(cell: DiskCell, scenario: Scenario) -> None:
    """Start the replicas, play a scenario and end them."""

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await cell.start(group)
            await scenario(cell)
            group.cancel_scope.cancel()

    with refusing(cell.disks):
        anyio.run(main)


def leader_of(cell: DiskCell) -> DiskNode:
    """Return the leader."""
    leader = cell.leader()
    assert leader is not None
    return leader


def test_effects_behind_a_save_do_not_hide_it(tmp_path: Path) -> None:
    """Guards against a durable entry that its own leader does not count."""
    cell = DiskCell(folder=tmp_path, count=1, size=1, seed=1)

    async def scenario(cell: DiskCell) -> None:
        driver = leader_of(cell).driver

        async def add_messages() -> None:
            body = HandOver(term=0)
            unused = Send(address=driver.address, to=0, body=body)
            driver.take([unused] * 100)

        async with anyio.create_task_group() as group:
            with anyio.fail_after(PATIENCE_SECONDS):
                group.start_soon(add_messages)
                outcome = await driver.submit(change_without_base("first"))
        assert not outcome.code

    run(cell, scenario)


def test_a_replica_outside_the_voters_hands_calls_to_the_leader(
    tmp_path: Path,
) -> None:
    """Guards against replicas that know of no leader to the end of their days."""
    cell = DiskCell(folder=tmp_path, count=5, size=3, seed=1)

    async def scenario(cell: DiskCell) -> None:
        await cell.until(lambda: not cell.problems(), "replica in touch")
        for number, node in enumerate(cell.nodes):
            with anyio.fail_after(PATIENCE_SECONDS):
                change = change_without_base(f"change-{number}")
                outcome = await node.changes.submit(change)
            assert not outcome.code

    run(cell, scenario)
