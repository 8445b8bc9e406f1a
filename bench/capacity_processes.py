"""Measure what daemons use per announcement, poll, request and packet, and at idle."""

from __future__ import annotations

import os
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable, Iterator
from functools import partial
from pathlib import Path

import anyio
from prometheus_client.parser import text_string_to_metric_families

from chervilstage.errors import ChervilstageError
from chervilstage.protocol.announcement import encode_announcement
from chervilstage.protocol.control_messages import ConfigurationQuery, encode_query
from chervilstage.protocol.kinds import Kind
from chervilstage.state.counters import Counters
from chervilstage.state.types import (
    Address,
    UpstreamId,
    UpstreamPhase,
    UpstreamRecord,
)
from chervilstage.transport.frame_channel import FrameClient
from chervilstage.transport.http_client import http_request
from testing.support.process_cluster import (
    CONTROL_PORT,
    KEY,
    METRICS_PORT,
    PLATFORM_PORT,
    ProcessCluster,
)
from testing.support.processes import StartedProcess

from .slopes import Point, Slope

MILLISECONDS_PER_SECOND = 1e3
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
WORK_COUNTS = (200, 500, 1_000)
MAX_CONCURRENT_CALLS = 16
ENTRY_COUNTS = (1, 2, 4, 8)
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 5.0
TCP_PORT = 8001
UDP_PORT = 7001
PACKETS_IN_FLIGHT = 32


def processor_seconds(daemon: StartedProcess) -> float:
    """Return the processor time that a daemon has used, in seconds."""
    fields = Path(f"/proc/{daemon.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_SECOND


def resident_bytes(daemon: StartedProcess) -> int:
    """Return the resident memory of a daemon."""
    statm = Path(f"/proc/{daemon.process.pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def measure_daemon_slope(
    name: str, per: str, daemon: StartedProcess, send_work: Callable[[int], None]
) -> Slope:
    """Return the slope of a daemon's processor time over the amount of work sent."""
    points = []
    for count in WORK_COUNTS:
        seconds_before = processor_seconds(daemon)
        send_work(count)
        spent_seconds = processor_seconds(daemon) - seconds_before
        points.append(Point(size=count, cost=spent_seconds * MILLISECONDS_PER_SECOND))
    return Slope(name=name, unit="ms", per=per, points=tuple(points))


async def run_concurrently(count: int, call: Callable[[int], Awaitable[None]]) -> None:
    """Make calls concurrently, at most ``MAX_CONCURRENT_CALLS`` at a time."""
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)
    failures: list[str] = []

    async def run_call(number: int) -> None:
        async with limiter:
            try:
                await call(number)
            except ChervilstageError as error:
                failures.append(str(error))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(run_call, number)
    if failures:
        print(f"# {len(failures)} of {count} calls failed: {failures[0]}")


def make_announcement(number: int) -> bytes:
    """Return the announcement of one of a hundred upstreams."""
    address = Address(host=f"127.9.0.{number % 100 + 1}", port=9000)
    return encode_announcement(
        UpstreamRecord(
            identity=UpstreamId(address=address, incarnation=1, service="alley-desk"),
            request_address=address._replace(port=9001),
            data_centre="gl-erie",
            sequence=number + 1,
            phase=UpstreamPhase.READY,
            slots=4,
            load=0,
        )
    )


def send_announcements(entry: Address, count: int) -> None:
    """Send announcements to an entry, each over a new connection."""

    async def call(number: int) -> None:
        await http_request(
            entry, "POST", "/v1/announce", body=make_announcement(number)
        )

    anyio.run(run_concurrently, count, call)


def poll_configuration(control: Address, count: int) -> None:
    """Poll a control replica that has no newer configuration."""
    query = encode_query(ConfigurationQuery(revision=1_000, wait_seconds=0.0))

    async def run_polls() -> None:
        client = FrameClient(name="poller", key=KEY.encode(), counters=Counters())

        async def call(number: int) -> None:
            await client.call(control, Kind.CONFIGURATION_FETCH, query, 5.0)

        await run_concurrently(count, call)
        await client.stop()

    anyio.run(run_polls)


def send_requests(entry: Address, count: int) -> None:
    """Send requests through an entry, each over a new connection."""

    async def call(number: int) -> None:
        await http_request(entry, "GET", "/alleys")

    anyio.run(run_concurrently, count, call)


def send_packets(host: str, count: int) -> None:
    """Send rounds of packets through an entry and wait for their answers.

    :param count: number of rounds, of ``PACKETS_IN_FLIGHT`` packets each.
    """
    payload = b"packet" * 10
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.settimeout(1.0)
        for _ in range(count):
            for _ in range(PACKETS_IN_FLIGHT):
                sock.sendto(payload, (host, UDP_PORT))
            for _ in range(PACKETS_IN_FLIGHT):
                try:
                    sock.recv(2048)
                except TimeoutError:
                    break


def daemon_slopes() -> Iterator[Slope]:
    """Measure the work of one control replica and one entry with one upstream."""
    with tempfile.TemporaryDirectory() as folder:
        cluster = ProcessCluster(folder=Path(folder), layout=["gl-erie"])
        try:
            cluster.start_all()
            control = cluster.processes.started[0]
            host = cluster.entries[0].host
            entry = cluster.running_entries[cluster.entries[0].name]
            cluster.start_upstream("alley-desk", "gl-erie", "--work-ms", "0.1")
            cluster.wait_for_upstreams("alley-desk", 1)
            send_packets(host, 5)
            platform_address = Address(host=host, port=PLATFORM_PORT)
            replica_address = Address(host=cluster.control_host, port=CONTROL_PORT)
            front_end_address = Address(host=host, port=TCP_PORT)
            yield measure_daemon_slope(
                "control.poll",
                "poll",
                control,
                partial(poll_configuration, replica_address),
            )
            yield measure_daemon_slope(
                "entry.request",
                "request",
                entry,
                partial(send_requests, front_end_address),
            )
            yield measure_daemon_slope(
                "entry.packets",
                f"{PACKETS_IN_FLIGHT} packets and answers",
                entry,
                partial(send_packets, host),
            )
            yield measure_daemon_slope(
                "entry.announcement",
                "announcement",
                entry,
                partial(send_announcements, platform_address),
            )
        finally:
            cluster.close()


def idle_slopes() -> Iterator[Slope]:
    """Measure an idle entry and an idle control replica by the number of entries."""
    costs: dict[str, list[Point]] = {}
    for entry_count in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            cluster = ProcessCluster(
                folder=Path(folder), layout=["gl-erie"] * entry_count
            )
            try:
                cluster.start_all()
                measured = measure_idle_costs(cluster)
            finally:
                cluster.close()
        for name, cost in measured.items():
            costs.setdefault(name, []).append(Point(size=entry_count, cost=cost))
    for name, points in costs.items():
        unit = "bytes/s" if "bytes" in name else "MB" if "resident" in name else "%"
        yield Slope(name=name, unit=unit, per="entry", points=tuple(points))


def measure_idle_costs(cluster: ProcessCluster) -> dict[str, float]:
    """Return what one idle entry and the idle control replica use."""
    time.sleep(SETTLE_SECONDS)
    entry = cluster.running_entries[cluster.entries[0].name]
    control = cluster.processes.started[0]
    seconds_before = processor_seconds(entry), processor_seconds(control)
    sent_bytes = read_control_bytes_sent(cluster.entries[0].host)
    time.sleep(IDLE_SECONDS)
    spent_seconds = (
        processor_seconds(entry) - seconds_before[0],
        processor_seconds(control) - seconds_before[1],
    )
    sent_bytes = read_control_bytes_sent(cluster.entries[0].host) - sent_bytes
    return {
        "idle.entry_processor": 100 * spent_seconds[0] / IDLE_SECONDS,
        "idle.control_processor": 100 * spent_seconds[1] / IDLE_SECONDS,
        "idle.entry_bytes_sent": sent_bytes / IDLE_SECONDS,
        "idle.entry_resident": resident_bytes(entry) / 1e6,
        "idle.control_resident": resident_bytes(control) / 1e6,
    }


def read_control_bytes_sent(host: str) -> float:
    """Return the bytes of control messages that an entry sent, excluding headers."""

    async def fetch_metrics() -> str:
        address = Address(host=host, port=METRICS_PORT)
        return (await http_request(address, "GET", "/metrics")).body.decode()

    families = text_string_to_metric_families(anyio.run(fetch_metrics))
    return sum(
        sample.value
        for family in families
        if family.name == "chervilstage_control_bytes_sent"
        for sample in family.samples
        if sample.name.endswith("_total")
    )
