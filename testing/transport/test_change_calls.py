"""Changes that reach the leader long after they were sent."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from pathlib import Path

import anyio
import pytest

from chervilstage.errors.configuration import CallLateError, LeaderUnknownError
from chervilstage.protocol.configuration_records import encode_change
from chervilstage.protocol.control_messages import decode_answer
from chervilstage.protocol.kinds import Kind
from chervilstage.state.configuration import Change, RoutingDocument
from chervilstage.state.types import Address
from chervilstage.transport.call_arrival import CallArrival
from chervilstage.transport.clock import replica_clock
from testing.support.disk_cell import DiskCell, DiskNode

ZONE = "gl-huron"
CUT_SECONDS = 1.1
CHANGE = Change(operation_id="i1", operator="maria", base_revision=None)
TAKEN_OUT = CHANGE._replace(taken_out=frozenset({ZONE}))

Scenario = Callable[[DiskNode, DiskNode], Awaitable[None]]


def run(folder: Path, scenario: Scenario) -> None:
    """Run a scenario with the leader and a follower of three replicas."""

    async def main() -> None:
        cell = DiskCell(folder=folder, count=3, size=3, seed=1)
        async with anyio.create_task_group() as group:
            await cell.start(group)
            await cell.order(CHANGE._replace(operation_id="first"), 6.0)
            leader = cell.leader()
            assert leader is not None
            await scenario(leader, next(n for n in cell.nodes if n is not leader))
            group.cancel_scope.cancel()

    anyio.run(main)


def hold_back(node: DiskNode) -> None:
    """Deliver what a replica sends to others late, as after a cut of its links."""
    deliver = node.client.call

    async def call(address: Address, kind: Kind, body: bytes, timeout: float) -> bytes:
        """Call another process after the cut."""
        if kind is Kind.CHANGE:
            await anyio.sleep(CUT_SECONDS)
        return await deliver(address, kind, body, timeout)

    node.client.call = call  # type: ignore[method-assign]


def out_at(node: DiskNode) -> frozenset[str]:
    """Return the data centres that are out by a replica."""
    return node.replica.applied.configuration.out


def test_a_change_that_reaches_the_leader_after_a_cut_is_not_carried_out(
    tmp_path: Path,
) -> None:
    """Guards against a data centre that a frame takes out after it was brought back."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        hold_back(follower)
        with pytest.raises(LeaderUnknownError) as caught:
            await follower.changes.submit(TAKEN_OUT)
        assert caught.value.remote_code == CallLateError.code
        assert out_at(leader) == frozenset()

    run(tmp_path, scenario)


def test_a_call_that_waited_before_it_was_handed_over_is_not_carried_out(
    tmp_path: Path,
) -> None:
    """Guards against counting the age of a call anew at each process."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        arrival = CallArrival(at=replica_clock() - CUT_SECONDS)
        for node in (leader, follower):
            with pytest.raises(CallLateError):
                await node.changes.submit(TAKEN_OUT, arrival)
        assert out_at(leader) == frozenset()

    run(tmp_path, scenario)


def test_a_change_in_time_is_carried_out_through_any_replica(tmp_path: Path) -> None:
    """Guards against orders that are refused although their caller waits."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        arrival = CallArrival(at=replica_clock())
        outcome = await follower.changes.submit(TAKEN_OUT, arrival)
        assert outcome.code == ""
        assert out_at(leader) == {ZONE}

    run(tmp_path, scenario)


def test_a_late_routing_table_is_accepted(tmp_path: Path) -> None:
    """Guards against tables that are refused although their versions order them."""
    routing = RoutingDocument(version=7, content=b"{}")

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        hold_back(follower)
        outcome = await follower.changes.submit(CHANGE._replace(routing=routing))
        assert outcome.code == ""

    run(tmp_path, scenario)


def test_a_change_of_a_replica_of_an_earlier_version_is_carried_out(
    tmp_path: Path,
) -> None:
    """Guards against orders that are refused while the system is upgraded."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        answer = await leader.changes.relayed_change("r", encode_change(TAKEN_OUT))
        assert decode_answer(answer).code == ""
        assert out_at(leader) == {ZONE}

    run(tmp_path, scenario)
