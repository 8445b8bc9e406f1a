"""The plan of a load test run."""

from __future__ import annotations

from typing import NamedTuple

from .types import Address


class EntryTarget(NamedTuple):
    """An entry that callers connect to, and its data centre."""

    host: str
    data_centre: str


class StandinSource(NamedTuple):
    """Where to read the counters of a stand-in.

    ``counters_file`` is written when the stand-in exits; empty if there is none.
    """

    control: Address
    counters_file: str = ""


class FlowLoad(NamedTuple):
    """Flows of datagrams to one service.

    ``packets_per_second`` is the rate of all callers together. ``flow_packets`` is the
    number of packets after which a caller begins a new flow, 0 for no limit.
    ``subscribe`` requests the updates of a feed from the upstream.
    """

    service: str
    port: int
    callers: int
    packets_per_second: float
    payload_bytes: int = 64
    flow_packets: int = 0
    subscribe: bool = False


class FeedLoad(NamedTuple):
    """Callers that each keep one endless HTTP answer open."""

    service: str
    port: int
    callers: int
    path: str = "/feed"


class RequestLoad(NamedTuple):
    """Requests or uploads at a fixed rate, ``per_second``.

    ``attempts`` is the maximum number of times a caller sends one request; it waits
    ``patience_ms`` for an answer before it tries another entry. ``timeout_ms`` is the
    deadline that the request carries. ``leave_share`` of the callers close the
    connection before the answer, and ``half_sent_share`` in the middle of the body.
    """

    name: str
    service: str
    port: int
    method: str
    path: str
    per_second: float
    keyed: bool = False
    attempts: int = 3
    patience_ms: int = 2_000
    timeout_ms: int = 2_000
    body_bytes: int = 0
    answer_bytes: int = 0
    leave_share: float = 0.0
    half_sent_share: float = 0.0


class LoadPlan(NamedTuple):
    """The complete plan.

    ``settle_seconds`` is how long to wait for answers after the load has ended.
    ``planned`` says that the run includes only planned changes, so that no request may
    be cut.
    """

    seed: int
    seconds: float
    entries: tuple[EntryTarget, ...]
    settle_seconds: float = 3.0
    caller_host: str = "127.0.0.1"
    planned: bool = False
    marks_file: str = ""
    flows: tuple[FlowLoad, ...] = ()
    feeds: tuple[FeedLoad, ...] = ()
    requests: tuple[RequestLoad, ...] = ()
    standins: tuple[StandinSource, ...] = ()


class Mark(NamedTuple):
    """A fault or change and its time, in seconds of the wall clock.

    The words ``out`` (before operators request it), ``out-accepted``, ``back``,
    ``upstream-killed`` and ``entry-killed``, each with a name, affect the verdict on
    the run. Any other word is only a label in the plot.
    """

    at: float
    word: str
    name: str = ""
