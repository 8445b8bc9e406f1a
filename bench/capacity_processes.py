"""Measure what running daemons spend per announcement, poll, request and packet."""

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
from testing.support.cell import (
    CONTROL_PORT,
    KEY,
    METRICS_PORT,
    PLATFORM_PORT,
    Cell,
)
from testing.support.processes import Started

from .slopes import Point, Slope

MILLISECONDS = 1e3
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
COUNTS = (200, 500, 1_000)
CONCURRENT = 16
ENTRY_COUNTS = (1, 2, 4, 8)
SETTLE_SECONDS = 3.0
IDLE_SECONDS = 5.0
TCP_PORT = 8001
UDP_PORT = 7001
PACKETS_IN_FLIGHT = 32


def processor_time(started: Started) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{started.process.pid}/stat").read_text().rpartition(")")[2]
    user, system = fields.split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS


def resident_bytes(started: Started) -> int:
    """Return the resident memory of a process."""
    statm = Path(f"/proc/{started.process.pid}/statm").read_text()
    return int(statm.split()[1]) * PAGE_BYTES


def daemon_slope(
    name: str, per: str, started: Started, work: Callable[[int], None]
) -> Slope:
    """Measure the processor time of a daemon by the amount of work sent to it."""
    points = []
    for count in COUNTS:
        before = processor_time(started)
        work(count)
        spent = processor_time(started) - before
        points.append(Point(size=count, cost=spent * MILLISECONDS))
    return Slope(name=name, unit="ms", per=per, points=tuple(points))


async def many(count: int, call: Callable[[int], Awaitable[None]]) -> None:
    """Make calls with a bounded number of them at once."""
    limiter = anyio.CapacityLimiter(CONCURRENT)
    failures: list[str] = []

    async def one(number: int) -> None:
        async with limiter:
            try:
                await call(number)
            except ChervilstageError as error:
                failures.append(str(error))

    async with anyio.create_task_group() as group:
        for number in range(count):
            group.start_soon(one, number)
    if failures:
        print(f"# {len(failures)} of {count} calls failed: {failures[0]}")


def announcement(number: int) -> bytes:
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


def announce(entry: Address, count: int) -> None:
    """Send announcements to an entry, each over a connection of its own."""

    async def call(number: int) -> None:
        await http_request(entry, "POST", "/v1/announce", body=announcement(number))

    anyio.run(many, count, call)


def poll(control: Address, count: int) -> None:
    """Ask a replica for the configuration when there is none newer."""
    query = encode_query(ConfigurationQuery(revision=1_000, wait_seconds=0.0))

    async def polls() -> None:
        client = FrameClient(name="poller", key=KEY.encode(), counters=Counters())

        async def call(number: int) -> None:
            await client.call(control, Kind.CONFIGURATION_FETCH, query, 5.0)

        await many(count, call)
        await client.stop()

    anyio.run(polls)


def request(entry: Address, count: int) -> None:
    """Send requests through an entry, each over a connection of its own."""

    async def call(number: int) -> None:
        await http_request(entry, "GET", "/alleys")

    anyio.run(many, count, call)


def send_packets(host: str, count: int) -> None:
    """Send that many packets in each of a few flows through an entry and back."""
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
    """Measure one control replica and one entry with one upstream."""
    with tempfile.TemporaryDirectory() as folder:
        cell = Cell(folder=Path(folder), layout=["gl-erie"])
        try:
            cell.start_all()
            control = cell.processes.started[0]
            host = cell.entries[0].host
            entry = cell.running[cell.entries[0].name]
            cell.start_upstream("alley-desk", "gl-erie", "--work-ms", "0.1")
            cell.wait_registered("alley-desk", 1)
            send_packets(host, 5)
            platform = Address(host=host, port=PLATFORM_PORT)
            replica = Address(host=cell.control_host, port=CONTROL_PORT)
            front = Address(host=host, port=TCP_PORT)
            yield daemon_slope("control.poll", "poll", control, partial(poll, replica))
            yield daemon_slope(
                "entry.request", "request", entry, partial(request, front)
            )
            yield daemon_slope(
                "entry.packets",
                f"{PACKETS_IN_FLIGHT} packets and answers",
                entry,
                partial(send_packets, host),
            )
            yield daemon_slope(
                "entry.announcement",
                "announcement",
                entry,
                partial(announce, platform),
            )
        finally:
            cell.close()


def idle_slopes() -> Iterator[Slope]:
    """Measure an entry and the control replica at rest by the number of entries."""
    costs: dict[str, list[Point]] = {}
    for entries in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            cell = Cell(folder=Path(folder), layout=["gl-erie"] * entries)
            try:
                cell.start_all()
                found = idle_costs(cell)
            finally:
                cell.close()
        for name, cost in found.items():
            costs.setdefault(name, []).append(Point(size=entries, cost=cost))
    for name, points in costs.items():
        unit = "bytes/s" if "bytes" in name else "MB" if "resident" in name else "%"
        yield Slope(name=name, unit=unit, per="entry", points=tuple(points))


def idle_costs(cell: Cell) -> dict[str, float]:
    """Return what one entry and the control replica cost at rest."""
    time.sleep(SETTLE_SECONDS)
    entry = cell.running[cell.entries[0].name]
    control = cell.processes.started[0]
    before = processor_time(entry), processor_time(control)
    sent = control_bytes(cell.entries[0].host)
    time.sleep(IDLE_SECONDS)
    spent = processor_time(entry) - before[0], processor_time(control) - before[1]
    sent = control_bytes(cell.entries[0].host) - sent
    return {
        "idle.entry_processor": 100 * spent[0] / IDLE_SECONDS,
        "idle.control_processor": 100 * spent[1] / IDLE_SECONDS,
        "idle.entry_bytes_sent": sent / IDLE_SECONDS,
        "idle.entry_resident": resident_bytes(entry) / 1e6,
        "idle.control_resident": resident_bytes(control) / 1e6,
    }


def control_bytes(host: str) -> float:
    """Return the bytes of control messages that an entry has sent, without headers."""

    async def fetch() -> str:
        address = Address(host=host, port=METRICS_PORT)
        return (await http_request(address, "GET", "/metrics")).body.decode()

    families = text_string_to_metric_families(anyio.run(fetch))
    return sum(
        sample.value
        for family in families
        if family.name == "chervilstage_control_bytes_sent"
        for sample in family.samples
        if sample.name.endswith("_total")
    )
