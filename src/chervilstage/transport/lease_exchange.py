"""Exchanges capacity requests and lease grants between entries."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

import anyio

from ..coordination.lease_holder import make_capacity_requests, receive_grant
from ..coordination.lease_owner import Grant, receive_capacity_request, tick_owner
from ..protocol.capacity_messages import (
    decode_capacity_request,
    decode_grants,
    encode_capacity_request,
    encode_grants,
)
from ..protocol.kinds import Kind
from ..state.leases import EntryLeases, LeaseGrantItem, LeaseRequestItem, OwnedLeases
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import UpstreamRecord
from .peer_link import PeerLink


class LeaseExchange:
    """Requests leases from their owners, and grants the leases that this entry owns.

    Requests and grants that an entry addresses to itself are handled without the link.

    :param is_accepting_requests: returns whether an upstream may receive new requests.
    :param on_grant: called with the service of each new grant.
    """

    def __init__(
        self,
        *,
        registry: UpstreamRegistry,
        members: MemberTable,
        link: PeerLink,
        owned: OwnedLeases,
        held: EntryLeases,
        is_accepting_requests: Callable[[UpstreamRecord], bool],
        on_grant: Callable[[str], None],
    ) -> None:
        self.registry = registry
        self.members = members
        self.link = link
        self.owned = owned
        self.held = held
        self.is_accepting_requests = is_accepting_requests
        self.on_grant = on_grant
        link.register(Kind.CAPACITY_REQUEST, self.handle_capacity_request)
        link.register(Kind.CAPACITY_GRANT, self.handle_grants)

    def send_capacity_requests(self) -> None:
        """Send the capacity requests that are due."""
        capacity_requests = make_capacity_requests(
            self.held,
            self.members,
            self.registry.records.values(),
            self.is_accepting_requests,
            anyio.current_time(),
        )
        for capacity_request in capacity_requests:
            if capacity_request.owner == self.members.name:
                self.send_grants(
                    self.decide_grants(
                        capacity_request.owner,
                        capacity_request.number,
                        capacity_request.items,
                    )
                )
            else:
                body = encode_capacity_request(
                    capacity_request.number, capacity_request.items
                )
                self.link.send(capacity_request.owner, Kind.CAPACITY_REQUEST, body)

    def decide_grants(
        self, sender: str, number: int, items: Sequence[LeaseRequestItem]
    ) -> list[Grant]:
        """Return the grants that answer a capacity request, as the owner."""
        return receive_capacity_request(
            self.owned,
            self.registry,
            self.members,
            sender,
            number,
            items,
            anyio.current_time(),
        )

    def tick(self) -> None:
        """Send the grants that are due, as the owner."""
        now = anyio.current_time()
        self.send_grants(tick_owner(self.owned, self.registry, self.members, now))

    def handle_capacity_request(self, sender: str, body: bytes) -> None:
        """Handle the capacity request of a peer."""
        number, items = decode_capacity_request(body)
        self.send_grants(self.decide_grants(sender, number, items))

    def handle_grants(self, sender: str, body: bytes) -> None:
        """Handle the grants of a peer."""
        self.apply_grants(sender, decode_grants(body))

    def apply_grants(self, sender: str, items: Sequence[LeaseGrantItem]) -> None:
        """Apply grants and call ``on_grant`` for the service of each new one."""
        now = anyio.current_time()
        for item in items:
            record = self.registry.find_by_key(item.key)
            if receive_grant(self.held, sender, item, now) and record is not None:
                self.on_grant(record.identity.service)

    def send_grants(self, grants: Sequence[Grant]) -> None:
        """Send grants, in one message to each entry."""
        by_entry: dict[str, list[LeaseGrantItem]] = defaultdict(list)
        for grant in grants:
            by_entry[grant.entry].append(grant.item)
        for entry, items in by_entry.items():
            if entry == self.members.name:
                self.apply_grants(entry, items)
            elif entry in self.members.members:
                self.link.send(entry, Kind.CAPACITY_GRANT, encode_grants(items))
