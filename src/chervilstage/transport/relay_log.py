"""Log lines of the relay of flows, bounded in number under load."""

from __future__ import annotations

import logging
from math import isfinite
from typing import Any

from ..coordination.flow_tokens import flow_token
from ..errors import ChervilstageError
from ..state.counters import Counters
from ..state.flow_packets import DropPacket, FlowPacket, Forward, ResetFlow
from ..state.routing import Endpoint
from ..state.token_flows import TokenRelayState
from ..state.types import UpstreamRecord
from .event_log import log_event
from .log_budget import LogBudget


class RelayLog:
    """Writes a line for each decision within a budget."""

    def __init__(self, *, counters: Counters) -> None:
        self.budget = LogBudget(counters=counters)

    def decided(
        self,
        state: TokenRelayState,
        packet: FlowPacket,
        decision: Forward | ResetFlow | DropPacket,
        now: float,
    ) -> None:
        """Log what became of an opening packet, or why a flow was closed."""
        if not self.budget.may_write("flow_decided", now):
            return
        fields: dict[str, Any] = {
            "flow": f"{endpoint_text(packet.caller)}>{endpoint_text(packet.front)}",
            "opening": packet.is_opening,
            "routing": state.routing.version if state.routing else 0,
        }
        if isinstance(decision, Forward):
            fields |= _placement(state, decision, now)
        else:
            kind = "reset" if isinstance(decision, ResetFlow) else "dropped"
            fields |= {"outcome": kind, "reason": decision.reason}
            if isinstance(decision, ResetFlow) and decision.upstream:
                fields |= _silence(state, decision.upstream, now)
        log_event("flow_decided", **fields)

    def closed(
        self,
        state: TokenRelayState,
        caller: Endpoint,
        front: Endpoint,
        decision: ResetFlow,
        now: float,
    ) -> None:
        """Log a flow that was closed while its caller waited."""
        if self.budget.may_write("flow_closed", now):
            silence = (
                _silence(state, decision.upstream, now) if decision.upstream else {}
            )
            log_event(
                "flow_closed",
                flow=f"{endpoint_text(caller)}>{endpoint_text(front)}",
                reason=decision.reason,
                **silence,
            )

    def refused(
        self, sender: tuple[str, int], error: ChervilstageError, now: float
    ) -> None:
        """Log a datagram that is no packet."""
        if self.budget.may_write("packet_refused", now):
            log_event(
                "packet_refused",
                level=logging.WARNING,
                sender=f"{sender[0]}:{sender[1]}",
                code=error.code,
                reason=error,
            )

    def flush(self) -> None:
        """Log how many lines were left out since the last call."""
        self.budget.flush()


def endpoint_text(endpoint: Endpoint) -> str:
    """Return an endpoint as people write it."""
    host = ".".join(str(byte) for byte in endpoint[:4])
    return f"{host}:{int.from_bytes(endpoint[4:], 'big')}"


def _silence(
    state: TokenRelayState, record: UpstreamRecord, now: float
) -> dict[str, Any]:
    """Return what is known of the upstream of a flow that is closed."""
    load = state.load_of(record)
    address = record.identity.address
    return {
        "upstream": f"{address.host}:{address.port}",
        "unanswered": load.unanswered,
        "answered_ms_ago": milliseconds(now - load.answered_at),
        "asked_ms_ago": milliseconds(now - load.asked_at),
        "in_flight": load.in_flight,
    }


def milliseconds(seconds: float) -> int | str:
    """Return seconds as milliseconds for a log line, ``never`` if there are none."""
    return round(seconds * 1000) if isfinite(seconds) else "never"


def _placement(state: TokenRelayState, decision: Forward, now: float) -> dict[str, Any]:
    address = decision.address
    record = state.registry.records.get(address)
    load = state.loads.get(address)
    heard_at = state.registry.heard_at.get(address, now)
    return {
        "outcome": "forwarded",
        "upstream": f"{address.host}:{address.port}",
        "token": f"{flow_token(record.identity) if record else 0:08x}",
        "in_flight": load.in_flight if load else 0,
        "latency_ms": round(load.latency * 1000) if load else 0,
        "heard_ms_ago": round((now - heard_at) * 1000),
        "sequence": record.sequence if record else 0,
    }
