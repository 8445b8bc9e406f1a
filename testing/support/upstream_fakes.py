"""Fake clock, network and entries that run the decisions on upstreams."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from random import Random

from chervilstage.coordination.lease_holder import (
    SendCapacityRequest,
    make_capacity_requests,
    receive_grant,
)
from chervilstage.coordination.lease_owner import (
    Grant,
    receive_capacity_request,
    tick_owner,
)
from chervilstage.coordination.membership import (
    MemberEventKind,
    expire_members,
    make_heartbeat,
    receive_heartbeat,
)
from chervilstage.coordination.registration import (
    REFRESH_SECONDS,
    Effect,
    SendDigest,
    SendRecords,
    SendSilentRecords,
    answer_fetch,
    expire_records,
    make_full_digest,
    make_refresh,
    receive_announcement,
    receive_digest,
    receive_records,
    receive_silent_records,
)
from chervilstage.state.dissemination import DisseminationState
from chervilstage.state.leases import EntryLeases, OwnedLeases
from chervilstage.state.members import MemberReport, MemberTable
from chervilstage.state.registry import UpstreamRegistry, is_leaving
from chervilstage.state.types import (
    Address,
    Peer,
    UpstreamId,
    UpstreamPhase,
    UpstreamRecord,
)

STEP_SECONDS = 0.05
HEARTBEAT_SECONDS = 0.25
LEASE_SECONDS = 1.0
SERVICE = "alley-desk"


def make_announcement(
    number: int,
    *,
    incarnation: int = 1,
    sequence: int = 1,
    leaving: bool = False,
    left: bool = False,
    service: str = SERVICE,
    data_centre: str = "gl-erie",
    slots: int = 4,
) -> UpstreamRecord:
    """Return the announcement of upstream ``number``."""
    host = f"127.1.0.{number + 1}"
    phase = UpstreamPhase.LEAVING if leaving else UpstreamPhase.READY
    return UpstreamRecord(
        identity=UpstreamId(
            address=Address(host=host, port=9000),
            incarnation=incarnation,
            service=service,
        ),
        request_address=Address(host=host, port=9001),
        data_centre=data_centre,
        sequence=sequence,
        phase=UpstreamPhase.LEFT if left else phase,
        slots=slots,
        load=0,
    )


class FakeNetwork:
    """Delivers messages late, out of order, twice or not at all.

    A set of names can be cut off from all other ones.
    """

    def __init__(self, *, rng: Random) -> None:
        self.rng = rng
        self.now = 100.0
        self.loss = 0.0
        self.duplication = 0.0
        self.max_delay_seconds = 0.02
        self.isolated_names: frozenset[str] = frozenset()
        self.queue: list[tuple[float, int, str, Callable[[], None]]] = []
        self.sent = 0

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Queue a message for delivery, unless it is lost."""
        for _ in range(2 if self.rng.random() < self.duplication else 1):
            self.sent += 1
            cut = (source in self.isolated_names) != (target in self.isolated_names)
            if not cut and self.rng.random() >= self.loss:
                at = self.now + self.rng.uniform(0.001, self.max_delay_seconds)
                heapq.heappush(self.queue, (at, self.sent, target, deliver))

    def pop_due(self) -> list[tuple[str, Callable[[], None]]]:
        """Remove and return the messages that have arrived by now."""
        arrived = []
        while self.queue and self.queue[0][0] <= self.now:
            _, _, target, deliver = heapq.heappop(self.queue)
            arrived.append((target, deliver))
        return arrived


class FakeEntry:
    """The state of one entry, whose clock runs at its own rate."""

    def __init__(
        self, *, name: str, peers: Sequence[Peer], data_centre: str, rate: float
    ) -> None:
        self.name = name
        self.clock_rate = rate
        self.frozen = False
        self.inbox: list[Callable[[], None]] = []
        self.registry = UpstreamRegistry()
        self.owned = OwnedLeases()
        self.held = EntryLeases(last_request_number=0)
        self.dissemination = DisseminationState()
        self.table = MemberTable(
            name=name,
            data_centre=data_centre,
            peers=[p for p in peers if p.name != name],
            lease_seconds=LEASE_SECONDS,
        )


class FakeGroup:
    """A group of entries on one network, by default four.

    :param layout: the data centre of each entry.
    :param leases: whether the entries request capacity leases.
    """

    def __init__(
        self,
        *,
        seed: int,
        layout: Sequence[str] = ("gl-erie",) * 4,
        leases: bool = True,
    ) -> None:
        self.leases = leases
        self.rng = Random(seed)
        self.network = FakeNetwork(rng=self.rng)
        self.peers = [
            Peer(
                name=f"e{n}", data_centre=dc, address=Address(host="127.0.0.1", port=n)
            )
            for n, dc in enumerate(layout)
        ]
        self.entries: dict[str, FakeEntry] = {}
        self.runs = 0
        self.ticks = 0
        for peer in self.peers:
            self.start(peer.name)

    def start(self, name: str) -> None:
        """Start or restart an entry with empty state."""
        self.runs += 1
        peer = next(p for p in self.peers if p.name == name)
        entry = FakeEntry(
            name=name,
            peers=self.peers,
            data_centre=peer.data_centre,
            rate=self.rng.uniform(0.995, 1.005),
        )
        entry.table.report = MemberReport(incarnation=self.runs)
        entry.held.last_request_number = self.runs * 1_000_000
        self.entries[name] = entry

    def clock(self, entry: FakeEntry) -> float:
        """Return the time of the clock of an entry."""
        return self.network.now * entry.clock_rate

    def run(self, seconds: float) -> None:
        """Advance the clock in steps."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.network.now += STEP_SECONDS
            self.ticks += 1
            for name, deliver in self.network.pop_due():
                entry = self.entries.get(name)
                if entry is not None and entry.frozen:
                    entry.inbox.append(deliver)
                elif entry is not None:
                    deliver()
            for entry in list(self.entries.values()):
                if not entry.frozen:
                    self.step(entry)

    def step(self, entry: FakeEntry) -> None:
        """Run the timers of one entry."""
        deliveries, entry.inbox = entry.inbox, []
        for deliver in deliveries:
            deliver()
        now = self.clock(entry)
        if self.ticks % round(HEARTBEAT_SECONDS / STEP_SECONDS) == 0:
            expire_members(entry.table, now)
            self.heartbeat(entry)
        if self.leases:
            grants = tick_owner(entry.owned, entry.registry, entry.table, now)
            self.send_grants(entry, grants)
            self.send_capacity_requests(entry)
        if self.ticks % round(REFRESH_SECONDS / STEP_SECONDS) == 0:
            effects = make_refresh(
                entry.registry, entry.dissemination, entry.table, now, self.rng
            )
            self.send_effects(entry, effects)
            expire_records(entry.registry, entry.table, now)

    def send_capacity_requests(self, entry: FakeEntry) -> None:
        """Send the capacity requests that are due."""
        records = list(entry.registry.records.values())
        for ask in make_capacity_requests(
            entry.held,
            entry.table,
            records,
            lambda record: not is_leaving(record),
            self.clock(entry),
        ):

            def deliver(ask: SendCapacityRequest = ask) -> None:
                owner = self.entries[ask.owner]
                grants = receive_capacity_request(
                    owner.owned,
                    owner.registry,
                    owner.table,
                    entry.name,
                    ask.number,
                    ask.items,
                    self.clock(owner),
                )
                self.send_grants(owner, grants)

            self.send(entry.name, ask.owner, deliver)

    def send_grants(self, entry: FakeEntry, grants: Sequence[Grant]) -> None:
        """Send the grants of an owner."""
        for grant in grants:

            def deliver(grant: Grant = grant) -> None:
                target = self.entries[grant.entry]
                now = self.clock(target)
                receive_grant(target.held, entry.name, grant.item, now)

            self.send(entry.name, grant.entry, deliver)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Send a message; deliver it at once if source and target are one entry."""
        if source == target:
            deliver()
        else:
            self.network.send(source, target, deliver)

    def heartbeat(self, entry: FakeEntry) -> None:
        """Send the heartbeats of one entry."""
        for name in entry.table.members:
            heartbeat = make_heartbeat(entry.table, name, self.clock(entry))

            def deliver(target: str = name, heartbeat: object = heartbeat) -> None:
                peer = self.entries.get(target)
                if peer is None:
                    return
                events = receive_heartbeat(
                    peer.table,
                    entry.name,
                    heartbeat,  # type: ignore[arg-type]
                    self.clock(peer),
                )
                for event in events:
                    if event.kind is not MemberEventKind.REPORTED:
                        self.send_effects(
                            peer, make_full_digest(peer.registry, event.name)
                        )

            self.network.send(entry.name, name, deliver)

    def send_effects(self, entry: FakeEntry, effects: Sequence[Effect]) -> None:
        """Send the messages of a decision on records."""
        for effect in effects:

            def deliver(effect: Effect = effect) -> None:
                target = self.entries.get(effect.peer)
                if target is None:
                    return
                self.send_effects(target, self.receive(target, entry.name, effect))

            self.network.send(entry.name, effect.peer, deliver)

    def receive(self, entry: FakeEntry, sender: str, effect: Effect) -> list[Effect]:
        """Deliver a message on records and return the resulting effects."""
        now, registry = self.clock(entry), entry.registry
        if isinstance(effect, SendRecords):
            return receive_records(
                registry, entry.dissemination, sender, effect.records, now
            )
        if isinstance(effect, SendDigest):
            return receive_digest(
                registry, entry.dissemination, sender, effect.items, now
            )
        if isinstance(effect, SendSilentRecords):
            receive_silent_records(registry, effect.records, now)
            return []
        return answer_fetch(registry, sender, effect.keys, now)

    def announce(self, name: str, record: UpstreamRecord) -> None:
        """Deliver the announcement of an upstream to an entry."""
        entry = self.entries[name]
        if entry.frozen:
            return
        effects = receive_announcement(
            entry.registry, entry.dissemination, entry.table, record, self.clock(entry)
        )
        self.send_effects(entry, effects)
