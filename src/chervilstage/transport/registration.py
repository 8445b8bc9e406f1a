"""The announcement endpoint for upstreams, and the replication of their records."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from random import Random

import anyio
from anyio.abc import TaskGroup

from ..coordination.membership import MemberEvent, MemberEventKind
from ..coordination.registration import (
    REFRESH_SECONDS,
    Effect,
    SendDigest,
    SendRecords,
    SendSilentRecords,
    answer_fetch,
    expire_records,
    is_significant_change,
    make_full_digest,
    make_refresh,
    receive_announcement,
    receive_digest,
    receive_records,
    receive_silent_records,
)
from ..errors import ChervilstageError
from ..errors.upstreams import UnknownDataCentreError, UnknownServiceError
from ..protocol.announcement import decode_announcement
from ..protocol.kinds import Kind
from ..protocol.upstream_messages import (
    decode_digest,
    decode_fetch,
    decode_records,
    decode_silent_upstreams,
    encode_digest,
    encode_fetch,
    encode_records,
    encode_silent_upstreams,
)
from ..state.configuration import Configuration
from ..state.counters import Counters
from ..state.dissemination import DisseminationState
from ..state.members import MemberTable
from ..state.registry import UpstreamRegistry
from ..state.types import Address, UpstreamRecord
from .application import Hooks
from .event_log import log_event
from .http_connection import HttpRequest, HttpResponse
from .http_endpoint import http_endpoint_hooks
from .http_server import error_response
from .peer_link import PeerLink


class Registration:
    """Records announcements of upstreams and replicates them to the peers.

    :param configuration: returns the configuration in force.
    """

    def __init__(
        self,
        *,
        address: Address,
        registry: UpstreamRegistry,
        configuration: Callable[[], Configuration],
        link: PeerLink,
        members: MemberTable,
        counters: Counters,
        rng: Random,
    ) -> None:
        self.address = address
        self.registry = registry
        self.configuration = configuration
        self.link = link
        self.members = members
        self.counters = counters
        self.rng = rng
        self.dissemination = DisseminationState()
        link.register(Kind.UPSTREAM_RECORDS, self.receive_records)
        link.register(Kind.UPSTREAM_SILENT, self.receive_silent)
        link.register(Kind.UPSTREAM_DIGEST, self.receive_digest)
        link.register(Kind.UPSTREAM_FETCH, self.receive_fetch)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer ``POST /v1/announce``."""
        if request.method != "POST" or request.target != "/v1/announce":
            return HttpResponse(status=404, headers={}, body=b"")
        try:
            record = decode_announcement(request.body)
            self.validate(record)
        except ChervilstageError as error:
            self.counters.add("announcements_refused", error.code)
            log_event(
                "announcement_refused",
                level=logging.WARNING,
                code=error.code,
                reason=error,
            )
            return error_response(422, error)
        self.record_announcement(record)
        return HttpResponse(status=204, headers={}, body=b"")

    def validate(self, record: UpstreamRecord) -> None:
        """Validate the names in a record against the inventory.

        :raises UnknownServiceError: the service is not in the inventory.
        :raises UnknownDataCentreError: the data centre is not in the inventory.
        """
        configuration = self.configuration()
        if configuration.service(record.identity.service) is None:
            raise UnknownServiceError(service=record.identity.service)
        names = {d.name for d in configuration.inventory.data_centres}
        if record.data_centre not in names:
            raise UnknownDataCentreError(data_centre=record.data_centre)

    def record_announcement(self, record: UpstreamRecord) -> None:
        """Record an announcement and notify the peers."""
        now = anyio.current_time()
        with self.log_changes([record]):
            effects = receive_announcement(
                self.registry, self.dissemination, self.members, record, now
            )
        self.send_effects(effects)

    def receive_records(self, sender: str, body: bytes) -> None:
        """Merge the records of a peer."""
        records, unread = decode_records(body)
        self.record_unread(sender, unread)
        now = anyio.current_time()
        with self.log_changes(records):
            effects = receive_records(
                self.registry, self.dissemination, sender, records, now
            )
        self.send_effects(effects)

    def receive_digest(self, sender: str, body: bytes) -> None:
        """Handle a digest: the sequence numbers of a peer's records."""
        items = decode_digest(body)
        known = [
            r for i in items if (r := self.registry.find_by_key(i.key)) is not None
        ]
        now = anyio.current_time()
        with self.log_changes(known):
            effects = receive_digest(
                self.registry, self.dissemination, sender, items, now
            )
        self.send_effects(effects)

    def receive_fetch(self, sender: str, body: bytes) -> None:
        """Send a peer the records that it lacks."""
        now = anyio.current_time()
        keys = decode_fetch(body)
        self.send_effects(answer_fetch(self.registry, sender, keys, now))

    def receive_silent(self, sender: str, body: bytes) -> None:
        """Store the records of upstreams from which a peer gets no announcements."""
        records, unread = decode_silent_upstreams(body)
        self.record_unread(sender, unread)
        receive_silent_records(self.registry, records, anyio.current_time())

    def record_unread(self, sender: str, unread: int) -> None:
        """Count and log the records of a peer that cannot be decoded."""
        if unread:
            self.counters.add("upstream_records_unread", sender, unread)
            log_event(
                "records_unread", level=logging.WARNING, peer=sender, count=unread
            )

    def on_member_event(self, event: MemberEvent) -> None:
        """Send a full digest to an entry that joins or restarts."""
        if event.kind in (MemberEventKind.JOINED, MemberEventKind.RESTARTED):
            self.send_effects(make_full_digest(self.registry, event.name))

    def send_effects(self, effects: Sequence[Effect]) -> None:
        """Send the messages of a decision."""
        for effect in effects:
            if isinstance(effect, SendRecords):
                body = encode_records(effect.records)
                self.link.send(effect.peer, Kind.UPSTREAM_RECORDS, body)
            elif isinstance(effect, SendSilentRecords):
                body = encode_silent_upstreams(effect.records)
                self.link.send(effect.peer, Kind.UPSTREAM_SILENT, body)
            elif isinstance(effect, SendDigest):
                body = encode_digest(effect.items)
                self.link.send(effect.peer, Kind.UPSTREAM_DIGEST, body)
            else:
                body = encode_fetch(effect.keys)
                self.link.send(effect.peer, Kind.UPSTREAM_FETCH, body)

    @contextmanager
    def log_changes(self, records: Sequence[UpstreamRecord]) -> Iterator[None]:
        """Log upstreams whose records change significantly within the context."""
        addresses = {record.identity.address for record in records}
        before = {a: self.registry.records.get(a) for a in addresses}
        yield
        for address, old in before.items():
            new = self.registry.records.get(address)
            if new is not None and is_significant_change(old, new):
                log_upstream("upstream_registered", new)

    async def run(self) -> None:
        """Send digests to the peers and expire silent records, until cancelled."""
        while True:
            await anyio.sleep(REFRESH_SECONDS)
            now = anyio.current_time()
            self.send_effects(
                make_refresh(
                    self.registry, self.dissemination, self.members, now, self.rng
                )
            )
            for record in expire_records(self.registry, self.members, now):
                log_upstream("upstream_silent", record)

    async def start(self, group: TaskGroup) -> None:
        """Start the periodic refresh of the peers."""
        group.start_soon(self.run)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="registration", start=self.start)

    def endpoint_hooks(self) -> Hooks:
        """Return the life-cycle hooks of the announcement endpoint."""
        return http_endpoint_hooks(
            "announcements", self.address, self.answer, self.counters
        )


def log_upstream(event: str, record: UpstreamRecord) -> None:
    """Log an event of one upstream."""
    address = record.identity.address
    log_event(
        event,
        service=record.identity.service,
        address=f"{address.host}:{address.port}",
        data_centre=record.data_centre,
        phase=record.phase.value,
    )
