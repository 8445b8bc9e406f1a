"""Replicas with real files and sockets on one loop, and operators that retry."""

from __future__ import annotations

import io
import itertools
import os
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random
from typing import NamedTuple

import anyio
from anyio import CancelScope
from anyio.abc import TaskGroup, TaskStatus

from chervilstage.coordination.replica_terms import has_leader_lease, has_quorum_contact
from chervilstage.errors import ChervilstageError
from chervilstage.state.configuration import Change, DataCentre, Inventory
from chervilstage.state.counters import Counters
from chervilstage.state.replica import Replica
from chervilstage.state.types import Address, Peer
from chervilstage.transport.change_calls import ChangeCalls
from chervilstage.transport.clock import replica_clock
from chervilstage.transport.frame_channel import FrameClient, FrameServer
from chervilstage.transport.log_store import LogStore
from chervilstage.transport.replica_driver import ReplicaDriver
from chervilstage.transport.replica_formation import ReplicaFormation
from chervilstage.transport.replica_links import ReplicaLinks

from .full_disks import FullDisk, ProcessDeathError

KEY = b"k" * 32
PORT = 7720
cluster_numbers = itertools.count()
# An operator tries another replica after a second without an answer.
CALL_SECONDS = 1.0
FIRST_RETRY_DELAY_SECONDS = 0.05
POLL_SECONDS = 0.02
MAX_RETRY_DELAY_SECONDS = 0.5


class ClosableFrameServer(FrameServer):
    """A server that can be closed, so that a later one in this process can bind."""

    async def start(self, group: TaskGroup) -> None:
        """Bind the address and accept connections."""
        self.listener = await anyio.create_tcp_listener(
            local_host=self.address.host, local_port=self.address.port
        )
        group.start_soon(self.listener.serve, self.serve_connection)


class DiskNode(NamedTuple):
    """A simulated replica process."""

    disk: FullDisk
    client: FrameClient
    frames: ClosableFrameServer
    driver: ReplicaDriver
    formation: ReplicaFormation
    changes: ChangeCalls

    @property
    def replica(self) -> Replica:
        """Return the replica."""
        return self.driver.replica

    @property
    def revision(self) -> int:
        """Return the revision that this replica has applied."""
        return self.replica.applied.configuration.revision

    async def close_abruptly(self) -> None:
        """Close files and sockets as a killed process would: buffered data is lost."""
        file = self.driver.store.file
        if isinstance(file, io.BufferedIOBase) and not isinstance(file, io.BytesIO):
            file.raw.close()
        os.close(self.driver.store.lock)
        with CancelScope(shield=True):
            await self.frames.listener.aclose()
            await self.client.stop()

    def is_leader(self) -> bool:
        """Return whether this replica answers as the leader."""
        return has_leader_lease(self.replica, replica_clock())


@contextmanager
def suppress_process_death() -> Iterator[None]:
    """Suppress the simulated death of a process and raise all other errors."""
    try:
        yield
    except BaseExceptionGroup as error:
        _, others = error.split(ProcessDeathError)
        if others is not None:
            raise others from None


def free_addresses(count: int) -> list[Address]:
    """Return loopback addresses that no other process or connection uses."""
    cluster_number = next(cluster_numbers)
    hosts = [
        f"127.{os.getpid() % 250 + 1}.{cluster_number}.{n + 1}" for n in range(count)
    ]
    return [Address(host=host, port=PORT) for host in hosts]


class DiskCluster:
    """A cluster of replicas with a fixed number of voters.

    It records the seconds that each acknowledged change took.

    :param size: the number of voters.
    """

    def __init__(self, *, folder: Path, count: int, size: int, seed: int) -> None:
        self.size = size
        self.rng = Random(seed)
        self.disks = [FullDisk(folder=folder / f"r{n}" / "data") for n in range(count)]
        self.peers = [
            Peer(name=f"r{number}", data_centre="", address=address)
            for number, address in enumerate(free_addresses(count))
        ]
        self.nodes: list[DiskNode] = []
        self.group: TaskGroup | None = None
        self.scopes: dict[int, CancelScope] = {}
        self.acknowledged_seconds: dict[str, float] = {}
        self.unacknowledged_operations: list[str] = []

    async def start(self, group: TaskGroup) -> None:
        """Start all replicas and wait for a leader."""
        self.group = group
        self.nodes = [self.make_node(n) for n in range(len(self.peers))]
        for number in range(len(self.peers)):
            await group.start(self.run_replica, number)
        await self.wait_until(lambda: self.leader() is not None, "a leader")

    async def run_replica(
        self,
        number: int,
        *,
        task_status: TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Run a replica until it is killed or a disk operation ends its process."""
        node = self.nodes[number]
        with suppress_process_death():
            async with anyio.create_task_group() as group:
                self.scopes[number] = group.cancel_scope
                await node.frames.start(group)
                await node.driver.start(group)
                await node.formation.start(group)
                task_status.started()
        await node.close_abruptly()
        del self.scopes[number]

    async def kill(self, number: int) -> None:
        """Kill a replica unless it has died already."""
        scope = self.scopes.get(number)
        if scope is not None:
            scope.cancel()
        await self.wait_until(lambda: number not in self.scopes, "end of a process")

    async def restart(self, number: int) -> None:
        """Start a killed replica again from its disk."""
        assert self.group is not None
        self.disks[number].operations_left = None
        self.nodes[number] = self.make_node(number, may_form=False)
        await self.group.start(self.run_replica, number)

    def running(self) -> list[DiskNode]:
        """Return the running replicas."""
        return [self.nodes[number] for number in sorted(self.scopes)]

    def make_node(self, number: int, may_form: bool = True) -> DiskNode:
        """Return a replica on its disk."""
        own, disk = self.peers[number], self.disks[number]
        counters = Counters()
        client = FrameClient(name=own.name, key=KEY, counters=counters)
        frames = ClosableFrameServer(
            name=own.name, address=own.address, key=KEY, counters=counters
        )
        store = LogStore(
            folder=disk.folder,
            identity=self.rng.getrandbits(62) | 1,
            sync_file=disk.sync,
        )
        driver = ReplicaDriver(
            address=own.address,
            store=store,
            links=ReplicaLinks(frames=client),
            frames=frames,
            size=self.size,
        )
        formation = ReplicaFormation(
            own=own,
            listed=lambda: self.peers[: self.size],
            may_form=may_form,
            driver=driver,
            client=client,
            frames=frames,
        )
        changes = ChangeCalls(driver=driver, client=client, frames=frames)
        return DiskNode(
            disk=disk,
            client=client,
            frames=frames,
            driver=driver,
            formation=formation,
            changes=changes,
        )

    def leader(self) -> DiskNode | None:
        """Return the leader."""
        return next((node for node in self.running() if node.is_leader()), None)

    async def wait_until(
        self,
        condition: Callable[[], bool],
        description: str,
        timeout_seconds: float = 6.0,
    ) -> None:
        """Wait until a condition holds.

        :raises AssertionError: the condition does not hold in time.
        """
        end = anyio.current_time() + timeout_seconds
        while not condition():
            assert anyio.current_time() < end, (
                f"no {description} within {timeout_seconds} s"
            )
            await anyio.sleep(POLL_SECONDS)

    async def submit_until_acknowledged(self, change: Change, seconds: float) -> None:
        """Submit a change to random replicas until one acknowledges it."""
        started = anyio.current_time()
        delay = FIRST_RETRY_DELAY_SECONDS
        with anyio.move_on_after(seconds):
            while not await self.has_acknowledged(change):
                await anyio.sleep(delay)
                delay = min(2 * delay, MAX_RETRY_DELAY_SECONDS)
            self.acknowledged_seconds[change.operation_id] = (
                anyio.current_time() - started
            )
            return
        self.unacknowledged_operations.append(change.operation_id)

    async def has_acknowledged(self, change: Change) -> bool:
        """Submit a change to a random replica and return whether it acknowledged it."""
        number = self.rng.randrange(len(self.nodes))
        if number not in self.scopes:
            return False
        node = self.nodes[number]
        with anyio.move_on_after(CALL_SECONDS):
            try:
                outcome = await node.changes.submit(change)
            except ChervilstageError as error:
                assert error.retryable, error
                return False
            assert not outcome.code, outcome
            return number in self.scopes
        return False

    def problems(self) -> list[str]:
        """Return the reasons why replicas do not take part, with their names."""
        newest = max(node.revision for node in self.nodes)
        problems = []
        for node in self.nodes:
            replica, name = node.replica, node.formation.own.name
            if node.revision < newest:
                problems.append(f"{name} is at revision {node.revision} of {newest}")
            if not has_quorum_contact(replica, replica_clock()):
                problems.append(f"{name} has no contact with a leader")
            if node.driver.pending:
                problems.append(
                    f"{name} has {len(node.driver.pending)} pending effects"
                )
        return problems


def change_without_base(operation: str) -> Change:
    """Return a change that is valid at any revision."""
    inventory = Inventory(data_centres=(DataCentre(name=operation),))
    return Change(
        operation_id=operation,
        operator="maria",
        base_revision=None,
        inventory=inventory,
    )
