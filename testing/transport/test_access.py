"""Endpoints between processes reject senders without the key."""

from __future__ import annotations

import socket
from collections.abc import Iterator

import anyio
import pytest
from prometheus_client.parser import text_string_to_metric_families

from chervilstage.errors.access import PeerUnreachableError
from chervilstage.protocol.control_messages import ConfigurationQuery, encode_query
from chervilstage.protocol.envelope import Envelope, encode_envelope
from chervilstage.protocol.kinds import Kind
from chervilstage.protocol.membership_messages import encode_heartbeat
from chervilstage.state.counters import Counters
from chervilstage.state.members import Heartbeat, MemberReport
from chervilstage.state.types import Address
from chervilstage.transport.frame_channel import FrameClient
from chervilstage.transport.http_client import http_request
from testing.support.process_cluster import METRICS_PORT, PEER_PORT, ProcessCluster
from testing.support.processes import wait_until

WRONG_KEY = b"a-key-of-somebody-else-0123456789"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProcessCluster]:
    """Start one control process and two entries."""
    cluster = ProcessCluster(
        folder=tmp_path_factory.mktemp("access"), layout=["gl-erie"] * 2
    )
    try:
        cluster.start_all()
        yield cluster
    finally:
        cluster.close()


def read_metric(host: str, name: str, label: str = "") -> float:
    """Return the current value of an entry's metric, 0 if it is not exported."""

    async def fetch() -> str:
        address = Address(host=host, port=METRICS_PORT)
        return (await http_request(address, "GET", "/metrics")).body.decode()

    for family in text_string_to_metric_families(anyio.run(fetch)):
        for sample in family.samples:
            is_requested = sample.name.removesuffix("_total") == f"chervilstage_{name}"
            if is_requested and sample.labels.get("label", "") == label:
                return float(sample.value)
    return 0.0


def test_datagram_with_a_wrong_key_changes_nothing_and_is_counted(
    cluster: ProcessCluster,
) -> None:
    """Guards against an unauthenticated sender that reports revisions or views."""
    host = cluster.entries[0].host
    revision = read_metric(host, "revision_in_force")
    report = MemberReport(incarnation=2**60, revision=99, view_number=99)
    heartbeat = encode_heartbeat(Heartbeat(sent_at=1.0, echo=0.0, report=report))
    envelope = Envelope(kind=Kind.HEARTBEAT, sender="entry-2", body=heartbeat)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.sendto(encode_envelope(envelope, WRONG_KEY), (host, PEER_PORT))
        sock.sendto(b"\x00" * 40, (host, PEER_PORT))
        sock.sendto(b"", (host, PEER_PORT))
    wait_until(
        lambda: read_metric(host, "peer_messages_refused", "CS-ACCESS-001") >= 3,
        "three refused datagrams counted",
    )
    assert read_metric(host, "revision_in_force") == revision
    assert read_metric(host, "members_live") == 2


def test_frame_with_a_wrong_key_gets_no_answer_and_is_counted(
    cluster: ProcessCluster,
) -> None:
    """Guards against an unauthenticated client that reads the configuration."""
    address = Address(host=cluster.entries[0].host, port=PEER_PORT)

    async def fetch() -> None:
        client = FrameClient(name="stranger", key=WRONG_KEY, counters=Counters())
        query = encode_query(ConfigurationQuery(revision=0, wait_seconds=0.0))
        await client.call(address, Kind.CONFIGURATION_FETCH, query, 5.0)

    with pytest.raises(PeerUnreachableError):
        anyio.run(fetch)
    wait_until(
        lambda: read_metric(address.host, "frames_refused", "CS-ACCESS-001") >= 1,
        "the refused frame counted",
    )


def test_key_never_appears_in_a_log(cluster: ProcessCluster) -> None:
    """Guards against a key that leaks through log files."""
    key = cluster.key_file.read_text()
    for started in cluster.processes.started:
        assert key not in started.log.read_text()
