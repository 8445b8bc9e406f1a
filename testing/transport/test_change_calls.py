"""Changes that arrive at the leader long after they were sent."""

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
from testing.support.disk_cluster import DiskCluster, DiskNode

ZONE = "gl-huron"
PARTITION_SECONDS = 1.1
CHANGE = Change(operation_id="i1", operator="maria", base_revision=None)
TAKEN_OUT = CHANGE._replace(taken_out=frozenset({ZONE}))

Scenario = Callable[[DiskNode, DiskNode], Awaitable[None]]


def run(folder: Path, scenario: Scenario) -> None:
    """Run a scenario with the leader and a follower of three replicas."""

    async def main() -> None:
        cluster = DiskCluster(folder=folder, count=3, size=3, seed=1)
        async with anyio.create_task_group() as group:
            await cluster.start(group)
            await cluster.submit_until_acknowledged(
                CHANGE._replace(operation_id="first"), 6.0
            )
            leader = cluster.leader()
            assert leader is not None
            await scenario(leader, next(n for n in cluster.nodes if n is not leader))
            group.cancel_scope.cancel()

    anyio.run(main)


def delay_forwarded_changes(node: DiskNode) -> None:
    """Delay the changes that a replica forwards, as a network partition does."""
    original_call = node.client.call

    async def call(address: Address, kind: Kind, body: bytes, timeout: float) -> bytes:
        """Forward a call, a change only after the partition."""
        if kind is Kind.CHANGE:
            await anyio.sleep(PARTITION_SECONDS)
        return await original_call(address, kind, body, timeout)

    node.client.call = call  # type: ignore[method-assign]


def data_centres_out(node: DiskNode) -> frozenset[str]:
    """Return the data centres that are out of service according to a replica."""
    return node.replica.applied.configuration.out


def test_a_change_delayed_by_a_partition_is_not_applied(
    tmp_path: Path,
) -> None:
    """Guards against a late frame that takes out a data centre after its return."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        delay_forwarded_changes(follower)
        with pytest.raises(LeaderUnknownError) as caught:
            await follower.changes.submit(TAKEN_OUT)
        assert caught.value.remote_code == CallLateError.code
        assert data_centres_out(leader) == frozenset()

    run(tmp_path, scenario)


def test_a_call_that_waited_before_it_was_forwarded_is_not_applied(
    tmp_path: Path,
) -> None:
    """Guards against an age of a call that restarts at each process."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        arrival = CallArrival(arrived_at=replica_clock() - PARTITION_SECONDS)
        for node in (leader, follower):
            with pytest.raises(CallLateError):
                await node.changes.submit(TAKEN_OUT, arrival)
        assert data_centres_out(leader) == frozenset()

    run(tmp_path, scenario)


def test_a_change_in_time_is_applied_through_any_replica(tmp_path: Path) -> None:
    """Guards against changes that are refused although their caller waits."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        arrival = CallArrival(arrived_at=replica_clock())
        outcome = await follower.changes.submit(TAKEN_OUT, arrival)
        assert outcome.code == ""
        assert data_centres_out(leader) == {ZONE}

    run(tmp_path, scenario)


def test_a_late_routing_table_is_accepted(tmp_path: Path) -> None:
    """Guards against late tables that are refused although versions order them."""
    routing = RoutingDocument(version=7, content=b"{}")

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        delay_forwarded_changes(follower)
        outcome = await follower.changes.submit(CHANGE._replace(routing=routing))
        assert outcome.code == ""

    run(tmp_path, scenario)


def test_a_change_from_a_replica_of_an_earlier_version_is_applied(
    tmp_path: Path,
) -> None:
    """Guards against changes that are refused during a rolling upgrade."""

    async def scenario(leader: DiskNode, follower: DiskNode) -> None:
        answer = await leader.changes.handle_relayed_change(
            "r", encode_change(TAKEN_OUT)
        )
        assert decode_answer(answer).code == ""
        assert data_centres_out(leader) == {ZONE}

    run(tmp_path, scenario)
