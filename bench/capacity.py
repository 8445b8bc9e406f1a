"""Measure the slopes that docs/CAPACITY.md is worked out from."""

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
from .slopes import Slope, bytes_held, measure_slope, processor_seconds

KEY = b"k" * 32
MICROSECONDS = 1e6
MILLISECONDS = 1e3
DATAGRAM_HEADER_BYTES = 28
PEER_COUNTS = (3, 15, 63, 246)
SERVICE_COUNTS = (100, 1_000, 12_000)
RECORD_COUNTS = (10, 100, 1_000, 10_000)


def configuration_of(services: int) -> Configuration:
    """Return a configuration with that many services."""
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


def records_of(count: int) -> list[UpstreamRecord]:
    """Return that many upstream records."""
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


def member_table(peers: int) -> MemberTable:
    """Return the table of an entry with that many peers."""
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


def heartbeat_round(table: MemberTable, now: float) -> int:
    """Send a heartbeat to each peer, take one from each, and return the bytes sent."""
    sent = 0
    for name in table.members:
        heartbeat = encode_heartbeat(make_heartbeat(table, name, now))
        envelope = Envelope(kind=Kind.HEARTBEAT, sender=table.name, body=heartbeat)
        data = encode_envelope(envelope, KEY)
        sent += len(data) + DATAGRAM_HEADER_BYTES
        received = decode_envelope(data, KEY)
        receive_heartbeat(table, name, decode_heartbeat(received.body), now)
    return sent


def membership_slopes() -> Iterator[Slope]:
    """Measure heartbeats by the number of peers."""
    yield measure_slope(
        "membership.processor",
        "us",
        "peer and heartbeat",
        PEER_COUNTS,
        lambda n: (
            MICROSECONDS
            * processor_seconds(lambda: heartbeat_round(member_table(n), 5.0))
        ),
    )
    yield measure_slope(
        "membership.bytes",
        "bytes",
        "peer and heartbeat",
        PEER_COUNTS,
        lambda n: heartbeat_round(member_table(n), 5.0),
    )
    yield measure_slope(
        "membership.memory",
        "bytes",
        "peer",
        PEER_COUNTS,
        lambda n: bytes_held(lambda: member_table(n)),
    )


def configuration_slopes() -> Iterator[Slope]:
    """Measure a whole configuration by the number of services."""
    encoded = {n: encode_configuration(configuration_of(n)) for n in SERVICE_COUNTS}
    yield measure_slope(
        "configuration.bytes",
        "bytes",
        "service",
        SERVICE_COUNTS,
        lambda n: len(encoded[n]),
    )
    yield measure_slope(
        "configuration.encode",
        "ms",
        "service",
        SERVICE_COUNTS,
        lambda n: (
            MILLISECONDS
            * processor_seconds(lambda: encode_configuration(configuration_of(n)))
        ),
    )
    yield measure_slope(
        "configuration.decode",
        "ms",
        "service",
        SERVICE_COUNTS,
        lambda n: (
            MILLISECONDS * processor_seconds(lambda: decode_configuration(encoded[n]))
        ),
    )
    yield measure_slope(
        "configuration.memory",
        "bytes",
        "service",
        SERVICE_COUNTS,
        lambda n: bytes_held(lambda: decode_configuration(encoded[n])),
    )


def registry_of(records: list[UpstreamRecord]) -> UpstreamRegistry:
    """Return a registry that holds the records."""
    registry = UpstreamRegistry()
    for record in records:
        registry.merge(record, 1.0)
    return registry


def registry_slopes() -> Iterator[Slope]:
    """Measure upstream records by their number."""
    yield measure_slope(
        "registry.memory",
        "bytes",
        "upstream",
        RECORD_COUNTS,
        lambda n: bytes_held(lambda: registry_of(records_of(n))),
    )
    yield measure_slope(
        "registry.bytes",
        "bytes",
        "upstream",
        RECORD_COUNTS,
        lambda n: len(encode_records(records_of(n))),
    )
    yield measure_slope(
        "registry.processor",
        "us",
        "upstream",
        RECORD_COUNTS,
        lambda n: MICROSECONDS * processor_seconds(lambda: _receive(records_of(n))),
    )


def _receive(records: list[UpstreamRecord]) -> Any:
    return registry_of(decode_records(encode_records(records))[0])


def main() -> None:
    """Print all slopes."""
    for slopes in (
        membership_slopes,
        configuration_slopes,
        registry_slopes,
        daemon_slopes,
        idle_slopes,
    ):
        for slope in slopes():
            print(slope.line(), flush=True)


if __name__ == "__main__":
    main()
