"""Measure the cost slopes that docs/CAPACITY.md is calculated from."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from chervilstage.coordination.membership import make_heartbeat, receive_heartbeat
from chervilstage.protocol.configuration_records import encode_configuration
from chervilstage.protocol.documents import decode_configuration
from chervilstage.protocol.envelope import Envelope, decode_envelope, encode_envelope
from chervilstage.protocol.kinds import Kind
from chervilstage.protocol.membership_messages import decode_heartbeat, encode_heartbeat
from chervilstage.protocol.upstream_messages import decode_records, encode_records
from chervilstage.state.configuration import (
    Configuration,
    DataCentre,
    Inventory,
    Rules,
    Service,
    ServiceRules,
)
from chervilstage.state.members import MemberReport, MemberTable
from chervilstage.state.registry import UpstreamRegistry
from chervilstage.state.types import (
    Address,
    Peer,
    UpstreamId,
    UpstreamPhase,
    UpstreamRecord,
)

from .capacity_processes import daemon_slopes, idle_slopes
from .slopes import Slope, measure_slope, measure_traced_bytes, min_processor_seconds

KEY = b"k" * 32
MICROSECONDS_PER_SECOND = 1e6
MILLISECONDS_PER_SECOND = 1e3
DATAGRAM_HEADER_BYTES = 28
PEER_COUNTS = (3, 15, 63, 246)
SERVICE_COUNTS = (100, 1_000, 12_000)
RECORD_COUNTS = (10, 100, 1_000, 10_000)


def make_configuration(services: int) -> Configuration:
    """Return a configuration with the given number of services."""
    names = [f"service-{number}" for number in range(services)]
    return Configuration(
        revision=1,
        inventory=Inventory(
            data_centres=tuple(DataCentre(name=f"dc-{n}") for n in range(19)),
            services=tuple(
                Service(
                    name=name,
                    data_centres=(f"dc-{number % 19}", f"dc-{(number + 1) % 19}"),
                    udp_port=1 + number,
                    tcp_port=20_000 + number,
                )
                for number, name in enumerate(names)
            ),
        ),
        rules=Rules(services=tuple(ServiceRules(service=name) for name in names)),
    )


def make_records(count: int) -> list[UpstreamRecord]:
    """Return the given number of upstream records."""
    return [
        UpstreamRecord(
            identity=UpstreamId(
                address=Address(host=f"10.0.{n >> 8}.{n & 255}", port=9000),
                incarnation=1_764_844_346_000,
                service=f"service-{n % 2500}",
            ),
            request_address=Address(host=f"10.0.{n >> 8}.{n & 255}", port=9001),
            data_centre="dc-1",
            sequence=1,
            phase=UpstreamPhase.READY,
            slots=4,
            load=0,
        )
        for n in range(count)
    ]


def make_member_table(peers: int) -> MemberTable:
    """Return the member table of an entry with the given number of peers."""
    table = MemberTable(
        name="entry",
        data_centre="dc-1",
        peers=[
            Peer(
                name=f"entry-{n}",
                data_centre="dc-1",
                address=Address(host="127.0.0.1", port=1 + n),
            )
            for n in range(peers)
        ],
        lease_seconds=1.0,
    )
    table.report = MemberReport(incarnation=1_764_844_346_000_000, revision=9)
    return table


def exchange_heartbeats(table: MemberTable, now: float) -> int:
    """Exchange a heartbeat with each peer and return the number of bytes sent."""
    sent_bytes = 0
    for name in table.members:
        heartbeat = encode_heartbeat(make_heartbeat(table, name, now))
        envelope = Envelope(kind=Kind.HEARTBEAT, sender=table.name, body=heartbeat)
        data = encode_envelope(envelope, KEY)
        sent_bytes += len(data) + DATAGRAM_HEADER_BYTES
        received = decode_envelope(data, KEY)
        receive_heartbeat(table, name, decode_heartbeat(received.body), now)
    return sent_bytes


def membership_slopes() -> Iterator[Slope]:
    """Measure the cost of heartbeats by the number of peers."""
    yield measure_slope(
        "membership.processor",
        "us",
        "peer and heartbeat",
        PEER_COUNTS,
        lambda peer_count: (
            MICROSECONDS_PER_SECOND
            * min_processor_seconds(
                lambda: exchange_heartbeats(make_member_table(peer_count), 5.0)
            )
        ),
    )
    yield measure_slope(
        "membership.bytes",
        "bytes",
        "peer and heartbeat",
        PEER_COUNTS,
        lambda peer_count: exchange_heartbeats(make_member_table(peer_count), 5.0),
    )
    yield measure_slope(
        "membership.memory",
        "bytes",
        "peer",
        PEER_COUNTS,
        lambda peer_count: measure_traced_bytes(lambda: make_member_table(peer_count)),
    )


def configuration_slopes() -> Iterator[Slope]:
    """Measure the cost of a full configuration by the number of services."""
    encoded_configurations = {
        service_count: encode_configuration(make_configuration(service_count))
        for service_count in SERVICE_COUNTS
    }
    yield measure_slope(
        "configuration.bytes",
        "bytes",
        "service",
        SERVICE_COUNTS,
        lambda service_count: len(encoded_configurations[service_count]),
    )
    yield measure_slope(
        "configuration.encode",
        "ms",
        "service",
        SERVICE_COUNTS,
        lambda service_count: (
            MILLISECONDS_PER_SECOND
            * min_processor_seconds(
                lambda: encode_configuration(make_configuration(service_count))
            )
        ),
    )
    yield measure_slope(
        "configuration.decode",
        "ms",
        "service",
        SERVICE_COUNTS,
        lambda service_count: (
            MILLISECONDS_PER_SECOND
            * min_processor_seconds(
                lambda: decode_configuration(encoded_configurations[service_count])
            )
        ),
    )
    yield measure_slope(
        "configuration.memory",
        "bytes",
        "service",
        SERVICE_COUNTS,
        lambda service_count: measure_traced_bytes(
            lambda: decode_configuration(encoded_configurations[service_count])
        ),
    )


def make_registry(records: list[UpstreamRecord]) -> UpstreamRegistry:
    """Return a registry that contains the records."""
    registry = UpstreamRegistry()
    for record in records:
        registry.merge(record, 1.0)
    return registry


def registry_slopes() -> Iterator[Slope]:
    """Measure the cost of upstream records by their number."""
    yield measure_slope(
        "registry.memory",
        "bytes",
        "upstream",
        RECORD_COUNTS,
        lambda record_count: measure_traced_bytes(
            lambda: make_registry(make_records(record_count))
        ),
    )
    yield measure_slope(
        "registry.bytes",
        "bytes",
        "upstream",
        RECORD_COUNTS,
        lambda record_count: len(encode_records(make_records(record_count))),
    )
    yield measure_slope(
        "registry.processor",
        "us",
        "upstream",
        RECORD_COUNTS,
        lambda record_count: (
            MICROSECONDS_PER_SECOND
            * min_processor_seconds(
                lambda: _decode_into_registry(make_records(record_count))
            )
        ),
    )


def _decode_into_registry(records: list[UpstreamRecord]) -> Any:
    return make_registry(decode_records(encode_records(records))[0])


def main() -> None:
    """Measure and print all slopes."""
    for measure_slopes in (
        membership_slopes,
        configuration_slopes,
        registry_slopes,
        daemon_slopes,
        idle_slopes,
    ):
        for slope in measure_slopes():
            print(slope.format_line(), flush=True)


if __name__ == "__main__":
    main()
