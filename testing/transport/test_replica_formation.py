"""Formation of a replica set by blank replicas."""

from __future__ import annotations

import tempfile
from collections.abc import Sequence
from pathlib import Path

import anyio
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.errors.access import PeerUnreachableError
from chervilstage.protocol.kinds import Kind
from chervilstage.state.counters import Counters
from chervilstage.state.types import Address, Peer
from chervilstage.transport.control_parts import build_control_parts
from chervilstage.transport.frame_channel import FrameClient
from chervilstage.transport.replica_formation import ReplicaFormation

KEY = b"k" * 32
SIZE = 5
SEEDS = ("a", "b", "c")
OTHERS = ("d", "e", "f")
# Long enough for several rounds of hellos.
SETTLE_SECONDS = 2.0


class DirectClient(FrameClient):
    """Passes hellos directly to the other replicas of this process.

    :param formations: the replicas by address.
    """

    def __init__(
        self, *, name: str, formations: dict[Address, ReplicaFormation]
    ) -> None:
        super().__init__(name=name, key=KEY, counters=Counters())
        self.formations = formations

    async def call(
        self, address: Address, kind: Kind, body: bytes, timeout: float
    ) -> bytes:
        """Return the answer of the replica at an address."""
        formation = self.formations.get(address)
        if formation is None:
            raise PeerUnreachableError(address=str(address), reason="cut off")
        return await formation.receive(self.name, body)


class ReplicaFormationTests(TestCase):
    """Guards against two sets of replicas that both accept changes."""

    def setUp(self) -> None:
        super().setUp()
        self.listed: list[Peer] = [peer_of(name) for name in SEEDS]
        self.formations: dict[Address, ReplicaFormation] = {}
        for name in (*SEEDS, *OTHERS):
            folder = tempfile.TemporaryDirectory()
            self.addCleanup(folder.cleanup)
            own = peer_of(name)
            self.formations[own.address] = self.make_formation(own, Path(folder.name))

    def make_formation(self, own: Peer, folder: Path) -> ReplicaFormation:
        """Return the formation of a replica with a blank disk."""
        parts = build_control_parts(
            own=own,
            listed=lambda: self.listed,
            data_folder=folder,
            may_form=True,
            size=SIZE,
            key=KEY,
            counters=Counters(),
        )
        self.addCleanup(parts.driver.store.close)
        parts.formation.client = DirectClient(name=own.name, formations=self.formations)
        return parts.formation

    def try_to_join(self, names: Sequence[str]) -> None:
        """Run the join loops of some replicas for a limited time."""

        async def join_all() -> None:
            with anyio.move_on_after(SETTLE_SECONDS):
                async with anyio.create_task_group() as group:
                    for name in names:
                        formation = self.formations[peer_of(name).address]
                        group.start_soon(formation.join)

        anyio.run(join_all)

    def members(self, name: str) -> set[str]:
        """Return the names of the members of a replica's set."""
        replica = self.formations[peer_of(name).address].driver.replica
        return {member.name for member in replica.members.members}

    def test_the_replicas_of_the_first_settings_form_the_set(self) -> None:
        self.try_to_join([*SEEDS, *OTHERS])
        self.assertThat(self.members("a"), Equals(set(SEEDS)))
        for name in OTHERS:
            self.assertThat(self.members(name), Equals(set()))

    def test_replicas_of_later_settings_form_no_second_set(self) -> None:
        """Guards against a second set of replicas that should join the first one."""
        self.try_to_join([*SEEDS, *OTHERS])
        self.listed = [peer_of(name) for name in OTHERS]
        self.try_to_join(OTHERS)
        for name in OTHERS:
            self.assertThat(self.members(name), Equals(set()))

    def test_replicas_of_later_settings_wait_for_unreachable_first_replicas(
        self,
    ) -> None:
        """Guards against a second set while the first replicas are unreachable."""
        for name in SEEDS:
            del self.formations[peer_of(name).address]
        self.listed = [peer_of(name) for name in OTHERS]
        self.try_to_join(OTHERS)
        for name in OTHERS:
            self.assertThat(self.members(name), Equals(set()))


def peer_of(name: str) -> Peer:
    """Return a replica by its name."""
    number = ord(name) - ord("a") + 1
    return Peer(
        name=name,
        data_centre="gl-erie",
        address=Address(host=f"10.0.0.{number}", port=7000),
    )
