"""A stand-in upstream: answers datagrams and requests and announces itself."""

from __future__ import annotations

import socket
import time
from collections.abc import Sequence
from contextlib import suppress
from pathlib import Path
from random import Random

import anyio
from anyio.abc import SocketAttribute, TaskGroup

from ..coordination.standin import (
    PacketKind,
    announced_phase,
    begin_leaving,
    has_active_flows,
    next_updates,
    receive_packet,
    reported_load,
    subscribe,
)
from ..errors import ChervilstageError
from ..errors.load import LoadPacketError
from ..errors.requests import MalformedDatagramError
from ..protocol.announcement import encode_announcement
from ..protocol.load_packets import decode_packet, encode_answer, encode_update
from ..protocol.proxy_header import HEADER_BYTES, ProxiedDatagram, decode_datagram
from ..protocol.standin_control import encode_report
from ..state.load_packets import CallerPacket, FeedUpdate, UpstreamName
from ..state.standin import StandinState
from ..state.types import Address, UpstreamId, UpstreamRecord
from .application import Hooks
from .datagrams import (
    bound_address,
    open_datagram_socket,
    receive_datagrams,
    send_datagram,
)
from .event_log import log_event
from .http_client import http_request
from .standin_control import StandinControl, start_control
from .standin_requests import StandinRequests

ANNOUNCE_INTERVAL_SECONDS = 1.0
UPDATE_INTERVAL_SECONDS = 0.5
DRAIN_POLL_SECONDS = 0.05
FLOW_IDLE_SECONDS = 2.0


class StandinServer:
    """A stand-in upstream of one service.

    :param entries: the announcement addresses of entries, tried in turn.
    :param work_seconds: the duration of one request.
    :param control_port: the port for commands, 0 for none.
    :param linger_seconds: how long a planned stop waits for flows and feeds at most.
    :param counters_file: the file that the counters are written to at the end.
    """

    def __init__(
        self,
        *,
        host: str,
        service: str,
        data_centre: str,
        incarnation: int,
        state: StandinState,
        work_seconds: float,
        entries: Sequence[Address],
        control_port: int = 0,
        linger_seconds: float = 0.0,
        counters_file: Path | None = None,
    ) -> None:
        self.entries = entries
        self.control_port = control_port
        self.linger_seconds = linger_seconds
        self.counters_file = counters_file
        self.state = state
        self.datagrams: socket.socket = open_datagram_socket(host, 0)
        self.address = bound_address(self.datagrams)
        self.name = UpstreamName(
            service=service,
            address=f"{host}:{self.address.port}",
            incarnation=incarnation,
            data_centre=data_centre,
        )
        self.requests = StandinRequests(
            name=self.name,
            state=state,
            work_seconds=work_seconds,
            rng=Random(incarnation),
        )
        self.request_port = 0
        self.group: TaskGroup | None = None

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Count a datagram and answer it."""
        try:
            datagram = decode_datagram(data)
        except MalformedDatagramError:
            self.state.count(foreign_packets=1)
            return
        packet = _decode_load_packet(datagram.payload)
        kind = receive_packet(
            self.state,
            caller=datagram.caller,
            entry=Address._make(sender),
            header=data[:HEADER_BYTES],
            named_service=packet.service if packet else "",
            service=self.name.service,
            now=time.time(),
        )
        if kind is not PacketKind.ANSWER:
            return
        if packet is not None and packet.subscribe:
            subscribe(self.state, datagram.caller, packet.flow)
        self.send(data[:HEADER_BYTES] + self.answer_payload(datagram, packet), sender)

    def answer_payload(
        self, datagram: ProxiedDatagram, packet: CallerPacket | None
    ) -> bytes:
        """Return the answer to a datagram, in the format that its sender uses."""
        if packet is not None:
            return encode_answer(self.name, datagram.payload)
        packet_number = self.state.flows[datagram.caller].packet_count
        text = f"{self.name.service} {self.address.port} {packet_number} "
        return text.encode() + datagram.payload

    def send(self, data: bytes, to: tuple[str, int]) -> None:
        """Send a datagram, delayed if a fault is set."""
        delay_seconds = self.state.faults.late_ms / 1000
        if delay_seconds and self.group:
            self.group.start_soon(self.send_late, delay_seconds, data, to)
        else:
            send_datagram(self.datagrams, data, to)

    async def send_late(
        self, delay_seconds: float, data: bytes, to: tuple[str, int]
    ) -> None:
        """Send a datagram after a delay."""
        await anyio.sleep(delay_seconds)
        send_datagram(self.datagrams, data, to)

    async def push_updates(self) -> None:
        """Push feed updates through the entries that callers last used."""
        while True:
            await anyio.sleep(UPDATE_INTERVAL_SECONDS)
            for _, flow in next_updates(self.state):
                update = FeedUpdate(
                    upstream=self.name, feed=flow.subscription, number=flow.updates
                )
                self.send(flow.header + encode_update(update), flow.entry)

    def make_record(self) -> UpstreamRecord:
        """Return the next announcement."""
        self.state.sequence += 1
        return UpstreamRecord(
            identity=UpstreamId(
                address=self.address,
                incarnation=self.name.incarnation,
                service=self.name.service,
            ),
            request_address=Address(host=self.address.host, port=self.request_port),
            data_centre=self.name.data_centre,
            sequence=self.state.sequence,
            phase=announced_phase(self.state),
            slots=self.state.slots,
            load=reported_load(self.state),
        )

    async def announce(self) -> None:
        """Announce once to the first entry that answers."""
        body = encode_announcement(self.make_record())
        for entry in self.entries:
            with suppress(ChervilstageError):
                answer = await http_request(
                    entry, "POST", "/v1/announce", body=body, timeout_seconds=1.0
                )
                if answer.status == 204:
                    return
        log_event("announcement_failed", service=self.name.service)

    async def announce_periodically(self) -> None:
        """Announce at each announcement interval until cancelled."""
        while True:
            if self.state.faults.announcing:
                await self.announce()
            await anyio.sleep(ANNOUNCE_INTERVAL_SECONDS)

    async def leave(self) -> None:
        """Announce that this upstream is leaving, without stopping it."""
        begin_leaving(self.state, time.time())
        await self.announce()

    def report(self) -> bytes:
        """Return the counters as JSON."""
        return encode_report(self.name, self.state)

    def control(self) -> StandinControl:
        """Return the state and the operations for the control port."""
        return StandinControl(
            state=self.state,
            silence_open=self.requests.silence_open_connections,
            leave=self.leave,
            report=self.report,
        )

    async def start(self, group: TaskGroup) -> None:
        """Start listening and announcing."""
        self.group = group
        listener = await anyio.create_tcp_listener(
            local_host=self.address.host, local_port=0
        )
        self.request_port = listener.extra(SocketAttribute.local_port)
        group.start_soon(receive_datagrams, self.datagrams, self.receive)
        group.start_soon(listener.serve, self.requests.serve_connection)
        if self.control_port:
            address = Address(host=self.address.host, port=self.control_port)
            await start_control(group, address, self.control())
        group.start_soon(self.push_updates)
        group.start_soon(self.announce_periodically)
        log_event(
            "standin_listening",
            service=self.name.service,
            datagrams=self.name.address,
            requests=f"{self.address.host}:{self.request_port}",
            control=self.control_port,
        )

    async def drain(self) -> None:
        """Announce leaving, wait for active flows and answers, and announce the end."""
        await self.leave()
        seconds = self.remaining_linger_seconds()
        while seconds > 0:
            await anyio.sleep(min(seconds, DRAIN_POLL_SECONDS))
            seconds = self.remaining_linger_seconds()
        self.state.are_feeds_ending = True
        await self.requests.wait_idle()
        self.state.has_left = True
        await self.announce()

    def remaining_linger_seconds(self) -> float:
        """Return how many seconds a planned stop may still wait for flows or feeds."""
        now = time.time()
        if not has_active_flows(self.state, now, FLOW_IDLE_SECONDS):
            return 0.0
        return self.state.leaving_at + self.linger_seconds - now

    async def stop(self) -> None:
        """Write the counters."""
        if self.counters_file:
            self.counters_file.write_bytes(self.report())

    def hooks(self) -> Hooks:
        """Return the life-cycle hooks."""
        return Hooks(name="standin", start=self.start, drain=self.drain, stop=self.stop)


def _decode_load_packet(payload: bytes) -> CallerPacket | None:
    try:
        return decode_packet(payload)
    except LoadPacketError:
        return None
