"""The asks and grants of capacity leases between entries."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

import anyio

from ..coordination.lease_holder import make_asks, receive_grant
from ..coordination.lease_owner import Grant, receive_ask, tick_owner
from ..protocol.capacity_messages import (
    decode_ask,
    decode_grants,
    encode_ask,
    encode_grants,
)
from ..protocol.kinds import Kind
from ..state.leases import AskItem, GrantItem, HeldLeases, OwnedLeases
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import UpstreamRecord
from .peer_link import PeerLink


class LeaseExchange:
    """Asks the owners of leases, and answers as one, this entry included.

    :param takes_work: tells whether an upstream may get new requests at all.
    :param granted: called with the service of each new grant.
    """

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        members: MemberTable,
        link: PeerLink,
        owned: OwnedLeases,
        held: HeldLeases,
        takes_work: Callable[[UpstreamRecord], bool],
        granted: Callable[[str], None],
    ) -> None:
        self.registry = registry
        self.members = members
        self.link = link
        self.owned = owned
        self.held = held
        self.takes_work = takes_work
        self.granted = granted
        link.register(Kind.CAPACITY_REQUEST, self.receive_ask)
        link.register(Kind.CAPACITY_GRANT, self.receive_grants)

    def send_asks(self) -> None:
        """Send the asks that are due."""
        asks = make_asks(
            self.held,
            self.members,
            self.registry.records.values(),
            self.takes_work,
            anyio.current_time(),
        )
        for ask in asks:
            if ask.owner == self.members.name:
                self.give(self.decide(ask.owner, ask.number, ask.items))
            else:
                body = encode_ask(ask.number, ask.items)
                self.link.send(ask.owner, Kind.CAPACITY_REQUEST, body)

    def decide(self, sender: str, number: int, items: Sequence[AskItem]) -> list[Grant]:
        """Decide on an ask as the owner."""
        return receive_ask(
            self.owned,
            self.registry,
            self.members,
            sender,
            number,
            items,
            anyio.current_time(),
        )

    def tick(self) -> None:
        """Give the grants that are due as the owner."""
        now = anyio.current_time()
        self.give(tick_owner(self.owned, self.registry, self.members, now))

    def receive_ask(self, sender: str, body: bytes) -> None:
        """Take the ask of a peer."""
        number, items = decode_ask(body)
        self.give(self.decide(sender, number, items))

    def receive_grants(self, sender: str, body: bytes) -> None:
        """Take the grants of a peer."""
        self.take_grants(sender, decode_grants(body))

    def take_grants(self, sender: str, items: Sequence[GrantItem]) -> None:
        """Take grants and tell of the services that have new ones."""
        now = anyio.current_time()
        for item in items:
            record = self.registry.find(item.key)
            if receive_grant(self.held, sender, item, now) and record is not None:
                self.granted(record.identity.service)

    def give(self, grants: Sequence[Grant]) -> None:
        """Send grants, one message to each entry."""
        by_entry: dict[str, list[GrantItem]] = defaultdict(list)
        for grant in grants:
            by_entry[grant.entry].append(grant.item)
        for entry, items in by_entry.items():
            if entry == self.members.name:
                self.take_grants(entry, items)
            elif entry in self.members.members:
                self.link.send(entry, Kind.CAPACITY_GRANT, encode_grants(items))
