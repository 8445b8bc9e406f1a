"""Decisions of the stand-in upstream, which tests and demos run."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import NamedTuple

from ..state.standin import StandinFlow, StandinState
from ..state.types import Address, UpstreamPhase

LOAD_HISTORY_LENGTH = 64
MAXIMUM_RECORDED_KEYS = 1_000_000


class Refusal(StrEnum):
    """Why a stand-in rejected a request."""

    EXPIRED = "expired"
    BUSY = "busy"
    SHEDDING = "shedding"


class Arrival(NamedTuple):
    """A request whose body has arrived completely.

    Work must not start at or after ``deadline``. ``service`` is the service that the
    load tool named, empty if it named none.
    """

    deadline: float
    key: str = ""
    attempt: str = ""
    service: str = ""


class PacketKind(StrEnum):
    """How a datagram is handled."""

    ANSWER = "answer"
    FOREIGN = "foreign"
    SILENT = "silent"


class ConnectionKind(StrEnum):
    """How a new connection is handled."""

    SERVE = "serve"
    SILENT = "silent"


def try_start_request(
    state: StandinState, arrival: Arrival, service: str, now: float, rng: Random
) -> Refusal | None:
    """Start a request, or return why it is rejected.

    A rejected request is not counted as a run.

    :param service: the service of this stand-in.
    """
    state.count(requests=1, requests_cold=int(is_cold(state)))
    state.last_request_at = now
    if arrival.service not in ("", service):
        state.count(foreign_requests=1)
    if now >= arrival.deadline:
        state.count(expired=1)
        return Refusal.EXPIRED
    if state.in_flight >= state.capacity:
        _count_excess(state)
        state.count(shed=1)
        return Refusal.BUSY
    if rng.random() < state.faults.shed_share:
        state.count(shed=1)
        return Refusal.SHEDDING
    _start(state, arrival, now)
    return None


def finish_request(state: StandinState, *, completed: bool) -> None:
    """Release the slot of a request and increase the capacity after successes."""
    state.in_flight -= 1
    if not completed:
        state.count(cancelled=1)
        return
    state.count(completed=1)
    if not is_cold(state):
        return
    state.successes += 1
    if state.successes >= state.warm_successes:
        state.successes = 0
        state.capacity = min(state.slots, state.capacity * 2)


def is_cold(state: StandinState) -> bool:
    """Return whether the capacity is below the number of slots."""
    return state.capacity < state.slots


def reset_to_cold(state: StandinState) -> None:
    """Reset the capacity to that of a cold start, without announcing it.

    Entries learn of it only from rejected requests, so until then they may still use
    the capacity that leases granted them before.
    """
    state.allowed_excess = state.capacity - 1
    state.capacity = 1
    state.successes = 0


def work_time_factor(state: StandinState) -> float:
    """Return the factor by which work takes longer than on a warm stand-in."""
    return state.slots / state.capacity


def begin_leaving(state: StandinState, now: float) -> None:
    """Start to leave; later calls have no effect."""
    if not state.leaving:
        state.leaving = True
        state.leaving_at = now


def announced_phase(state: StandinState) -> UpstreamPhase:
    """Return the phase for the next announcement."""
    if state.has_left:
        return UpstreamPhase.LEFT
    return UpstreamPhase.LEAVING if state.leaving else UpstreamPhase.READY


def accept_connection(state: StandinState) -> ConnectionKind:
    """Decide how a new connection is handled."""
    if state.faults.silent_next <= 0:
        return ConnectionKind.SERVE
    remaining = state.faults.silent_next - 1
    state.faults = state.faults._replace(silent_next=remaining)
    return ConnectionKind.SILENT


def receive_packet(
    state: StandinState,
    *,
    caller: Address,
    entry: Address,
    header: bytes,
    named_service: str,
    service: str,
    now: float,
) -> PacketKind:
    """Count a datagram and decide whether it is answered.

    :param entry: the entry that relayed the datagram.
    :param named_service: the service that the datagram names, empty if it names none.
    :param service: the service of this stand-in.
    """
    state.count(packets=1)
    state.last_packet_at = now
    if named_service not in ("", service):
        state.count(foreign_packets=1)
        return PacketKind.FOREIGN
    known_flow = state.flows.get(caller)
    if known_flow is None:
        state.count(flows=1)
        _count_new_flow(state, now)
        known_flow = StandinFlow(
            packet_count=0, entry=entry, header=header, last_packet_at=now
        )
    state.flows[caller] = known_flow._replace(
        packet_count=known_flow.packet_count + 1,
        entry=entry,
        header=header,
        last_packet_at=now,
    )
    return PacketKind.SILENT if state.faults.silent_packets else PacketKind.ANSWER


def subscribe(state: StandinState, caller: Address, feed: str) -> None:
    """Subscribe a caller to a feed; an empty name ends its subscription."""
    state.flows[caller] = state.flows[caller]._replace(subscription=feed)


def next_updates(state: StandinState) -> list[tuple[Address, StandinFlow]]:
    """Return the subscribed flows, each with the number of its next update."""
    if state.faults.silent_packets:
        return []
    due = []
    for caller, flow in state.flows.items():
        if flow.subscription:
            due.append((caller, flow._replace(updates=flow.updates + 1)))
    state.flows.update(due)
    state.count(updates=len(due))
    return due


def reported_load(state: StandinState) -> int:
    """Return the load for the next announcement; faults may make it old or wrong."""
    state.load_history = [
        *state.load_history[-LOAD_HISTORY_LENGTH + 1 :],
        state.in_flight,
    ]
    if state.faults.reported_load >= 0:
        return state.faults.reported_load
    age = min(state.faults.report_lag, len(state.load_history) - 1)
    return state.load_history[-1 - age]


def is_reported_healthy(state: StandinState) -> bool:
    """Return the health that is reported; a fault may make it wrong."""
    if state.faults.reported_health:
        return state.faults.reported_health == "ready"
    return not state.leaving


def has_active_flows(state: StandinState, now: float, idle_seconds: float) -> bool:
    """Return whether a flow was used within the idle time or a feed is open."""
    is_recent = now - state.last_packet_at <= idle_seconds
    return state.open_feeds > 0 or (bool(state.flows) and is_recent)


def _start(state: StandinState, arrival: Arrival, now: float) -> None:
    state.in_flight += 1
    state.most_in_flight = max(state.most_in_flight, state.in_flight)
    state.count(started=1)
    if state.leaving:
        state.count(new_requests_leaving=1)
        state.last_new_work_at = now
    if arrival.key and len(state.runs) < MAXIMUM_RECORDED_KEYS:
        state.runs[arrival.key] += 1
    if arrival.attempt and len(state.attempt_runs) < MAXIMUM_RECORDED_KEYS:
        state.attempt_runs[arrival.attempt] += 1


def _count_new_flow(state: StandinState, now: float) -> None:
    if state.leaving:
        state.count(new_flows_leaving=1)
        state.last_new_work_at = now


def _count_excess(state: StandinState) -> None:
    """Count a request beyond the capacity.

    Those that leases granted before a reset to cold are counted separately.
    """
    if state.allowed_excess > 0:
        state.allowed_excess -= 1
        state.count(over_capacity_turned=1)
    elif is_cold(state):
        state.count(over_capacity_cold=1)
    else:
        state.count(over_capacity_warm=1)
