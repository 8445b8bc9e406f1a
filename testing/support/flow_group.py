"""A group of entries whose flow decisions run on a fake clock and network."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random

from chervilstage.coordination.flow_effects import FlowEffect, HoldPacket, SendToPeer
from chervilstage.coordination.flow_events import (
    TICK_SECONDS,
    handle_flow_message,
    handle_member_event,
    run_flow_timers,
)
from chervilstage.coordination.flows import end_flows_out_of_service, route_packet
from chervilstage.coordination.hand_over import is_hand_over_complete
from chervilstage.coordination.membership import (
    MemberEventKind,
    expire_members,
    make_heartbeat,
    receive_heartbeat,
)
from chervilstage.coordination.registration import (
    Effect,
    FetchRecords,
    SendDigest,
    SendRecords,
    SendSilentRecords,
    answer_fetch,
    expire_records,
    make_full_digest,
    make_refresh,
    receive_digest,
    receive_records,
    receive_silent_records,
)
from chervilstage.state.configuration import Configuration, Inventory, Service
from chervilstage.state.counters import Counters
from chervilstage.state.dissemination import DisseminationState
from chervilstage.state.flow_state import FlowState
from chervilstage.state.flow_table import Pin
from chervilstage.state.in_force import ConfigurationInForce
from chervilstage.state.members import Heartbeat, MemberReport, MemberTable
from chervilstage.state.registry import UpstreamRegistry
from chervilstage.state.types import (
    Address,
    Peer,
    UpstreamId,
    UpstreamPhase,
    UpstreamRecord,
)
from chervilstage.state.view import ViewId, flow_key, service_seed

from .fakes import FakeClock, FakeNetwork

HEARTBEAT_TICKS = 12
ANNOUNCE_TICKS = 50
REFRESH_TICKS = 25
LEASE_SECONDS = 1.0
# An entry regards an upstream as silent after 5 s and may hold a packet for 1.2 s.
SILENT_PLACEMENT_SECONDS = 8.0
SERVICES = ("alley-desk", "league-ledger")


class EntryNode:
    """One entry of the group."""

    def __init__(self, *, state: FlowState) -> None:
        self.state = state
        self.dissemination = DisseminationState()
        self.frozen = False
        self.stopping = False
        self.deferred_messages: list[tuple[str, object]] = []
        self.held_packet_counts: defaultdict[tuple[str, int], int] = defaultdict(int)


class FlowGroup:
    """Entries, their network, and the packets of callers and upstreams.

    A flow belongs to the upstream that received its first packet. It is broken if a
    later packet goes to another upstream while that one still serves it. Broken flows
    that no entry had pinned any more are also in ``unpinned_broken_flows``. Pins of
    ``unreplicated_entries``, which were frozen, do not count, since their peers may not
    have them.

    :param on_send: called with each message between entries.
    """

    def __init__(
        self,
        *,
        names: Iterable[str],
        rng: Random,
        loss: float = 0.0,
        delay: float = 0.01,
        idle_seconds: float = 300.0,
        max_flows: int = 400_000,
        services: Iterable[str] = SERVICES,
        on_send: Callable[[str, object], None] | None = None,
    ) -> None:
        self.clock = FakeClock()
        self.rng = rng
        self.network = FakeNetwork(clock=self.clock, rng=rng, loss=loss, delay=delay)
        # Record messages have their own random numbers, so that they do not change the
        # delivery of flow messages.
        self.record_rng = Random(loss)
        self.record_network = FakeNetwork(
            clock=self.clock, rng=self.record_rng, loss=loss, delay=delay
        )
        self.record_network.cut_links = self.network.cut_links
        self.record_network.muted_senders = self.network.muted_senders
        self.names = sorted(names)
        self.services = [
            Service(
                name=name,
                data_centres=(),
                udp_port=0,
                tcp_port=0,
                flow_idle_seconds=idle_seconds,
                max_flows=max_flows,
            )
            for name in services
        ]
        self.seeds = {s.name: service_seed(s.name) for s in self.services}
        self.on_send = on_send
        self.configuration = Configuration(
            revision=1, inventory=Inventory(services=tuple(self.services))
        )
        self.nodes: dict[str, EntryNode] = {}
        self.records: dict[Address, UpstreamRecord] = {}
        self.first_upstreams: dict[tuple[str, int], UpstreamId] = {}
        self.last_packet_times: dict[tuple[str, int], float] = {}
        self.forwarding_entries: defaultdict[tuple[str, int], set[str]] = defaultdict(
            set
        )
        self.broken_flows: list[tuple[str, int]] = []
        self.unreplicated_entries: set[str] = set()
        self.unpinned_broken_flows: set[tuple[str, int]] = set()
        self.wrong_service_packets = 0
        self.placement_counts: Counter[UpstreamId] = Counter()
        self.late_placements: list[UpstreamId] = []
        self.leaving_since: dict[UpstreamId, float] = {}
        self.announcements_lost_since: dict[Address, float] = {}
        self.incarnation = 0
        self.ticks = 0

    def start_entry(self, name: str) -> None:
        """Start an entry with empty state."""
        self.incarnation += 1
        peers = [
            Peer(name=n, data_centre="dc", address=Address(host=n, port=1))
            for n in self.names
            if n != name
        ]
        members = MemberTable(
            name=name, data_centre="dc", peers=peers, lease_seconds=LEASE_SECONDS
        )
        members.report = MemberReport(incarnation=self.incarnation)
        state = FlowState(
            members=members,
            registry=UpstreamRegistry(),
            in_force=ConfigurationInForce(),
            counters=Counters(),
            unreachable=set(),
        )
        state.in_force.update_if_newer(self.configuration)
        for service in self.services:
            state.add_service(service)
        for address, record in self.records.items():
            if address not in self.announcements_lost_since:
                state.registry.merge(record, self.clock.now)
        self.nodes[name] = EntryNode(state=state)

    def stop_entry(self, name: str) -> None:
        """Begin a planned stop; the entry ends once its pins are handed over."""
        node = self.nodes[name]
        members = node.state.members
        node.stopping = True
        members.report = members.report._replace(leaving=True)

    def kill_entry(self, name: str) -> None:
        """End an entry without a hand-over."""
        del self.nodes[name]

    def announce(self, record: UpstreamRecord) -> None:
        """Announce an upstream to every entry, each with its own delay."""
        self.records[record.identity.address] = record
        self.announcements_lost_since.pop(record.identity.address, None)
        if record.phase is UpstreamPhase.LEAVING:
            self.leaving_since.setdefault(record.identity, self.clock.now)
        for name in self.nodes:
            self.network.send(f"upstream-{record.sequence}", name, record)

    def add_upstream(
        self,
        service: str,
        port: int,
        incarnation: int = 1,
        data_centre: str = "dc",
        phase: UpstreamPhase = UpstreamPhase.READY,
    ) -> UpstreamId:
        """Announce an upstream and return its identity."""
        address = Address(host="upstream", port=port)
        identity = UpstreamId(address=address, incarnation=incarnation, service=service)
        before = self.records.get(address)
        sequence = before.sequence + 1 if before else 1
        self.announce(
            UpstreamRecord(
                identity=identity,
                request_address=address,
                data_centre=data_centre,
                sequence=sequence,
                phase=phase,
                slots=4,
                load=0,
            )
        )
        return identity

    def drop_announcements(self, address: Address) -> None:
        """Drop all further announcements of an upstream that still runs."""
        self.announcements_lost_since[address] = self.clock.now

    def resume_announcements(self, address: Address) -> None:
        """Deliver the announcements of a silent upstream again."""
        record = self.records[address]
        self.announce(record._replace(sequence=record.sequence + 1))

    def withdraw_data_centre(self, data_centre: str) -> None:
        """Put a configuration in force that takes a data centre out of service."""
        self.configuration = self.configuration._replace(
            revision=self.configuration.revision + 1, out=frozenset({data_centre})
        )
        for node in self.nodes.values():
            node.state.in_force.update_if_newer(self.configuration)
            end_flows_out_of_service(node.state)

    def receive_packet(self, name: str, service: str, flow: int) -> None:
        """Deliver a packet of a caller to an entry."""
        node = self.nodes[name]
        if node.frozen:
            return
        key = flow_key(self.seeds[service], flow.to_bytes(6, "big"))
        decision = route_packet(
            state=node.state, service=service, key=key, now=self.clock.now
        )
        if isinstance(decision, Pin):
            self.deliver(name, service, key, decision.upstream)
        elif isinstance(decision, HoldPacket):
            node.held_packet_counts[(service, key)] += 1

    def deliver(self, name: str, service: str, key: int, upstream: UpstreamId) -> None:
        """Record and check a packet that an entry sends to an upstream."""
        flow = (service, key)
        record = self.nodes[name].state.registry.newest_record(upstream.address)
        if record is None or record.identity.service != service:
            self.wrong_service_packets += 1
        if self.records[upstream.address].identity != upstream:
            # The entry has not yet learned that another upstream has the address.
            return
        first = self.first_upstreams.get(flow)
        if first is None or self.has_flow_ended(flow, first):
            self.first_upstreams[flow] = upstream
            self.placement_counts[upstream] += 1
            self.forwarding_entries[flow] = set()
            since = self.leaving_since.get(upstream)
            if since is not None and self.clock.now - since > 2.0:
                self.late_placements.append(upstream)
            silent_since = self.announcements_lost_since.get(
                upstream.address, self.clock.now
            )
            if self.clock.now - silent_since > SILENT_PLACEMENT_SECONDS:
                self.late_placements.append(upstream)
        elif upstream != first:
            self.broken_flows.append(flow)
            if not self.forwarding_entries[flow]:
                self.unpinned_broken_flows.add(flow)
            self.first_upstreams[flow] = upstream
        self.last_packet_times[flow] = self.clock.now
        if name not in self.unreplicated_entries:
            self.forwarding_entries[flow].add(name)

    def has_flow_ended(self, flow: tuple[str, int], upstream: UpstreamId) -> bool:
        """Return whether a flow has ended: it was idle, or its upstream is gone."""
        record = self.records[upstream.address]
        idle = (
            self.clock.now - self.last_packet_times[flow]
            > self.services[0].flow_idle_seconds
        )
        out = record.data_centre in self.configuration.out
        left = record.phase is UpstreamPhase.LEFT
        return idle or out or left or record.identity != upstream

    def apply(self, name: str, effects: Iterable[FlowEffect]) -> None:
        """Apply the effects of a decision of an entry."""
        for effect in effects:
            if isinstance(effect, SendToPeer):
                self.send(name, effect.peer, effect.message)
                continue
            node = self.nodes[name]
            held_packets = node.held_packet_counts.pop((effect.service, effect.key), 0)
            if held_packets and effect.upstream is not None:
                self.deliver(name, effect.service, effect.key, effect.upstream)

    def send(self, sender: str, receiver: str, message: object) -> None:
        """Send a message between entries."""
        if self.on_send is not None:
            self.on_send(sender, message)
        self.network.send(sender, receiver, message)

    def receive(self, name: str, sender: str, message: object) -> None:
        """Deliver a message to an entry."""
        state = self.nodes[name].state
        now = self.clock.now
        if isinstance(message, UpstreamRecord):
            state.registry.merge(message, now)
            if state.registry.is_registered(message.identity):
                state.registry.last_received_at[message.identity.address] = now
        elif isinstance(message, Heartbeat):
            for event in receive_heartbeat(state.members, sender, message, now):
                self.apply(name, handle_member_event(state, event, now))
                if event.kind is not MemberEventKind.REPORTED:
                    self.send_records(
                        name, make_full_digest(state.registry, event.name)
                    )
        elif isinstance(message, Effect):
            self.send_records(name, self.receive_records(name, sender, message))
        else:
            self.apply(name, handle_flow_message(state, sender, message, now))

    def receive_records(self, name: str, sender: str, message: Effect) -> list[Effect]:
        """Deliver a message on upstream records and return the resulting effects."""
        node, now = self.nodes[name], self.clock.now
        registry = node.state.registry
        match message:
            case SendRecords():
                return receive_records(
                    registry, node.dissemination, sender, message.records, now
                )
            case SendDigest():
                return receive_digest(
                    registry, node.dissemination, sender, message.items, now
                )
            case FetchRecords():
                return answer_fetch(registry, sender, message.keys, now)
            case SendSilentRecords():
                receive_silent_records(registry, message.records, now)
                return []

    def send_records(self, name: str, effects: Iterable[Effect]) -> None:
        """Send messages on upstream records."""
        for effect in effects:
            self.record_network.send(name, effect.peer, effect)

    def tick(self) -> None:
        """Advance the clock by one tick and do all that is due."""
        self.clock.now += TICK_SECONDS
        self.ticks += 1
        if self.ticks % ANNOUNCE_TICKS == 0:
            for address, record in self.records.items():
                if address not in self.announcements_lost_since:
                    self.announce(record)
        for queued in [*self.network.pop_due(), *self.record_network.pop_due()]:
            node = self.nodes.get(queued.receiver)
            if node is None:
                continue
            if node.frozen:
                node.deferred_messages.append((queued.sender, queued.message))
            else:
                self.receive(queued.receiver, queued.sender, queued.message)
        for name in sorted(self.nodes):
            if not self.nodes[name].frozen:
                self.run_entry(name)

    def run_entry(self, name: str) -> None:
        """Run the timers of an entry."""
        node = self.nodes[name]
        state, now = node.state, self.clock.now
        tick_offset = self.names.index(name)
        if (self.ticks + tick_offset) % HEARTBEAT_TICKS == 0:
            for event in expire_members(state.members, now):
                self.apply(name, handle_member_event(state, event, now))
            for peer in state.members.members:
                self.send(name, peer, make_heartbeat(state.members, peer, now))
        if (self.ticks + tick_offset) % REFRESH_TICKS == 0:
            expire_records(state.registry, state.members, now)
            refresh = make_refresh(
                state.registry, node.dissemination, state.members, now, self.record_rng
            )
            self.send_records(name, refresh)
        self.apply(name, run_flow_timers(state, now))
        if node.stopping and is_hand_over_complete(state):
            del self.nodes[name]

    def resume_entry(self, name: str) -> None:
        """Resume a frozen entry; its timers run first, as they may in a process."""
        node = self.nodes[name]
        node.frozen = False
        messages, node.deferred_messages = node.deferred_messages, []
        self.run_entry(name)
        for sender, message in messages:
            self.receive(name, sender, message)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        for _ in range(max(1, round(seconds / TICK_SECONDS))):
            self.tick()

    def run_until_settled(self, seconds: float = 60.0) -> bool:
        """Advance the clock; return whether all entries settle one view in time."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self.tick()
            states = [node.state for node in self.nodes.values()]
            views = {state.view.identity for state in states}
            if (
                views != {ViewId()}
                and len(views) == 1
                and all(
                    s.is_settled() and s.prepared_view is None and s.view_round is None
                    for s in states
                )
            ):
                return True
        return False
