"""Protocol by which a replica with a blank disk joins a set of replicas."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.replica_members import (
    can_form_set,
    form_replica_set,
    make_member,
    rejoin,
)
from ..coordination.replica_voters import add_learner
from ..errors import ChervilstageError
from ..errors.configuration import MembersChangeError
from ..protocol.consensus_messages import decode_hello, encode_hello
from ..protocol.kinds import Kind
from ..state.replica import Role
from ..state.replica_messages import Hello
from ..state.replica_set import ReplicaMember
from ..state.types import Address, Peer
from .application import Hooks
from .clock import replica_clock
from .event_log import log_event
from .frame_channel import FrameClient, FrameServer
from .replica_driver import ReplicaDriver

HELLO_TIMEOUT_SECONDS = 1.0
HELLO_INTERVAL_SECONDS = 0.3
# Longer than an election among replicas that can reach each other.
LEADERLESS_SECONDS = 3.0


class ReplicaFormation:
    """Exchanges hellos with the other replicas until this one is a member of a set.

    Only the replicas that the settings list at the start may form a new set. The
    replicas of later settings may all be blank although a set already exists.

    :param own: name, data centre and address of this replica.
    :param listed: returns the replicas that the settings list at present.
    :param may_form: whether blank replicas may form a new set.
    """

    def __init__(
        self,
        *,
        own: Peer,
        listed: Callable[[], Sequence[Peer]],
        may_form: bool = True,
        driver: ReplicaDriver,
        client: FrameClient,
        frames: FrameServer,
    ) -> None:
        self.own = own
        self.listed = listed
        self.initial_members = [p for p in listed() if p.name != own.name]
        self.may_form = may_form
        self.driver = driver
        self.client = client
        self.rng = Random()
        frames.register(Kind.REPLICA_HELLO, self.receive)

    def own_hello(self) -> Hello:
        """Return the hello of this replica."""
        replica = self.driver.replica
        return Hello(
            name=self.own.name,
            identity=replica.identity,
            data_centre=self.own.data_centre,
            address=self.own.address,
            formed=replica.is_formed(),
            members=replica.members.members,
            leader=replica.leader,
        )

    async def receive(self, sender: str, body: bytes) -> bytes:
        """Answer a hello; admit a replica that has lost its disk or its membership."""
        hello = decode_hello(body)
        replica, now = self.driver.replica, replica_clock()
        self.driver.enqueue(rejoin(replica, hello, now, time.time()))
        if self.driver.size is not None:
            size = self.driver.size
            self.driver.enqueue(add_learner(replica, hello, size, now, time.time()))
        return encode_hello(self.own_hello())

    async def exchange_hellos(self, address: Address) -> Hello:
        """Exchange hellos with a replica and return its hello.

        :raises PeerUnreachableError: the replica does not answer.
        """
        body = encode_hello(self.own_hello())
        answer = await self.client.call(
            address, Kind.REPLICA_HELLO, body, HELLO_TIMEOUT_SECONDS
        )
        return decode_hello(answer)

    async def new_member(self, name: str, address: Address) -> ReplicaMember:
        """Return the blank replica at an address as a learner.

        :raises MembersChangeError: the replica has another name or is not blank.
        """
        hello = await self.exchange_hellos(address)
        if hello.name != name:
            raise MembersChangeError(reason=f"{hello.name} answers in place of {name}")
        if hello.formed:
            raise MembersChangeError(reason=f"the disk of {name} is not blank")
        return make_member(hello)

    async def join(self) -> None:
        """Exchange hellos with other replicas until this one is a member of a set."""
        initial_names = {peer.name for peer in self.initial_members}
        while not self.driver.replica.is_formed():
            answers = await self.exchange_hellos_with(
                [*self.initial_members, *self.listed()]
            )
            if self.may_form and can_form_set(self.own_hello(), initial_names, answers):
                members = [h for h in answers if h.name in initial_names]
                members.append(self.own_hello())
                self.driver.enqueue(form_replica_set(self.driver.replica, members))
                log_event("replicas_formed", count=len(members))
                return
            await anyio.sleep(HELLO_INTERVAL_SECONDS * (1.0 + self.rng.random()))
        log_event("replica_joined")

    async def request_readmission(self) -> None:
        """Send hellos, which ask for readmission, after some time without a leader.

        The set may have replaced this replica while it was partitioned, and no message
        notifies it of that.
        """
        while True:
            await anyio.sleep(HELLO_INTERVAL_SECONDS * (1.0 + self.rng.random()))
            replica = self.driver.replica
            seconds_since_leader_contact = (
                replica_clock() - replica.last_leader_contact_at
            )
            if not replica.is_formed() or replica.role is Role.LEADER:
                continue
            if seconds_since_leader_contact > LEADERLESS_SECONDS:
                await self.exchange_hellos_with(self.listed())

    async def exchange_hellos_with(self, listed: Iterable[Peer]) -> list[Hello]:
        """Exchange hellos with listed replicas, then with the members that they report.

        Only the answers of the listed replicas are returned.
        """
        peers = {p.name: p for p in listed if p.name != self.own.name}
        answers = await self.try_hellos(peers.values())
        reported = {m.name: m for hello in answers for m in hello.members}
        further_peers = [
            Peer(name=m.name, data_centre=m.data_centre, address=m.address)
            for m in reported.values()
            if m.name not in peers and m.name != self.own.name
        ]
        await self.try_hellos(further_peers)
        return answers

    async def try_hellos(self, peers: Iterable[Peer]) -> list[Hello]:
        """Exchange hellos with replicas concurrently and return the answers."""
        answers: list[Hello] = []

        async def exchange(peer: Peer) -> None:
            """Store the answer of one replica, if there is one."""
            hello = await self.try_hello(peer)
            if hello is not None:
                answers.append(hello)

        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(exchange, peer)
        return answers

    async def try_hello(self, peer: Peer) -> Hello | None:
        """Return the hello of a replica, None if it does not answer."""
        try:
            return await self.exchange_hellos(peer.address)
        except ChervilstageError:
            return None

    async def start(self, group: TaskGroup) -> None:
        """Join a set if needed; request readmission where membership is automatic."""
        if not self.driver.replica.is_formed():
            group.start_soon(self.join)
        if self.driver.size is not None:
            group.start_soon(self.request_readmission)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="replica_formation", start=self.start)
