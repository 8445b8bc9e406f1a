"""The registered upstreams."""

from __future__ import annotations

from .types import Address, UpstreamPhase, UpstreamRecord


class UpstreamRegistry:
    """The newest record of each upstream address.

    A record is newer by (incarnation, sequence). Leaving is sticky within an
    incarnation, so that a delayed message cannot undo it.
    """

    def __init__(self) -> None:
        self.records: dict[Address, UpstreamRecord] = {}
        self.heard_at: dict[Address, float] = {}

    def merge(self, record: UpstreamRecord, now: float) -> bool:
        """Take a record if it is newer than the one held.

        :param now: monotonic seconds.
        :returns: whether the record changed anything.
        """
        address = record.identity.address
        held = self.records.get(address)
        if held is not None and _version(record) <= _version(held):
            return False
        if held is not None and _is_leaving(held) and _same_run(held, record):
            record = record._replace(phase=UpstreamPhase.LEAVING)
        self.records[address] = record
        self.heard_at[address] = now
        return True

    def of_service(self, service: str) -> list[UpstreamRecord]:
        """Return the records of a service, ordered by address."""
        found = [r for r in self.records.values() if r.identity.service == service]
        return sorted(found, key=lambda r: r.identity.address)

    def expire(self, now: float, silent_seconds: float) -> list[UpstreamRecord]:
        """Remove and return the records that have been silent for too long."""
        expired = [
            address
            for address, heard in self.heard_at.items()
            if now - heard > silent_seconds
        ]
        for address in expired:
            del self.heard_at[address]
        return [self.records.pop(address) for address in expired]


def _version(record: UpstreamRecord) -> tuple[int, int]:
    return (record.identity.incarnation, record.sequence)


def _is_leaving(record: UpstreamRecord) -> bool:
    return record.phase is UpstreamPhase.LEAVING


def _same_run(held: UpstreamRecord, record: UpstreamRecord) -> bool:
    return held.identity.incarnation == record.identity.incarnation
