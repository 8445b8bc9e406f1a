"""How a replica with a blank disk joins a set of replicas."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.replica_members import admit, form, may_form, rejoin
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

HELLO_SECONDS = 1.0
REPEAT_SECONDS = 0.3
# Longer than an election among replicas that hear each other.
LEADERLESS_SECONDS = 3.0


class ReplicaFormation:
    """Exchanges hellos with the other replicas until this one belongs to a set.

    Only the replicas that the settings list at the start form a set. Later settings
    may list replicas that are all blank because a set without them exists.

    :param own: the name, data centre and address of this replica.
    :param listed: returns the replicas of the settings, which may change.
    :param may_form: whether blank replicas may form a set.
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
        self.founders = [p for p in listed() if p.name != own.name]
        self.may_form = may_form
        self.driver = driver
        self.client = client
        self.rng = Random()
        frames.serve(Kind.REPLICA_HELLO, self.receive)

    def own_hello(self) -> Hello:
        """Return what this replica says of itself."""
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
        """Answer a hello, and let a replica in that has lost its disk or its place."""
        hello = decode_hello(body)
        replica, now = self.driver.replica, replica_clock()
        self.driver.take(rejoin(replica, hello, now, time.time()))
        if self.driver.size is not None:
            size = self.driver.size
            self.driver.take(admit(replica, hello, size, now, time.time()))
        return encode_hello(self.own_hello())

    async def exchange_hellos(self, address: Address) -> Hello:
        """Exchange hellos with another replica.

        :raises PeerUnreachableError: it does not answer.
        """
        body = encode_hello(self.own_hello())
        answer = await self.client.call(
            address, Kind.REPLICA_HELLO, body, HELLO_SECONDS
        )
        return decode_hello(answer)

    async def new_member(self, name: str, address: Address) -> ReplicaMember:
        """Return the blank replica at an address as a learner.

        :raises MembersChangeError: another replica answers, or one with a log.
        """
        hello = await self.exchange_hellos(address)
        if hello.name != name:
            raise MembersChangeError(reason=f"{hello.name} answers in place of {name}")
        if hello.formed:
            raise MembersChangeError(reason=f"the disk of {name} is not blank")
        return ReplicaMember(
            name=name,
            identity=hello.identity,
            data_centre=hello.data_centre,
            address=hello.address,
            voter=False,
        )

    async def join(self) -> None:
        """Exchange hellos with the other replicas until this one belongs to a set."""
        founders = {peer.name for peer in self.founders}
        while not self.driver.replica.is_formed():
            answers = await self.exchange_with([*self.founders, *self.listed()])
            if self.may_form and may_form(self.own_hello(), founders, answers):
                members = [h for h in answers if h.name in founders]
                members.append(self.own_hello())
                self.driver.take(form(self.driver.replica, members))
                log_event("replicas_formed", count=len(members))
                return
            await anyio.sleep(REPEAT_SECONDS * (1.0 + self.rng.random()))
        log_event("replica_joined")

    async def keep_place(self) -> None:
        """Ask to be let in again whenever no leader has been heard for some time.

        The set may have replaced this replica while it was cut off; nobody tells it.
        """
        while True:
            await anyio.sleep(REPEAT_SECONDS * (1.0 + self.rng.random()))
            replica = self.driver.replica
            silence = replica_clock() - replica.heard_at
            if not replica.is_formed() or replica.role is Role.LEADER:
                continue
            if silence > LEADERLESS_SECONDS:
                await self.exchange_with(self.listed())

    async def exchange_with(self, listed: Iterable[Peer]) -> list[Hello]:
        """Exchange hellos with listed replicas and those that they name."""
        peers = {p.name: p for p in listed if p.name != self.own.name}
        answers = await self.try_hellos(peers.values())
        named = {m.name: m for hello in answers for m in hello.members}
        later = [
            Peer(name=m.name, data_centre=m.data_centre, address=m.address)
            for m in named.values()
            if m.name not in peers and m.name != self.own.name
        ]
        await self.try_hellos(later)
        return answers

    async def try_hellos(self, peers: Iterable[Peer]) -> list[Hello]:
        """Exchange hellos with replicas at once and return the answers."""
        answers: list[Hello] = []

        async def exchange(peer: Peer) -> None:
            """Keep the answer of one replica, if it gives any."""
            hello = await self.try_hello(peer)
            if hello is not None:
                answers.append(hello)

        async with anyio.create_task_group() as group:
            for peer in peers:
                group.start_soon(exchange, peer)
        return answers

    async def try_hello(self, peer: Peer) -> Hello | None:
        """Exchange hellos with a replica, if it answers."""
        try:
            return await self.exchange_hellos(peer.address)
        except ChervilstageError:
            return None

    async def start(self, group: TaskGroup) -> None:
        """Begin to join if this replica belongs to no set."""
        if not self.driver.replica.is_formed():
            group.start_soon(self.join)
        if self.driver.size is not None:
            group.start_soon(self.keep_place)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="replica_formation", start=self.start)
