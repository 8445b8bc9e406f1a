"""The datagram front ends: packets of callers to upstreams and answers back."""

from __future__ import annotations

import socket
from collections.abc import Callable

from anyio import CancelScope, create_task_group
from anyio.abc import TaskGroup

from ..coordination.flows import Forward, route_packet
from ..errors.requests import MalformedDatagramError
from ..protocol.proxy_header import decode_datagram, encode_header
from ..state.configuration import Configuration, Service
from ..state.counters import Counters
from ..state.flow_table import FlowTable
from ..state.registry import UpstreamRegistry
from ..state.types import Address
from .datagrams import (
    bound_address,
    open_datagram_socket,
    receive_datagrams,
    send_datagram,
)
from .event_log import log_event

Clock = Callable[[], float]


class ServiceRelay:
    """Relays the packets of one service.

    :param host: the address of this entry for callers and upstreams.
    :param clock: returns monotonic seconds.
    """

    def __init__(
        self,
        *,
        host: str,
        service: Service,
        registry: UpstreamRegistry,
        configuration: Callable[[], Configuration],
        counters: Counters,
        clock: Clock,
    ) -> None:
        self.service = service
        self.registry = registry
        self.configuration = configuration
        self.counters = counters
        self.clock = clock
        self.table = FlowTable(
            capacity=service.max_flows, idle_seconds=service.flow_idle_seconds
        )
        self.front: socket.socket = open_datagram_socket(host, service.udp_port)
        self.back: socket.socket = open_datagram_socket(host, 0)
        self.front_address = bound_address(self.front)

    def receive_from_caller(self, data: bytes, sender: tuple[str, int]) -> None:
        """Route one packet of a caller."""
        caller = Address._make(sender)
        decision = route_packet(
            service=self.service.name,
            caller=caller,
            table=self.table,
            registry=self.registry,
            configuration=self.configuration(),
            now=self.clock(),
        )
        if not isinstance(decision, Forward):
            self.counters.add("packets_dropped", decision.reason)
            return
        header = encode_header(caller, self.front_address)
        send_datagram(self.back, header + data, decision.upstream.address)
        self.counters.add("packets_forwarded", self.service.name)

    def receive_from_upstream(self, data: bytes, sender: tuple[str, int]) -> None:
        """Return one packet of an upstream to its caller."""
        record = self.registry.records.get(Address._make(sender))
        if record is None or record.identity.service != self.service.name:
            self.counters.add("packets_dropped", "unknown_upstream")
            return
        try:
            datagram = decode_datagram(data)
        except MalformedDatagramError as error:
            self.counters.add("packets_dropped", error.code)
            return
        send_datagram(self.front, datagram.payload, datagram.caller)
        self.counters.add("packets_returned", self.service.name)

    async def run(self, scope: CancelScope) -> None:
        """Relay packets until the scope is cancelled."""
        with scope:
            async with create_task_group() as group:
                group.start_soon(
                    receive_datagrams, self.front, self.receive_from_caller
                )
                group.start_soon(
                    receive_datagrams, self.back, self.receive_from_upstream
                )
        self.front.close()
        self.back.close()

    def start(self, group: TaskGroup) -> CancelScope:
        """Begin to relay; cancelling the returned scope ends it."""
        scope = CancelScope()
        group.start_soon(self.run, scope)
        log_event(
            "packet_front_end_listening",
            service=self.service.name,
            address=f"{self.front_address.host}:{self.front_address.port}",
        )
        return scope
