"""The registered upstreams."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address, UpstreamId, UpstreamPhase, UpstreamRecord
from .upstream_keys import upstream_key

Version = tuple[int, str, int]
PHASE_ORDER = tuple(UpstreamPhase)


class RemovedUpstream(NamedTuple):
    """The last record of a removed upstream; ``removed_at`` is in seconds.

    ``has_ended`` says that the run is known to have ended: an announcement of it or of
    a later run said so, or a newer upstream uses its request address. Otherwise, for
    example when only its announcements stopped, it keeps its open flows.
    """

    record: UpstreamRecord
    removed_at: float
    has_ended: bool = False


class UpstreamRegistry:
    """The newest record of each upstream address.

    A record is newer by (incarnation, sequence); two services that claim one address
    under the same incarnation are ordered by name, so that all entries agree.
    Within an incarnation the phase only advances: that an upstream is leaving or has
    left is accepted from a delayed message as well, and no other message undoes it. The
    last record of a removed upstream is retained for a time, so that an old message
    cannot register it again.

    ``last_received_at`` is when a newer record of an upstream was last received, in
    monotonic seconds. ``unreachable`` holds the addresses in data centres that are cut
    off. ``ramp_base`` is the announcement sequence at which an upstream's ramp for new
    flows last restarted. ``request_address_owners`` maps each request address to the
    address of the upstream that uses it.
    """

    def __init__(self) -> None:
        self.records: dict[Address, UpstreamRecord] = {}
        self.last_received_at: dict[Address, float] = {}
        self.address_by_key: dict[int, Address] = {}
        self.removed_upstreams: dict[Address, RemovedUpstream] = {}
        self.unreachable: set[Address] = set()
        self.ramp_base: dict[Address, int] = {}
        self.request_address_owners: dict[Address, Address] = {}

    def merge(self, record: UpstreamRecord, now: float) -> bool:
        """Store a record if it is newer than the known one.

        :param now: monotonic seconds.
        :returns: whether the registered records have changed.
        """
        address = record.identity.address
        known = self.newest_record(address)
        if known is None:
            return self._store(record, now)
        if known.identity == record.identity:
            phase = later_phase(known.phase, record.phase)
            if record.sequence <= known.sequence:
                return self._mark_phase(address, known, phase)
            return self._store(record._replace(phase=phase), now)
        if _version(record) <= _version(known):
            return False
        return self._store(record, now)

    def newest_record(self, address: Address) -> UpstreamRecord | None:
        """Return the newest record of an address, removed upstreams included."""
        registered = self.records.get(address)
        if registered is not None:
            return registered
        removed = self.removed_upstreams.get(address)
        return removed.record if removed else None

    def find_by_key(self, key: int) -> UpstreamRecord | None:
        """Return the registered upstream with a key."""
        address = self.address_by_key.get(key)
        return self.records.get(address) if address else None

    def is_registered(self, upstream: UpstreamId) -> bool:
        """Return whether an upstream is registered under this identity."""
        registered = self.records.get(upstream.address)
        return registered is not None and registered.identity == upstream

    def find_for_open_flows(self, upstream: UpstreamId) -> UpstreamRecord | None:
        """Return the record of an upstream that may still serve its open flows.

        It may be silent, but has not ended, and no later run uses its address.
        """
        record = self.records.get(upstream.address)
        if record is None:
            removed = self.removed_upstreams.get(upstream.address)
            if removed is None or removed.has_ended:
                return None
            record = removed.record
        if record.identity != upstream or has_left(record):
            return None
        return record

    def records_of_service(self, service: str) -> list[UpstreamRecord]:
        """Return the records of a service, ordered by address."""
        matching = [r for r in self.records.values() if r.identity.service == service]
        return sorted(matching, key=lambda r: r.identity.address)

    def remove(self, address: Address, now: float) -> UpstreamRecord:
        """Remove a registered upstream and retain its last record."""
        record = self.records.pop(address)
        self.removed_upstreams[address] = RemovedUpstream(record=record, removed_at=now)
        self.address_by_key.pop(upstream_key(record.identity), None)
        self.last_received_at.pop(address, None)
        self.ramp_base.pop(address, None)
        self.unreachable.discard(address)
        if self.request_address_owners.get(record.request_address) == address:
            del self.request_address_owners[record.request_address]
        return record

    def record_silent(self, record: UpstreamRecord, since: float) -> None:
        """Store the record of an upstream that the peers removed as silent.

        :param since: when it was removed, in monotonic seconds.
        """
        address = record.identity.address
        known = self.newest_record(address)
        if known is not None and known.identity == record.identity:
            self._mark_phase(address, known, later_phase(known.phase, record.phase))
            return
        if known is not None and _version(record) <= _version(known):
            return
        if address in self.records:
            self.remove(address, since)
        self.removed_upstreams[address] = RemovedUpstream(
            record=record, removed_at=since
        )

    def record_end(self, record: UpstreamRecord, now: float) -> bool:
        """Record that a run of an upstream has ended; return whether that is new.

        An unknown run is recorded as well, because another process may know it.
        """
        address = record.identity.address
        known = self.newest_record(address)
        if known is not None and known.identity == record.identity:
            record = max(known, record, key=_version)
        elif known is not None and _version(record) <= _version(known):
            return False
        removed = self.removed_upstreams.get(address)
        if removed is not None and removed.has_ended and removed.record == record:
            return False
        if address in self.records:
            self.remove(address, now)
        self.removed_upstreams[address] = RemovedUpstream(
            record=record, removed_at=now, has_ended=True
        )
        return True

    def expire_removed(self, before: float) -> None:
        """Delete the records of upstreams that were removed before a time."""
        for address in [
            a for a, d in self.removed_upstreams.items() if d.removed_at < before
        ]:
            del self.removed_upstreams[address]

    def _store(self, record: UpstreamRecord, now: float) -> bool:
        address = record.identity.address
        if not self._claim_request_address(record, now):
            return False
        before = self.records.get(address)
        if before is not None and before.identity != record.identity:
            self.remove(address, now)
        self.removed_upstreams.pop(address, None)
        self.records[address] = record
        self.last_received_at[address] = now
        self.address_by_key[upstream_key(record.identity)] = address
        self.unreachable.discard(address)
        return True

    def _claim_request_address(self, record: UpstreamRecord, now: float) -> bool:
        """Assign the request address to the newest upstream that claims it."""
        address = record.identity.address
        other = self.request_address_owners.get(record.request_address, address)
        if other != address:
            if _version(self.records[other]) > _version(record):
                return False
            self.remove(other, now)
        if (
            other != address
            or record.request_address not in self.request_address_owners
        ):
            self._end_older_upstreams(record)
        self.request_address_owners[record.request_address] = address
        return True

    def _end_older_upstreams(self, record: UpstreamRecord) -> None:
        """Mark removed older upstreams with the same request address as ended."""
        for address, removed in self.removed_upstreams.items():
            former = removed.record
            if (
                address != record.identity.address
                and former.request_address == record.request_address
                and _version(former) < _version(record)
            ):
                self.removed_upstreams[address] = removed._replace(has_ended=True)

    def _mark_phase(
        self, address: Address, known: UpstreamRecord, phase: UpstreamPhase
    ) -> bool:
        if phase is known.phase:
            return False
        marked = known._replace(phase=phase)
        if address in self.records:
            self.records[address] = marked
            return True
        self.removed_upstreams[address] = self.removed_upstreams[address]._replace(
            record=marked
        )
        return False


def is_leaving(record: UpstreamRecord) -> bool:
    """Return whether an upstream has announced that it is leaving or has left."""
    return record.phase is not UpstreamPhase.READY


def has_left(record: UpstreamRecord) -> bool:
    """Return whether an upstream has announced that it has left."""
    return record.phase is UpstreamPhase.LEFT


def later_phase(first: UpstreamPhase, second: UpstreamPhase) -> UpstreamPhase:
    """Return the later of two phases in the life of an upstream."""
    return max(first, second, key=PHASE_ORDER.index)


def has_same_label(record: UpstreamRecord, other: UpstreamRecord) -> bool:
    """Return whether two runs have the same address, service and label.

    The later one accepts new flows that were assigned to the earlier one, like an
    upstream that restarts under the same id.
    """
    return (record.identity.address, record.identity.service, record.label) == (
        other.identity.address,
        other.identity.service,
        other.label,
    )


def _version(record: UpstreamRecord) -> Version:
    return (record.identity.incarnation, record.identity.service, record.sequence)
