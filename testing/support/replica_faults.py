"""A random series of faults and changes on replicas, reproducible from a seed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

from chervilstage.coordination.election import transfer_leadership
from chervilstage.state.configuration import Change, DataCentre, Inventory
from chervilstage.state.replica import Replica

from .replica_fakes import ReplicaCluster, ReplicaNode

FORM_SECONDS = 4.0


def make_operator_change(operation: str, base: int) -> Change:
    """Return a change with an inventory that is unique to its operation."""
    inventory = Inventory(data_centres=(DataCentre(name=operation),))
    return Change(
        operation_id=operation,
        operator="maria",
        base_revision=base,
        inventory=inventory,
    )


def applied_revision(node: ReplicaNode) -> int:
    """Return the revision that a replica has applied, 0 while it is down."""
    return node.replica.applied.configuration.revision if node.replica else 0


def conflicting_changes(replica: Replica, changes: Iterable[Change]) -> list[str]:
    """Return accepted changes that violate the rule of one change for each revision.

    A change must be applied to the revision it was based on, and only one change to
    each revision.
    """
    bases = {change.operation_id: change.base_revision for change in changes}
    accepted: dict[int, str] = {}
    conflicting: list[str] = []
    for outcome in replica.applied.outcomes.values():
        operation = outcome.operation_id
        if operation not in bases or outcome.code:
            continue
        first = accepted.setdefault(outcome.revision_before, operation)
        if first != operation or bases[operation] != outcome.revision_before:
            conflicting.append(operation)
    return conflicting


class FaultSeries:
    """Applies random steps to a cluster of replicas.

    :param size: the number of replicas.
    :param replaces_lost_replicas: whether replicas admit new ones in place of lost
        ones; if so, VMs are also replaced by other ones.
    """

    def __init__(
        self,
        *,
        size: int,
        seed: int,
        syncs: bool = True,
        checks: bool = True,
        replaces_lost_replicas: bool = False,
    ) -> None:
        self.rng = Random(seed)
        self.replaces_lost_replicas = replaces_lost_replicas
        names = [f"replica-{number}" for number in range(size)]
        self.cluster = ReplicaCluster(
            names=names,
            seed=seed,
            syncs=syncs,
            checks=checks,
            size=size if replaces_lost_replicas else None,
        )
        self.changes: list[Change] = []
        self.cluster.advance(FORM_SECONDS)

    def pick_node(self) -> ReplicaNode:
        """Return a random replica, the leader more often than the others."""
        leader = self.cluster.leader()
        if leader is not None and self.rng.random() < 0.3:
            return leader
        return self.rng.choice(list(self.cluster.nodes.values()))

    def step(self) -> None:
        """Do a random action, then advance the clock by a random time."""
        actions: list[tuple[int, Callable[[], None]]] = [
            (40, self.submit),
            (8, self.resend),
            (6, self.crash),
            (8, self.crash_at_write),
            (20, self.restart),
            (5, self.wipe),
            (4, self.isolate),
            (4, self.cut),
            (14, self.heal),
            (3, self.freeze),
            (12, self.resume),
            (3, self.set_random_network_faults),
            (5, self.hand_over),
        ]
        if self.replaces_lost_replicas:
            actions.append((5, self.replace))
        weights = [weight for weight, _ in actions]
        self.rng.choices([a for _, a in actions], weights)[0]()
        self.cluster.advance(self.rng.choice([0.05, 0.05, 0.1, 0.2, 0.5, 1.5, 3.0]))

    def submit(self) -> None:
        """Submit one change, or two with the same base revision."""
        node = self.cluster.leader() or self.pick_node()
        base = applied_revision(node)
        for _ in range(self.rng.randint(1, 2)):
            self.changes.append(
                make_operator_change(f"change-{len(self.changes)}", base)
            )
            self.cluster.submit(self.cluster.leader() or node, self.changes[-1])

    def resend(self) -> None:
        """Submit one of the last changes again."""
        if self.changes:
            change = self.rng.choice(self.changes[-10:])
            self.cluster.submit(self.cluster.leader() or self.pick_node(), change)

    def crash(self) -> None:
        """Kill a replica and, in 70 % of the cases, restart it at once."""
        node = self.pick_node()
        if node.replica is not None:
            self.cluster.crash(node)
            if self.rng.random() < 0.7:
                self.cluster.start(node)

    def crash_at_write(self) -> None:
        """Kill a replica at one of its next writes."""
        self.pick_node().writes_until_crash = self.rng.randint(1, 5)

    def restart(self) -> None:
        """Start all replicas that are down."""
        for node in self.cluster.nodes.values():
            if node.replica is None:
                self.cluster.start(node)

    def wipe(self) -> None:
        """Replace a VM by one with a blank disk if earlier repairs are committed."""
        if self.cluster.has_expected_voters():
            self.cluster.wipe(self.pick_node())

    def replace(self) -> None:
        """Replace a VM by a new one if all earlier repairs are committed."""
        if self.cluster.has_expected_voters():
            node = self.pick_node()
            self.cluster.crash(node)
            del self.cluster.nodes[node.name]
            self.cluster.add_node(f"successor-{self.cluster.last_identity}")

    def isolate(self) -> None:
        """Cut a replica off from all others."""
        self.cluster.isolate(self.pick_node())

    def cut(self) -> None:
        """Cut two replicas off from each other."""
        self.cluster.cut(self.pick_node().name, self.pick_node().name)

    def heal(self) -> None:
        """End all network cuts."""
        self.cluster.network.cut_links.clear()

    def freeze(self) -> None:
        """Freeze a replica."""
        self.cluster.frozen.add(self.pick_node().name)

    def resume(self) -> None:
        """Resume all frozen replicas."""
        self.cluster.frozen.clear()

    def set_random_network_faults(self) -> None:
        """Set a random loss and delay of the network."""
        self.cluster.network.loss = self.rng.choice([0.0, 0.0, 0.2])
        self.cluster.network.delay = self.rng.choice([0.02, 0.02, 0.02, 0.3, 1.0])

    def hand_over(self) -> None:
        """Let the leader hand over its leadership, as on a planned stop."""
        leader = self.cluster.leader()
        if leader is not None and leader.replica is not None:
            now = leader.clock(self.cluster.now)
            leader.pending += transfer_leadership(leader.replica, now, self.rng)
            self.cluster.flush(leader)

    def find_lost_changes(self) -> list[str]:
        """End all faults and return the operations whose reported outcome is lost."""
        leader = self.cluster.end_faults()
        assert leader.replica is not None
        return self.cluster.missing_operations(leader.replica)

    def find_conflicting_changes(self) -> list[str]:
        """End all faults and return accepted changes that conflict with others."""
        leader = self.cluster.end_faults()
        assert leader.replica is not None
        return conflicting_changes(leader.replica, self.changes)
