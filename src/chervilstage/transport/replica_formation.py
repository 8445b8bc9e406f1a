"""How a replica with a blank disk joins a set of replicas."""

from __future__ import annotations

import time
from collections.abc import Sequence
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.replica_members import form, may_form, rejoin
from ..errors import ChervilstageError
from ..errors.configuration import MembersChangeError
from ..protocol.consensus_messages import decode_hello, encode_hello
from ..protocol.kinds import Kind
from ..state.replica_messages import Hello
from ..state.replica_set import ReplicaMember
from ..state.types import Address, Peer
from .application import Hooks
from .event_log import log_event
from .frame_channel import FrameClient, FrameServer
from .replica_driver import ReplicaDriver, replica_clock

HELLO_SECONDS = 1.0
REPEAT_SECONDS = 0.3


class ReplicaFormation:
    """Exchanges hellos with the other replicas until this one belongs to a set.

    :param own: the name, data centre and address of this replica.
    :param listed: the replicas of the settings.
    """

    def __init__(
        self,
        *,
        own: Peer,
        listed: Sequence[Peer],
        driver: ReplicaDriver,
        client: FrameClient,
        frames: FrameServer,
    ) -> None:
        self.own = own
        self.others = [peer for peer in listed if peer.name != own.name]
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
        )

    async def receive(self, sender: str, body: bytes) -> bytes:
        """Answer a hello, and let a replica that has lost its disk back in."""
        hello = decode_hello(body)
        replica = self.driver.replica
        self.driver.take(rejoin(replica, hello, replica_clock(), time.time()))
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
        names = [peer.name for peer in self.others]
        while not self.driver.replica.is_formed():
            answers = [h for p in self.others if (h := await self.try_hello(p))]
            if may_form(self.own_hello(), names, answers):
                members = [*answers, self.own_hello()]
                self.driver.take(form(self.driver.replica, members))
                log_event("replicas_formed", count=len(members))
                return
            await anyio.sleep(REPEAT_SECONDS * (1.0 + self.rng.random()))
        log_event("replica_joined")

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

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="replica_formation", start=self.start)
