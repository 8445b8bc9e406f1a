"""Replicas of the configuration log on fake disks and a fake network."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from random import Random
from types import MappingProxyType

from chervilstage.coordination.election import tick
from chervilstage.coordination.replica import (
    receive,
    record_persisted,
    start_replica,
    submit,
)
from chervilstage.coordination.replica_effects import (
    Persist,
    ReplicaEffect,
    Reply,
    SaveEntries,
    SaveVote,
    Send,
)
from chervilstage.coordination.replica_members import (
    can_form_set,
    form_replica_set,
    rejoin,
)
from chervilstage.coordination.replica_terms import has_leader_lease
from chervilstage.coordination.replica_voters import add_learner, reconcile_members
from chervilstage.errors import ChervilstageError
from chervilstage.state.configuration import Change, ChangeOutcome
from chervilstage.state.log_entries import LogEntry
from chervilstage.state.replica import Replica, Snapshot, StoredReplica, Vote
from chervilstage.state.replica_messages import Hello, ReplicaMessage
from chervilstage.state.types import Address

from .fakes import FakeClock, FakeNetwork, QueuedMessage

TICK_SECONDS = 0.05
LEADERLESS_SECONDS = 3.0
CLOCK_DRIFT = 0.05
USUAL_DELAY = 0.02


class FakeDisk:
    """A disk that keeps synced data; data that was only written may be lost or torn.

    :param syncs: whether ``sync`` has an effect; benchmarks compare with disks on which
        it has none.
    """

    def __init__(self, *, identity: int, syncs: bool = True) -> None:
        self.syncs = syncs
        self.wipe(identity)

    def wipe(self, identity: int) -> None:
        """Erase the disk and set a new identity."""
        self.stored = StoredReplica(
            identity=identity, vote=Vote(), snapshot=Snapshot(), entries=()
        )
        self.written: list[Persist] = []

    def write(self, effect: Persist) -> None:
        """Write without syncing."""
        self.written.append(effect)

    def sync(self) -> None:
        """Make all writes durable."""
        if self.syncs:
            self.persist_first(len(self.written))

    def persist_first(self, count: int) -> None:
        """Make the first writes durable and lose the other ones."""
        for effect in self.written[:count]:
            self.stored = _apply_write(self.stored, effect)
        self.written = []

    def crash(self, rng: Random) -> None:
        """Lose unsynced writes but for a random first part; tear the next write."""
        count = rng.randint(0, len(self.written))
        torn_writes = self.written[count : count + 1]
        self.persist_first(count)
        for effect in torn_writes:
            if isinstance(effect, SaveEntries):
                length = rng.randint(0, len(effect.entries))
                part = effect._replace(entries=effect.entries[:length])
                self.stored = _apply_write(self.stored, part)


def _apply_write(stored: StoredReplica, effect: Persist) -> StoredReplica:
    if isinstance(effect, SaveVote):
        return stored._replace(vote=effect.vote)
    if isinstance(effect, SaveEntries):
        kept = tuple(e for e in stored.entries if e.position <= effect.after)
        return stored._replace(entries=kept + effect.entries)
    return stored._replace(snapshot=effect.snapshot, entries=effect.entries)


class ReplicaNode:
    """A replica process and its disk; it has no replica while it is down."""

    def __init__(self, *, name: str, disk: FakeDisk, rate: float) -> None:
        self.name = name
        self.disk = disk
        self.clock_rate = rate
        self.address = Address(host=name, port=1)
        self.replica: Replica | None = None
        self.pending: list[ReplicaEffect] = []
        self.submitted_operations: set[str] = set()
        self.writes_until_crash = 0

    def clock(self, now: float) -> float:
        """Return the time of the clock of this node, which drifts."""
        return now * self.clock_rate


class ReplicaCluster:
    """A cluster of replicas, and the answers that operators received.

    It records the first answer to each operation and, by position, the first entry
    that a replica committed there. Replicas that operators asked to add or to remove
    are optional: a settled cluster may contain them or not.

    :param syncs: whether syncs of the disks make data durable.
    :param checks: whether the invariants are checked after each step.
    :param size: the number of voters that replicas maintain by themselves, if any.
    :param data_centres: the data centres of replicas by name, where they differ.
    """

    def __init__(
        self,
        *,
        names: list[str],
        seed: int,
        syncs: bool = True,
        checks: bool = True,
        size: int | None = None,
        data_centres: Mapping[str, str] = MappingProxyType({}),
    ) -> None:
        self.size = size
        self.data_centres = data_centres
        self.rng = Random(seed)
        self.clock = FakeClock()
        self.network = FakeNetwork(
            clock=self.clock, rng=self.rng, loss=0.0, delay=USUAL_DELAY
        )
        self.undelivered_messages: list[QueuedMessage] = []
        self.last_identity = 0
        self.listed_names = list(names)
        self.syncs = syncs
        self.checks = checks
        self.nodes: dict[str, ReplicaNode] = {}
        self.frozen: set[str] = set()
        self.optional_replicas: set[str] = set()
        self.reported_outcomes: dict[str, ChangeOutcome] = {}
        self.conflicting_operations: list[str] = []
        self.committed_entries: dict[int, LogEntry] = {}
        for name in names:
            self.add_node(name)

    @property
    def now(self) -> float:
        """Return the current time."""
        return self.clock.now

    def cut(self, one: str, other: str) -> None:
        """Silently drop the messages between two processes in both directions."""
        self.network.cut({one}, {other})

    def isolate(self, node: ReplicaNode) -> None:
        """Silently drop the messages between a replica and all others."""
        self.network.cut({node.name}, set(self.nodes) - {node.name})

    def new_identity(self) -> int:
        """Return an identity that no disk has used."""
        self.last_identity += 1
        return self.last_identity

    def add_node(self, name: str) -> ReplicaNode:
        """Start a replica with a blank disk."""
        disk = FakeDisk(identity=self.new_identity(), syncs=self.syncs)
        rate = 1.0 + CLOCK_DRIFT * (2 * self.rng.random() - 1)
        node = self.nodes[name] = ReplicaNode(name=name, disk=disk, rate=rate)
        self.start(node)
        return node

    def start(self, node: ReplicaNode) -> None:
        """Start a replica from its disk."""
        node.replica = start_replica(node.disk.stored, node.clock(self.now), self.rng)
        node.pending, node.submitted_operations = [], set()

    def crash(self, node: ReplicaNode) -> None:
        """Kill a replica; data that its disk has not synced may be lost."""
        for effect in node.pending:
            if isinstance(effect, Persist):
                node.disk.write(effect)
        node.disk.crash(self.rng)
        node.replica = None
        self.frozen.discard(node.name)

    def wipe(self, node: ReplicaNode) -> None:
        """Replace the VM of a replica by one with a blank disk."""
        self.crash(node)
        node.disk.wipe(self.new_identity())
        self.start(node)

    def running(self) -> Iterator[tuple[ReplicaNode, Replica]]:
        """Yield the running replicas."""
        for node in list(self.nodes.values()):
            if node.replica is not None and node.name not in self.frozen:
                yield node, node.replica

    def advance(self, seconds: float) -> None:
        """Advance the clock in ticks and run the replicas."""
        end = self.now + seconds
        while self.now < end:
            self.clock.now += TICK_SECONDS
            self.deliver()
            for node, replica in self.running():
                now = node.clock(self.now)
                node.pending += tick(replica, now, self.rng)
                node.pending += reconcile_members(replica, self.size, now, self.now)
                if not replica.is_formed() or self.should_ask_to_rejoin(node, replica):
                    self.exchange_hellos(node, replica)
                self.flush(node)
            if self.checks:
                self.check()

    def deliver(self) -> None:
        """Deliver arrived messages; those to frozen replicas stay queued."""
        arrived = self.undelivered_messages + self.network.pop_due()
        self.undelivered_messages = [m for m in arrived if m.receiver in self.frozen]
        for queued in arrived:
            node = self.nodes.get(queued.receiver)
            if node is None or node.replica is None or node.name in self.frozen:
                continue
            assert isinstance(queued.message, ReplicaMessage)
            now = node.clock(self.now)
            node.pending += receive(node.replica, queued.message, now, self.rng)
            self.flush(node)

    def flush(self, node: ReplicaNode) -> None:
        """Apply pending effects in the driver's order: write, sync, send, reply."""
        while node.pending and node.replica is not None:
            batch, node.pending = node.pending, []
            writes = [e for e in batch if isinstance(e, Persist)]
            for effect in writes:
                node.disk.write(effect)
            if self.crash_if_due(node, len(writes)):
                return
            if writes:
                node.disk.sync()
                last, now = node.replica.log.last_index, node.clock(self.now)
                node.pending += record_persisted(node.replica, last, now, self.rng)
                if self.crash_if_due(node, 1):
                    return
            for effect in batch:
                self.apply_effect(node, node.replica, effect)

    def crash_if_due(self, node: ReplicaNode, writes: int) -> bool:
        """Kill the replica if its scheduled crash is due; return whether it was."""
        if not node.writes_until_crash or not writes:
            return False
        node.writes_until_crash -= min(writes, node.writes_until_crash)
        if node.writes_until_crash:
            return False
        self.crash(node)
        return True

    def apply_effect(
        self, node: ReplicaNode, replica: Replica, effect: ReplicaEffect
    ) -> None:
        """Send a message or record a reply to an operator."""
        if isinstance(effect, Send):
            message = ReplicaMessage(
                sender=replica.identity,
                to=effect.to,
                origin=node.address,
                body=effect.body,
            )
            target = effect.address.host
            self.network.send(node.name, target, message)
        elif (
            isinstance(effect, Reply)
            and effect.outcome.operation_id in node.submitted_operations
        ):
            self.record_outcome(effect.outcome)

    def record_outcome(self, outcome: ChangeOutcome) -> None:
        """Record the outcome that an operator received."""
        first_outcome = self.reported_outcomes.setdefault(outcome.operation_id, outcome)
        if first_outcome != outcome:
            self.conflicting_operations.append(outcome.operation_id)

    def submit(self, node: ReplicaNode, change: Change) -> None:
        """Submit a change to a replica; a typed error counts as an answer."""
        if node.replica is None or node.name in self.frozen:
            return
        node.submitted_operations.add(change.operation_id)
        try:
            submission = submit(
                node.replica, change, node.clock(self.now), round(self.now, 3)
            )
        except ChervilstageError:
            return
        if submission.outcome is not None:
            self.record_outcome(submission.outcome)
        node.pending += submission.effects
        self.flush(node)

    def make_hello(self, node: ReplicaNode, replica: Replica) -> Hello:
        """Return the hello message of a replica."""
        return Hello(
            name=node.name,
            identity=replica.identity,
            data_centre=self.data_centres.get(node.name, "gl-erie"),
            address=node.address,
            formed=replica.is_formed(),
        )

    def is_cut(self, node: ReplicaNode, other: ReplicaNode) -> bool:
        """Return whether messages between two replicas are dropped."""
        return frozenset((node.name, other.name)) in self.network.cut_links

    def exchange_hellos(self, node: ReplicaNode, replica: Replica) -> None:
        """Exchange hello messages with the reachable replicas."""
        own = self.make_hello(node, replica)
        answers = []
        for other, answering in self.running():
            if other is node or self.is_cut(node, other):
                continue
            now = other.clock(self.now)
            other.pending += rejoin(answering, own, now, self.now)
            if self.size is not None:
                other.pending += add_learner(answering, own, self.size, now, self.now)
            self.flush(other)
            if other.replica is not None:
                answers.append(self.make_hello(other, answering))
        if can_form_set(own, self.listed_names, answers):
            listed_hellos = [h for h in answers if h.name in self.listed_names]
            node.pending += form_replica_set(replica, [own, *listed_hellos])

    def should_ask_to_rejoin(self, node: ReplicaNode, replica: Replica) -> bool:
        """Return whether a replica without a leader should ask to rejoin.

        The condition is that of the replica formation.
        """
        silence = node.clock(self.now) - replica.last_leader_contact_at
        return self.size is not None and silence > LEADERLESS_SECONDS

    def leaders(self) -> list[str]:
        """Return the names of running replicas that may answer reads now."""
        return [
            n.name for n, r in self.running() if has_leader_lease(r, n.clock(self.now))
        ]

    def leader(self) -> ReplicaNode | None:
        """Return a replica that answers as the leader, if any."""
        return next((self.nodes[name] for name in self.leaders()), None)

    def check(self) -> None:
        """Check the invariants.

        :raises AssertionError: an invariant is violated.
        """
        leaders = self.leaders()
        assert len(leaders) <= 1, f"{leaders} answer reads at {self.now:.2f}"
        assert not self.conflicting_operations, (
            f"{self.conflicting_operations} received two different answers"
        )
        for _, replica in self.running():
            self.check_history(replica)
        for name in leaders:
            replica = self.nodes[name].replica
            assert replica is not None
            missing = self.missing_operations(replica)
            assert not missing, f"{name} leads, but lacks the outcomes of {missing}"

    def check_history(self, replica: Replica) -> None:
        """Check that all replicas have committed the same entries."""
        log = replica.log
        for entry in log.entries[: replica.commit_index - log.base_index]:
            first = self.committed_entries.setdefault(entry.position, entry)
            assert first == entry, f"{first} and {entry} are committed at one position"

    def missing_operations(self, replica: Replica) -> list[str]:
        """Return the operations whose reported outcome a replica does not know."""
        known = replica.applied.outcomes
        return [
            i
            for i, outcome in self.reported_outcomes.items()
            if known.get(i) != outcome
        ]

    def has_expected_voters(self) -> bool:
        """Return whether each disk, and no lost one, has a vote in the newest set.

        Optional replicas may vote or not. A set is not as expected while a vote moves,
        since a lost disk may still have the vote that is given up.
        """
        newest = max(
            (r for _, r in self.running()), key=lambda r: r.commit_index, default=None
        )
        if newest is None:
            return False
        committed = newest.log.members_at(newest.commit_index)
        if committed.is_joint():
            return False
        voters = set(committed.voters())
        present = {n.name: n.disk.stored.identity for n in self.nodes.values()}
        required = {
            i for name, i in present.items() if name not in self.optional_replicas
        }
        return required <= voters <= set(present.values())

    def end_faults(self, seconds: float = 20.0) -> ReplicaNode:
        """End all faults and wait for a leader.

        :raises AssertionError: no replica leads in time.
        """
        self.network.cut_links.clear()
        self.network.loss, self.network.delay = 0.0, USUAL_DELAY
        self.frozen.clear()
        for node in self.nodes.values():
            node.writes_until_crash = 0
            if node.replica is None:
                self.start(node)
        end = self.now + seconds
        while self.now < end:
            self.advance(TICK_SECONDS)
            leader = self.leader()
            if leader is not None and self.has_expected_voters():
                return leader
        raise AssertionError("no leader after all faults have ended")
