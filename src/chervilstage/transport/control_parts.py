"""Parts of a control replica that are common to all front ends."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

from ..state.counters import Counters
from ..state.replica import Role
from ..state.types import Peer
from ..state.upstream_feed import UpstreamFeed
from .application import Application
from .change_calls import ChangeCalls
from .clock import replica_clock
from .feed_follower import FeedFollower
from .feed_server import FeedServer, ServicesOf
from .frame_channel import FrameClient, FrameServer
from .log_store import LogStore, SyncObserver
from .replica_driver import ReplicaDriver
from .replica_formation import ReplicaFormation
from .replica_links import ReplicaLinks
from .upstream_store import UpstreamStore

# Identities and run numbers have the lowest bit set, since 0 means that none is known.
IDENTITY_BITS = 63


class ControlParts(NamedTuple):
    """A replica, its frame client and server, and the forwarding of changes."""

    client: FrameClient
    frames: FrameServer
    driver: ReplicaDriver
    formation: ReplicaFormation
    changes: ChangeCalls

    def add_to(self, app: Application) -> None:
        """Register the hooks of all parts in start order."""
        for part in (self.client, self.frames, self.driver, self.formation):
            app.add(part.hooks())

    def gauges(self) -> dict[str, float]:
        """Return the gauges of the replica by name."""
        replica = self.driver.replica
        return {
            "revision_committed": replica.applied.configuration.revision,
            "replica_term": replica.term,
            "replica_leads": float(replica.role is Role.LEADER),
            "replica_commit": replica.commit_index,
            "log_entries_held": len(replica.log.entries),
            **self.driver.report.gauges(replica_clock()),
        }


def build_control_parts(
    *,
    own: Peer,
    listed: Callable[[], Sequence[Peer]],
    data_folder: Path,
    may_form: bool,
    size: int | None,
    key: bytes,
    counters: Counters,
    started_at: float | None = None,
    observe_sync: SyncObserver = lambda seconds: None,
) -> ControlParts:
    """Return the parts of a control replica.

    :param listed: returns the replicas that the settings list.
    :param may_form: whether blank replicas may form a new set.
    :param size: the number of voters that the replicas maintain automatically, if any.
    :param key: the shared key of the processes of the system.
    :param started_at: when this process started, in seconds of the replica clock.
    :param observe_sync: called with the seconds of each loop stall caused by the disk.
    :raises LogDamagedError: the log of this replica is damaged.
    """
    client = FrameClient(name=own.name, key=key, counters=counters)
    frames = FrameServer(name=own.name, address=own.address, key=key, counters=counters)
    driver = ReplicaDriver(
        address=own.address,
        store=_build_store(data_folder, observe_sync),
        links=ReplicaLinks(frames=client),
        frames=frames,
        size=size,
        started_at=started_at,
    )
    formation = ReplicaFormation(
        own=own,
        listed=listed,
        may_form=may_form,
        driver=driver,
        client=client,
        frames=frames,
    )
    return ControlParts(
        client=client,
        frames=frames,
        driver=driver,
        formation=formation,
        changes=ChangeCalls(driver=driver, client=client, frames=frames),
    )


def _build_store(folder: Path, observe: SyncObserver) -> LogStore:
    identity = secrets.randbits(IDENTITY_BITS) | 1
    return LogStore(folder=folder, identity=identity, observe=observe)


class FeedParts(NamedTuple):
    """The server of the upstream feed and the follower of other replicas' feeds."""

    server: FeedServer
    follower: FeedFollower

    def add_to(self, app: Application) -> None:
        """Register the hooks of both parts."""
        app.add(self.server.hooks())
        app.add(self.follower.hooks())


def build_feed_parts(
    *, own: Peer, parts: ControlParts, services_of: ServicesOf
) -> FeedParts:
    """Return the feed parts of a replica that receives announcements of upstreams.

    :param services_of: returns the services of a routing table.
    """
    replica = parts.driver.replica
    server = FeedServer(
        feed=UpstreamFeed(run=secrets.randbits(IDENTITY_BITS) | 1),
        driver=parts.driver,
        frames=parts.frames,
        services_of=services_of,
        store=UpstreamStore(folder=parts.driver.store.folder),
    )
    follower = FeedFollower(
        own=own,
        is_entry=False,
        listed=lambda: [member.address for member in replica.members.members],
        revision=lambda: 0,
        on_answer=server.apply_answer,
        frames=parts.client,
    )
    return FeedParts(server=server, follower=follower)
