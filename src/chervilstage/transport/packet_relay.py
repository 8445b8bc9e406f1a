"""Datagram front ends: relay callers' packets to upstreams, and answers back."""

from __future__ import annotations

import socket
import time
from collections.abc import Callable
from math import isfinite

from anyio import CancelScope, create_task_group
from anyio.abc import TaskGroup

from ..coordination.flow_effects import Drop
from ..coordination.flows import route_packet, should_accept_answer
from ..protocol.proxy_header import (
    HEADER_BYTES,
    PREFIX_BYTES,
    encode_header,
    extract_packed_caller,
    header_writer,
    pack_address,
    unpack_address,
)
from ..state.configuration import Service
from ..state.counters import Counters
from ..state.flow_state import FlowState
from ..state.flow_table import Pin
from ..state.link import Link
from ..state.link_queue import LinkQueue, QueuedPacket
from ..state.types import Address, UpstreamId
from ..state.view import flow_key, service_seed
from .clock import replica_clock
from .datagrams import (
    bound_address,
    open_datagram_socket,
    receive_datagrams,
)
from .event_log import log_event
from .paced_sender import PacedSender
from .pending_packets import PendingPackets


class ServiceRelay:
    """Relays the packets of one service.

    Datagrams to upstreams and to callers share the link; callers are served in turn.

    :param host: the address of this entry for callers and upstreams.
    :param on_packet_pending: called when a packet starts to wait for answers of peers.
    :param link: the network link of this entry.
    """

    def __init__(
        self,
        *,
        host: str,
        service: Service,
        flows: FlowState,
        counters: Counters,
        on_packet_pending: Callable[[], None],
        link: Link | None = None,
    ) -> None:
        self.name = service.name
        self.link = link or Link()
        self.is_paced = isfinite(self.link.bytes_per_second)
        self.flows = flows
        self.counters = counters
        self.on_packet_pending = on_packet_pending
        self.forwarded_counter = ("packets_forwarded", service.name)
        self.returned_counter = ("packets_returned", service.name)
        self.seed = service_seed(service.name)
        self.caller_socket: socket.socket = open_datagram_socket(host, service.udp_port)
        self.upstream_socket: socket.socket = open_datagram_socket(host, 0)
        self.front_address = bound_address(self.caller_socket)
        self.write_header = header_writer(self.front_address)
        self.header_prefix = encode_header(self.front_address, self.front_address)
        self.header_prefix = self.header_prefix[:PREFIX_BYTES]
        self.pending = PendingPackets()
        self.upstream_sender = PacedSender(
            link=self.link,
            queue=LinkQueue(),
            send_queued=self.send_queued_to_upstream,
            counters=counters,
        )
        self.caller_sender = PacedSender(
            link=self.link,
            queue=LinkQueue(),
            send_queued=self.send_queued_to_caller,
            counters=counters,
        )

    def receive_from_caller(self, data: bytes, sender: tuple[str, int]) -> None:
        """Route one packet of a caller."""
        caller = pack_address(*sender)
        key = flow_key(self.seed, caller)
        decision = route_packet(
            state=self.flows, service=self.name, key=key, now=time.monotonic()
        )
        packet = self.write_header(caller) + data
        if isinstance(decision, Pin):
            self.send_to_upstream(key, packet, decision.upstream.address)
        elif isinstance(decision, Drop):
            self.counters.add("packets_dropped", decision.reason)
        elif self.pending.add_packet(key, packet):
            self.on_packet_pending()
        else:
            self.counters.add("packets_dropped", "hold_buffer_full")

    def send_to_upstream(self, key: int, packet: bytes, address: Address) -> None:
        """Send a packet, header included, to an upstream.

        :param key: the key of the packet's flow.
        """
        if self.is_paced:
            self.send_or_enqueue(self.upstream_sender, key, packet, address)
        else:
            self.transmit(self.upstream_socket, packet, address, self.forwarded_counter)

    def send_to_caller(self, key: int, answer: bytes, to: tuple[str, int]) -> None:
        """Send an answer to the caller of a flow."""
        if self.is_paced:
            self.send_or_enqueue(self.caller_sender, key, answer, to)
        else:
            self.transmit(self.caller_socket, answer, to, self.returned_counter)

    def send_or_enqueue(
        self, sender: PacedSender, key: int, datagram: bytes, to: tuple[str, int]
    ) -> None:
        """Send a datagram at once, or queue it until the link has room."""
        now = replica_clock()
        queued = QueuedPacket(flow=key, datagram=datagram, address=to, queued_at=now)
        if sender.has_room(now):
            sender.send_queued(queued, now)
        else:
            sender.enqueue(queued)

    def send_queued_to_upstream(self, queued: QueuedPacket, now: float) -> None:
        """Send a packet to an upstream and account for it on the link."""
        self.link.record_sent(len(queued.datagram), now)
        self.transmit(
            self.upstream_socket,
            queued.datagram,
            queued.address,
            self.forwarded_counter,
        )

    def send_queued_to_caller(self, queued: QueuedPacket, now: float) -> None:
        """Send an answer to a caller and account for it on the link."""
        self.link.record_sent(len(queued.datagram), now)
        self.transmit(
            self.caller_socket, queued.datagram, queued.address, self.returned_counter
        )

    def transmit(
        self,
        sock: socket.socket,
        datagram: bytes,
        to: tuple[str, int],
        counter: tuple[str, str],
    ) -> None:
        """Send a datagram and count it."""
        try:
            sock.sendto(datagram, to)
        except OSError:
            self.counters.add("packets_dropped", "not_sent")
            return
        self.counters.values[counter] += 1

    def release(self, key: int, upstream: UpstreamId | None) -> None:
        """Send the pending packets of a flow, or drop them if it has no upstream."""
        packets = self.pending.remove_packets(key)
        if upstream is None:
            self.counters.add("packets_dropped", "no_upstream", len(packets))
            return
        for packet in packets:
            self.send_to_upstream(key, packet, upstream.address)

    def receive_from_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        """Relay one packet of an upstream to its caller."""
        caller = extract_packed_caller(data, self.header_prefix)
        if caller is None:
            self.counters.add("packets_dropped", "malformed_answer")
            return
        key = flow_key(self.seed, caller)
        if not should_accept_answer(self.flows, self.name, key, sender):
            self.counters.add("packets_dropped", "foreign_answer")
            return
        self.send_to_caller(key, data[HEADER_BYTES:], unpack_address(caller))

    async def run(self, scope: CancelScope) -> None:
        """Relay packets until the scope is cancelled."""
        with scope:
            async with create_task_group() as group:
                group.start_soon(
                    receive_datagrams, self.caller_socket, self.receive_from_caller
                )
                group.start_soon(
                    receive_datagrams, self.upstream_socket, self.receive_from_upstream
                )
                group.start_soon(self.upstream_sender.run)
                group.start_soon(self.caller_sender.run)
        self.caller_socket.close()
        self.upstream_socket.close()

    def start(self, group: TaskGroup) -> CancelScope:
        """Start relaying; cancelling the returned scope ends it."""
        scope = CancelScope()
        group.start_soon(self.run, scope)
        log_event(
            "packet_front_end_listening",
            service=self.name,
            address=f"{self.front_address.host}:{self.front_address.port}",
        )
        return scope
