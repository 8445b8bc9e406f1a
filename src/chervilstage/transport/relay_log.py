"""Log lines of the flow relay, limited in rate under load."""

from __future__ import annotations

import logging
from math import isfinite
from typing import Any

from ..coordination.flow_accounting import is_bulk
from ..coordination.flow_tokens import TOKEN_MASK, flow_token
from ..errors import ChervilstageError
from ..state.counters import Counters
from ..state.flow_packets import FlowPacket
from ..state.link import LinkTraffic
from ..state.packet_decisions import DropPacket, Forward, ResetFlow
from ..state.routing import Endpoint
from ..state.token_flows import NEVER, TokenFlow, TokenRelayState
from ..state.types import UpstreamRecord
from .event_log import log_event
from .log_budget import LogBudget
from .loop_lateness import LoopLateness


class RelayLog:
    """Logs decisions on packets within a budget of lines."""

    def __init__(self, *, counters: Counters) -> None:
        self.budget = LogBudget(counters=counters)
        self.closed_flow_budget = LogBudget(counters=counters)
        self.lateness = LoopLateness()

    def log_decision(
        self,
        state: TokenRelayState,
        packet: FlowPacket,
        decision: Forward | ResetFlow | DropPacket,
        now: float,
    ) -> None:
        """Log the decision on an opening packet, or why a flow was closed."""
        if isinstance(decision, ResetFlow) and decision.is_open:
            self.log_closed_flow(state, packet, decision, now)
            return
        if not self.budget.try_consume_line("flow_decided", now):
            return
        fields: dict[str, Any] = {
            "flow": format_flow(packet.caller, packet.front),
            "opening": packet.is_opening,
            "routing": state.routing.version if state.routing else 0,
        }
        if isinstance(decision, Forward):
            fields |= _placement_fields(state, decision, now)
        else:
            kind = "reset" if isinstance(decision, ResetFlow) else "dropped"
            fields |= {"outcome": kind, "reason": decision.reason}
        log_event("flow_decided", **fields)

    def log_move(
        self,
        state: TokenRelayState,
        packet: FlowPacket,
        decision: Forward,
        now: float,
    ) -> None:
        """Log that a flow was found by its token, or that its token was replaced."""
        event = "flow_found" if decision.is_found else "flow_token_replaced"
        if not self.budget.try_consume_line(event, now):
            return
        fields: dict[str, Any] = {
            "flow": format_flow(packet.caller, packet.front),
            "packet_token": f"{packet.token:08x}",
            "packet_upstream": _format_upstream(state, packet.token),
        }
        flow = state.flows.get(packet.caller + packet.front)
        if flow:
            fields |= _flow_fields(flow, now)
        address = decision.address
        log_event(event, **fields, upstream=f"{address.host}:{address.port}")

    def log_closed_flow(
        self,
        state: TokenRelayState,
        packet: FlowPacket,
        decision: ResetFlow,
        now: float,
    ) -> None:
        """Log that a flow was closed although its caller may still use it.

        These lines have a separate budget, so that lines of new flows cannot exhaust
        it.
        """
        if not self.closed_flow_budget.try_consume_line("flow_closed", now):
            return
        fields: dict[str, Any] = {
            "flow": format_flow(packet.caller, packet.front),
            "reason": decision.reason,
            "packet_token": f"{packet.token:08x}",
            "routing": state.routing.version if state.routing else 0,
            "routed": packet.front in state.routes,
            "loop_late_ms": format_milliseconds(self.lateness.max_delay(now)),
        }
        if decision.flow:
            fields |= _flow_fields(decision.flow, now)
            fields |= _upstream_fields(state, decision.flow.upstream, now)
        log_event("flow_closed", **fields)

    def log_refused_packet(
        self, sender: tuple[str, int], error: ChervilstageError, now: float
    ) -> None:
        """Log a datagram that is not a valid packet."""
        if self.budget.try_consume_line("packet_refused", now):
            log_event(
                "packet_refused",
                level=logging.WARNING,
                sender=f"{sender[0]}:{sender[1]}",
                code=error.code,
                reason=error,
            )

    def log_link_load(
        self, state: TokenRelayState, traffic: LinkTraffic, seconds: float
    ) -> None:
        """Log the traffic sent in an interval and the load of the link."""
        log_event(
            "link_load",
            seconds=round(seconds, 1),
            packets=traffic.packets,
            bytes=traffic.bytes,
            utilisation=round(traffic.bytes / seconds / state.link.bytes_per_second, 2),
            ahead_ms=format_milliseconds(traffic.max_backlog_seconds),
            waited_ms=format_milliseconds(traffic.max_wait_seconds),
            queued_packets=state.link.queue.packets,
            data_packets=traffic.data_packets,
            repeated_packets=traffic.repeated_packets,
            bulk_flows=sum(is_bulk(flow) for flow in state.flows.values()),
        )

    def flush(self) -> None:
        """Log how many lines were suppressed since the last call."""
        self.budget.flush()
        self.closed_flow_budget.flush()


def format_flow(caller: Endpoint, front: Endpoint) -> str:
    """Return a flow in the format of log lines."""
    return f"{format_endpoint(caller)}>{format_endpoint(front)}"


def format_endpoint(endpoint: Endpoint) -> str:
    """Return an endpoint as ``host:port``."""
    host = ".".join(str(byte) for byte in endpoint[:4])
    return f"{host}:{int.from_bytes(endpoint[4:], 'big')}"


def _format_upstream(state: TokenRelayState, token: int) -> str:
    """Return the address of a token's upstream, or why there is none."""
    token &= TOKEN_MASK
    record = state.tokens.get(token)
    if record is None:
        return "ended" if token in state.ended else "unknown"
    return f"{record.identity.address.host}:{record.identity.address.port}"


def _flow_fields(flow: TokenFlow, now: float) -> dict[str, Any]:
    """Return the log fields of a flow known to this entry."""
    busy_since = now if flow.busy_since is None else flow.busy_since
    return {
        "held_token": f"{flow.token:08x}",
        "known_ms_ago": format_milliseconds(now - flow.first_seen_at),
        "quiet_ms": format_milliseconds(now - flow.last_seen_at),
        "busy_ms": format_milliseconds(now - busy_since),
    }


def _upstream_fields(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> dict[str, Any]:
    """Return the log fields of the upstream of a closed flow."""
    load = state.load_of(record)
    address = record.identity.address
    heard_at = state.registry.last_received_at
    current = state.registry.records.get(address)
    silence = state.unresponsive_upstreams.get(record.data_centre)
    return {
        "upstream": f"{address.host}:{address.port}",
        "incarnation": record.identity.incarnation,
        "current": current.identity.incarnation if current else "none",
        "phase": current.phase.value if current else "none",
        "sequence": current.sequence if current else 0,
        "heard_ms_ago": format_milliseconds(now - heard_at.get(address, NEVER)),
        "others_heard_ms_ago": format_milliseconds(
            now - max(heard_at.values(), default=NEVER)
        ),
        "unanswered": load.unanswered,
        "answered_ms_ago": format_milliseconds(now - load.answered_at),
        "asked_ms_ago": format_milliseconds(now - load.asked_at),
        "in_flight": load.in_flight,
        "data_centre": record.data_centre,
        "out": record.data_centre in state.out,
        "silent_upstreams": len(silence.addresses) if silence else 0,
        "silence_ms": format_milliseconds(now - silence.since) if silence else "none",
    }


def format_milliseconds(seconds: float) -> int | str:
    """Return seconds as milliseconds for a log line, ``never`` if they are infinite."""
    return round(seconds * 1000) if isfinite(seconds) else "never"


def _placement_fields(
    state: TokenRelayState, decision: Forward, now: float
) -> dict[str, Any]:
    address = decision.address
    record = state.registry.records.get(address)
    load = state.loads.get(address)
    heard_at = state.registry.last_received_at.get(address, now)
    return {
        "outcome": "forwarded",
        "upstream": f"{address.host}:{address.port}",
        "token": f"{flow_token(record.identity) if record else 0:08x}",
        "in_flight": load.in_flight if load else 0,
        "latency_ms": round(load.latency * 1000) if load else 0,
        "heard_ms_ago": round((now - heard_at) * 1000),
        "sequence": record.sequence if record else 0,
    }
