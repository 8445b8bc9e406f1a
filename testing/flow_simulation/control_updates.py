"""Delivery of control updates to entries, and the fabric's check of the entries."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from chervilstage.coordination.relay_directory import apply_routing
from chervilstage.state.routing import Routing
from chervilstage.state.types import UpstreamRecord
from chervilstage.transport.token_relay import MAXIMUM_PENDING_SECONDS
from testing.support.token_relays import RelayDriver

from .simulation import Entry, Simulation, Upstream

# Upper bounds of the random delays of an update and of a fetched routing table.
UPDATE_DELAY_SECONDS = 0.05
FETCH_DELAY_SECONDS = 0.3
FAILED_CHECKS_LIMIT = 2


def start_entry(simulation: Simulation, entry: Entry) -> None:
    """Start an entry without state; send it the routing table and all records."""
    driver = RelayDriver(records=[], name=f"entry-{entry.number}")
    driver.rng = Random(simulation.rng.getrandbits(32))
    driver.state.routing = None
    driver.state.routes = {}
    driver.state.services_by_front = {}
    driver.state.upstreams_known_since = None
    entry.driver = driver
    entry.pending_packets = []
    announce_routing(simulation, entry)
    max_delay_seconds = max(UPDATE_DELAY_SECONDS, entry.max_update_delay_seconds)
    deliver_update(
        simulation,
        entry,
        lambda d: _apply_records(d, *simulation.announced_records.values()),
        max_delay_seconds,
    )


def deliver_update(
    simulation: Simulation,
    entry: Entry,
    apply: Callable[[RelayDriver], None],
    max_delay_seconds: float = UPDATE_DELAY_SECONDS,
) -> None:
    """Deliver a control update to an entry; it waits while the entry is paused.

    :param apply: applies the update to the entry's state.
    :param max_delay_seconds: upper bound of the delivery delay.
    """
    driver = entry.driver
    timeline = simulation.timeline

    def deliver() -> None:
        if entry.driver is not driver or driver is None:
            return
        if timeline.now < entry.paused_until:
            timeline.call_later(entry.paused_until - timeline.now, deliver)
            return
        driver.now = timeline.now
        apply(driver)
        retry_pending_packets(simulation, entry)

    delay = simulation.rng.random() * max_delay_seconds
    if delay > FETCH_DELAY_SECONDS:
        simulation.last_late_update_at = max(
            simulation.last_late_update_at, timeline.now + delay
        )
    timeline.call_later(delay, deliver)


def retry_pending_packets(simulation: Simulation, entry: Entry) -> None:
    """Relay the deferred packets again, except those pending for too long."""
    pending, entry.pending_packets = entry.pending_packets, []
    for packet in pending:
        if simulation.timeline.now - packet.pending_since <= MAXIMUM_PENDING_SECONDS:
            packet.relay()


def announce_record(
    simulation: Simulation, upstream: Upstream, *, is_gone: bool = False
) -> None:
    """Send every entry the current record of an upstream, or its removal."""
    record = upstream.current_record()
    if is_gone:
        simulation.announced_records.pop(upstream.number, None)
    else:
        simulation.announced_records[upstream.number] = record
    for entry in simulation.entries:
        max_delay_seconds = max(UPDATE_DELAY_SECONDS, entry.max_update_delay_seconds)
        deliver_update(
            simulation,
            entry,
            lambda d: _apply_records(d, record, is_gone=is_gone),
            max_delay_seconds,
        )


def announce_routing(simulation: Simulation, entry: Entry) -> None:
    """Announce the newest routing table to an entry, which then fetches it."""
    routing = simulation.routing

    def fetch(driver: RelayDriver) -> None:
        state = driver.state
        state.announced_routing_version = max(
            state.announced_routing_version, routing.version
        )
        deliver_update(
            simulation,
            entry,
            lambda d: _apply_newer_routing(d, routing),
            FETCH_DELAY_SECONDS,
        )

    deliver_update(
        simulation,
        entry,
        fetch,
        max(UPDATE_DELAY_SECONDS, entry.max_update_delay_seconds),
    )


def check_entries(simulation: Simulation) -> None:
    """Set the rotation to the entries that pass the fabric's check.

    If fewer than half of the entries pass, all of them stay in the rotation.
    """
    for entry in simulation.entries:
        is_ready = entry.is_ready(simulation.timeline.now)
        entry.failed_checks = 0 if is_ready else entry.failed_checks + 1
    ready = [
        entry
        for entry in simulation.entries
        if entry.failed_checks < FAILED_CHECKS_LIMIT
    ]
    has_half = 2 * len(ready) >= len(simulation.entries)
    simulation.rotation = ready if has_half else list(simulation.entries)


def _apply_newer_routing(driver: RelayDriver, routing: Routing) -> None:
    current = driver.state.routing
    if current is None or current.version < routing.version:
        apply_routing(driver.state, routing, driver.now)


def _apply_records(
    driver: RelayDriver, *records: UpstreamRecord, is_gone: bool = False
) -> None:
    driver.apply_records(*records, gone=is_gone)
    if records and driver.state.upstreams_known_since is None:
        driver.state.upstreams_known_since = driver.now
