"""Control news on its way to entries, and the fabric's check of them."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from chervilstage.coordination.relay_directory import put_routing
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from chervilstage.transport.token_relay import HELD_SECONDS
from testing.support.token_relays import RelayDriver

from .simulation import Entry, Simulation, Upstream

NEWS_SECONDS = 0.05
FETCH_SECONDS = 0.3
MISSES = 2


def start_entry(simulation: Simulation, entry: Entry) -> None:
    """Start an entry that knows nothing, and tell it what the replicas know."""
    driver = RelayDriver(records=[], name=f"entry-{entry.number}")
    driver.rng = Random(simulation.rng.getrandbits(32))
    driver.state.routing = None
    driver.state.routes = {}
    driver.state.services_of = {}
    driver.state.upstreams_from = None
    entry.driver = driver
    entry.held = []
    tell_routing(simulation, entry)
    within = max(NEWS_SECONDS, entry.lateness)
    tell(simulation, entry, lambda d: _hear(d, *simulation.announced.values()), within)


def tell(
    simulation: Simulation,
    entry: Entry,
    take: Callable[[RelayDriver], None],
    within: float = NEWS_SECONDS,
) -> None:
    """Let control news reach an entry; it waits while the entry stands still.

    :param within: the longest time in seconds that it takes.
    """
    driver = entry.driver
    timeline = simulation.timeline

    def arrive() -> None:
        if entry.driver is not driver or driver is None:
            return
        if timeline.now < entry.still_until:
            timeline.after(entry.still_until - timeline.now, arrive)
            return
        driver.now = timeline.now
        take(driver)
        release_held(simulation, entry)

    delay = simulation.rng.random() * within
    if delay > FETCH_SECONDS:
        simulation.news_late_at = max(simulation.news_late_at, timeline.now + delay)
    timeline.after(delay, arrive)


def release_held(simulation: Simulation, entry: Entry) -> None:
    """Relay the packets that waited for news, but those that waited too long."""
    held, entry.held = entry.held, []
    for packet in held:
        if simulation.timeline.now - packet.at <= HELD_SECONDS:
            packet.relay()


def tell_record(
    simulation: Simulation, upstream: Upstream, *, gone: bool = False
) -> None:
    """Tell every entry what an upstream has said of itself."""
    record = upstream.record()
    if gone:
        simulation.announced.pop(upstream.number, None)
    else:
        simulation.announced[upstream.number] = record
    for entry in simulation.entries:
        within = max(NEWS_SECONDS, entry.lateness)
        tell(simulation, entry, lambda d: _hear(d, record, gone=gone), within)


def tell_routing(simulation: Simulation, entry: Entry) -> None:
    """Tell an entry of the newest routing table, which it fetches after that."""
    routing = simulation.routing

    def fetch(driver: RelayDriver) -> None:
        state = driver.state
        state.routing_told = max(state.routing_told, routing.version)
        tell(simulation, entry, lambda d: _put_newer(d, routing), FETCH_SECONDS)

    tell(simulation, entry, fetch, max(NEWS_SECONDS, entry.lateness))


def check_entries(simulation: Simulation) -> None:
    """Put entries in or out of rotation as the fabric does."""
    for entry in simulation.entries:
        is_ready = entry.is_ready(simulation.timeline.now)
        entry.misses = 0 if is_ready else entry.misses + 1
    ready = [entry for entry in simulation.entries if entry.misses < MISSES]
    is_half = 2 * len(ready) >= len(simulation.entries)
    simulation.rotation = ready if is_half else list(simulation.entries)


def _put_newer(driver: RelayDriver, routing: Routing) -> None:
    held = driver.state.routing
    if held is None or held.version < routing.version:
        put_routing(driver.state, routing, driver.now)


def _hear(driver: RelayDriver, *records: UpstreamRecord, gone: bool = False) -> None:
    driver.hear(*records, gone=gone)
    if records and driver.state.upstreams_from is None:
        driver.state.upstreams_from = driver.now
