"""Callers of a load run that send datagrams."""

from __future__ import annotations

import socket
import time

import anyio
from anyio.abc import TaskGroup

from ..coordination.load_checks import (
    check_packet_answer,
    check_update,
    record_sent_packet,
)
from ..coordination.load_schedule import ScheduledPacket, packet_body, packet_schedule
from ..errors.load import LoadPacketError
from ..protocol.load_packets import decode_answer, encode_packet
from ..state.load_packets import CallerPacket, FeedUpdate
from ..state.load_plan import FlowLoad, LoadPlan
from ..state.load_results import AnswerFault, Finding, FlowRecord, LoadResults
from .datagrams import open_datagram_socket, receive_datagrams, send_datagram

PACKETS_PER_BATCH = 32


class PacketCaller:
    """One caller with its own socket and its flow."""

    def __init__(
        self, *, flow: FlowRecord, load: FlowLoad, plan: LoadPlan, results: LoadResults
    ) -> None:
        self.flow = flow
        self.load = load
        self.plan = plan
        self.results = results
        self.scope = anyio.CancelScope()
        self.sock: socket.socket = open_datagram_socket(plan.caller_host, 0)

    def body(self, sequence: int) -> bytes:
        """Return the payload of a packet of this flow."""
        size = self.load.payload_bytes
        return packet_body(self.plan.seed, self.flow.name, sequence, size)

    def send(self, scheduled: ScheduledPacket) -> None:
        """Send one packet to its entry."""
        packet = CallerPacket(
            service=self.load.service,
            flow=self.flow.name,
            sequence=scheduled.sequence,
            subscribe=self.load.subscribe,
            body=self.body(scheduled.sequence),
        )
        record_sent_packet(self.flow, scheduled.sequence, time.time())
        entry_address = (self.plan.entries[scheduled.entry].host, self.load.port)
        if not send_datagram(self.sock, encode_packet(packet), entry_address):
            self.results.counts["packets_not_taken"] += 1

    async def receive_all(self) -> None:
        """Check received packets until the flow expires."""
        with self.scope, self.sock:
            await receive_datagrams(self.sock, self.receive)

    def receive(self, data: bytes, sender: tuple[str, int]) -> None:
        """Check one received packet."""
        now = time.time()
        try:
            answer = decode_answer(data)
        except LoadPacketError as error:
            detail = f"{self.flow.name}: {error}"
            self.results.record_finding(
                Finding(fault=AnswerFault.DAMAGED, at=now, detail=detail)
            )
            return
        if isinstance(answer, FeedUpdate):
            check_update(self.results, self.flow, answer, now)
            return
        body = self.body(answer.packet.sequence)
        check_packet_answer(self.results, self.flow, answer, body, now)


class PacketCallers:
    """The callers of a plan; a flow is opened at its first packet.

    ``open_callers`` is keyed by the numbers of the load, the caller and the flow.

    :param group: runs the receivers of the flows.
    """

    def __init__(
        self, *, group: TaskGroup, plan: LoadPlan, results: LoadResults
    ) -> None:
        self.group = group
        self.plan = plan
        self.results = results
        self.open_callers: dict[tuple[int, int, int], PacketCaller] = {}

    def caller(self, scheduled: ScheduledPacket) -> PacketCaller:
        """Return the caller of a packet; open its flow if needed."""
        flow_id = (scheduled.load, scheduled.caller, scheduled.flow_number)
        if flow_id not in self.open_callers:
            self.open_callers[flow_id] = self.open_flow(scheduled)
            # The previous flow may still receive late answers; the one before it has
            # expired.
            expired = self.open_callers.pop(
                (scheduled.load, scheduled.caller, scheduled.flow_number - 2), None
            )
            if expired is not None:
                expired.scope.cancel()
        return self.open_callers[flow_id]

    def open_flow(self, scheduled: ScheduledPacket) -> PacketCaller:
        """Open a flow."""
        load = self.plan.flows[scheduled.load]
        name = f"f{scheduled.load}-{scheduled.caller}-{scheduled.flow_number}"
        flow = FlowRecord(name=name, service=load.service)
        self.results.flows[name] = flow
        caller = PacketCaller(
            flow=flow, load=load, plan=self.plan, results=self.results
        )
        self.group.start_soon(caller.receive_all)
        return caller


async def run_packets(
    group: TaskGroup, plan: LoadPlan, results: LoadResults, started: float
) -> None:
    """Send the packets of the plan on schedule.

    :param group: runs the receivers, which continue after the last packet is sent.
    :param started: the start of the run, in seconds of the event loop's clock.
    """
    callers = PacketCallers(group=group, plan=plan, results=results)
    for number, scheduled in enumerate(packet_schedule(plan)):
        delay = started + scheduled.at - anyio.current_time()
        if delay > 0 or number % PACKETS_PER_BATCH == 0:
            await anyio.sleep(max(delay, 0))
        callers.caller(scheduled).send(scheduled)
