"""The endpoint where upstreams announce themselves, and the spread of records."""

from __future__ import annotations

import logging
from collections.abc import Callable

import anyio
from anyio.abc import TaskGroup

from ..errors import ChervilstageError
from ..errors.upstreams import UnknownDataCentreError, UnknownServiceError
from ..protocol.announcement import decode_announcement
from ..protocol.kinds import Kind
from ..protocol.upstream_messages import decode_records, encode_records
from ..state.configuration import Configuration
from ..state.counters import Counters
from ..state.registry import UpstreamRegistry
from ..state.types import Address, UpstreamRecord
from .application import Hooks
from .event_log import log_event
from .http_connection import HttpRequest, HttpResponse
from .http_server import error_response, start_http_server
from .peer_link import PeerLink

SILENT_SECONDS = 5.0
EXPIRY_INTERVAL_SECONDS = 0.5


class Registration:
    """Takes announcements and tells them to the peers.

    :param configuration: returns the configuration in force.
    """

    def __init__(
        self,
        *,
        address: Address,
        registry: UpstreamRegistry,
        configuration: Callable[[], Configuration],
        link: PeerLink,
        counters: Counters,
    ) -> None:
        self.address = address
        self.registry = registry
        self.configuration = configuration
        self.link = link
        self.counters = counters
        link.register(Kind.UPSTREAM_RECORDS, self.receive_records)

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer ``POST /v1/announce``."""
        if request.method != "POST" or request.target != "/v1/announce":
            return HttpResponse(status=404, headers={}, body=b"")
        try:
            record = decode_announcement(request.body)
            self.check(record)
        except ChervilstageError as error:
            self.counters.add("announcements_refused", error.code)
            log_event(
                "announcement_refused",
                level=logging.WARNING,
                code=error.code,
                reason=error,
            )
            return error_response(422, error)
        if self.merge(record):
            self.link.broadcast(Kind.UPSTREAM_RECORDS, encode_records([record]))
        return HttpResponse(status=204, headers={}, body=b"")

    def check(self, record: UpstreamRecord) -> None:
        """Check the names in a record against the inventory.

        :raises UnknownServiceError: the service is not in the inventory.
        :raises UnknownDataCentreError: the data centre is not in the inventory.
        """
        configuration = self.configuration()
        if configuration.service(record.identity.service) is None:
            raise UnknownServiceError(service=record.identity.service)
        names = {d.name for d in configuration.inventory.data_centres}
        if record.data_centre not in names:
            raise UnknownDataCentreError(data_centre=record.data_centre)

    def merge(self, record: UpstreamRecord) -> bool:
        """Merge a record and log what is new about it."""
        before = self.registry.records.get(record.identity.address)
        if not self.registry.merge(record, anyio.current_time()):
            return False
        after = self.registry.records[record.identity.address]
        if before is None or before[:1] + before[4:5] != after[:1] + after[4:5]:
            log_event(
                "upstream_registered",
                service=after.identity.service,
                address=f"{after.identity.address.host}:{after.identity.address.port}",
                data_centre=after.data_centre,
                phase=after.phase.value,
            )
        return True

    def receive_records(self, sender: str, body: bytes) -> None:
        """Merge the records of a peer."""
        for record in decode_records(body):
            self.merge(record)

    async def expire(self) -> None:
        """Remove records that have been silent for too long, until cancelled."""
        while True:
            await anyio.sleep(EXPIRY_INTERVAL_SECONDS)
            now = anyio.current_time()
            for record in self.registry.expire(now, SILENT_SECONDS):
                address = record.identity.address
                log_event(
                    "upstream_silent",
                    service=record.identity.service,
                    address=f"{address.host}:{address.port}",
                )

    async def start(self, group: TaskGroup) -> None:
        """Begin to listen."""
        await start_http_server(group, self.address, self.answer)
        group.start_soon(self.expire)

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="registration", start=self.start)
