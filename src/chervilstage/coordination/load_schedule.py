"""Schedule the packets and requests of a load run and select their entries."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from random import Random
from typing import NamedTuple

from ..state.load_plan import FlowLoad, LoadPlan, RequestLoad
from ..state.load_results import CallerOutcome

RETRIED_OUTCOMES = (
    CallerOutcome.NOT_RUN,
    CallerOutcome.UNKNOWN,
    CallerOutcome.UNREACHABLE,
    CallerOutcome.CUT,
    CallerOutcome.TIMED_OUT,
)


class ScheduledPacket(NamedTuple):
    """A packet and the entry that it is sent to.

    ``at`` is in seconds from the start of the run. ``flow_number`` numbers the flows of
    a caller and ``sequence`` the packets of a flow.
    """

    at: float
    load: int
    caller: int
    flow_number: int
    sequence: int
    entry: int


class ScheduledRequest(NamedTuple):
    """A request, and the entries in the order in which its caller tries them.

    ``at`` is in seconds from the start of the run. ``token`` is random text for the
    idempotency key. ``leaves`` says that the caller closes the connection before the
    answer, ``half_sent`` that it does so in the middle of the body.
    """

    at: float
    load: int
    number: int
    entries: tuple[int, ...]
    token: str
    leaves: bool
    half_sent: bool


def packet_schedule(plan: LoadPlan) -> Iterator[ScheduledPacket]:
    """Yield the packets of all flows in chronological order.

    Each packet is sent to a random entry, as a fabric with packet spraying does.
    """
    return heapq.merge(
        *(_packets(plan, index, load) for index, load in enumerate(plan.flows))
    )


def request_schedule(plan: LoadPlan) -> Iterator[ScheduledRequest]:
    """Yield the requests of all loads in chronological order.

    Arrivals are independent of answers (open loop), with exponential gaps.
    """
    return heapq.merge(
        *(_requests(plan, index, load) for index, load in enumerate(plan.requests))
    )


def next_entry(
    load: RequestLoad, due: ScheduledRequest, attempts: int, outcome: CallerOutcome
) -> int | None:
    """Return the entry of a caller's next attempt, or ``None`` if it doesn't retry.

    :param attempts: how many attempts were made; the last one ended with ``outcome``.
    """
    if outcome not in RETRIED_OUTCOMES or attempts >= load.attempts:
        return None
    return due.entries[attempts % len(due.entries)]


def make_idempotency_key(unix_ms: int, data_centre: str, token: str) -> str:
    """Return the idempotency key of a request.

    :param data_centre: where the caller sends its first attempt.
    """
    return f"v1.{unix_ms}.{data_centre}.{token}"


def packet_body(seed: int, flow: str, sequence: int, size: int) -> bytes:
    """Return a payload that is unique to a packet of the run."""
    unit = f"{seed}/{flow}/{sequence}/".encode()
    return (unit * (size // len(unit) + 1))[:size]


def _packets(plan: LoadPlan, index: int, load: FlowLoad) -> Iterator[ScheduledPacket]:
    rng = Random(f"{plan.seed}/packets/{index}")
    gap = 1 / load.packets_per_second
    for number in range(int(plan.seconds * load.packets_per_second)):
        round_number, caller = divmod(number, load.callers)
        flow_number, sequence = _flow_position(load, caller, round_number)
        yield ScheduledPacket(
            at=number * gap,
            load=index,
            caller=caller,
            flow_number=flow_number,
            sequence=sequence,
            entry=rng.randrange(len(plan.entries)),
        )


def _flow_position(load: FlowLoad, caller: int, round_number: int) -> tuple[int, int]:
    """Return the flow number and the sequence of a caller's packet.

    Callers start at different positions of their first flow, so that the ends of flows
    are spread evenly over time.
    """
    if not load.flow_packets:
        return 0, round_number + 1
    offset = caller % load.flow_packets
    flow_number, position = divmod(round_number + offset, load.flow_packets)
    return flow_number, position + 1 - (offset if flow_number == 0 else 0)


def _requests(
    plan: LoadPlan, index: int, load: RequestLoad
) -> Iterator[ScheduledRequest]:
    rng = Random(f"{plan.seed}/requests/{index}")
    at, number = rng.expovariate(load.per_second), 0
    while at < plan.seconds:
        number += 1
        leaves = rng.random() < load.leave_share
        yield ScheduledRequest(
            at=at,
            load=index,
            number=number,
            entries=tuple(rng.sample(range(len(plan.entries)), len(plan.entries))),
            token=f"{rng.getrandbits(64):016x}",
            leaves=leaves,
            half_sent=not leaves and rng.random() < load.half_sent_share,
        )
        at += rng.expovariate(load.per_second)
