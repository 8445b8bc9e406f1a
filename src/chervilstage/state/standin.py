"""The state of a stand-in upstream."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple

from .types import Address


class Faults(NamedTuple):
    """The faults that a stand-in currently injects.

    ``shed_share`` is the share of requests refused although a slot is free.
    ``late_ms`` delays each answer. ``crossed`` swaps the answers of two requests.
    ``repeated`` sends each answer twice on its connection. ``silent_next`` is the
    number of connections to accept and never answer. ``silent_packets`` drops all
    datagrams. ``reported_load`` replaces the load in announcements and
    ``report_lag`` is how many announcements old that load is. ``reported_health`` is
    ``ready`` or ``failing`` for a false health report, else empty. ``announcing`` is
    false if the stand-in has stopped announcing itself.
    """

    shed_share: float = 0.0
    late_ms: float = 0.0
    crossed: bool = False
    repeated: bool = False
    silent_next: int = 0
    silent_packets: bool = False
    reported_load: int = -1
    report_lag: int = 0
    reported_health: str = ""
    announcing: bool = True


class StandinFlow(NamedTuple):
    """A stand-in's state of one flow.

    ``packet_count`` counts the packets received. ``entry`` relayed the last packet, and
    ``header`` is the header of that packet. ``subscription`` names the feed that the
    caller has subscribed to, empty if none, and ``updates`` counts the updates pushed.
    """

    packet_count: int
    entry: Address
    header: bytes
    last_packet_at: float
    subscription: str = ""
    updates: int = 0


class StandinCounts(NamedTuple):
    """The counts of a stand-in.

    ``requests_cold`` counts requests received while the capacity was below the number
    of slots, and ``over_capacity_cold`` those of them that exceeded the capacity;
    ``over_capacity_warm`` counts those that exceeded the slots.
    ``over_capacity_turned`` counts the first requests over the capacity after the
    stand-in was reset to cold without an announcement, at most as many as the capacity
    that it lost.
    """

    requests: int = 0
    started: int = 0
    completed: int = 0
    shed: int = 0
    expired: int = 0
    cancelled: int = 0
    requests_cold: int = 0
    over_capacity_cold: int = 0
    over_capacity_warm: int = 0
    over_capacity_turned: int = 0
    uploads_cut: int = 0
    foreign_requests: int = 0
    packets: int = 0
    foreign_packets: int = 0
    flows: int = 0
    new_flows_leaving: int = 0
    new_requests_leaving: int = 0
    updates: int = 0
    feeds: int = 0
    feeds_cut: int = 0


class StandinState:
    """The state and the counts of a stand-in upstream.

    ``runs`` counts how often the work of each idempotency key was run, and
    ``attempt_runs`` the same for each attempt that the load tool named.
    ``allowed_excess`` is how many more requests over the capacity are attributed to its
    last reset to cold. ``are_feeds_ending`` says that open feeds are being ended,
    ``has_left`` that the last announcement reports the end of the stand-in. Times are
    in seconds of the clock whose readings are passed to the decisions, 0 if the event
    has not happened.

    :param slots: how many requests it runs at once when warm.
    :param cold: whether it starts cold.
    :param warm_successes: successes at one capacity before it doubles.
    """

    def __init__(
        self, *, slots: int, cold: bool = False, warm_successes: int = 5
    ) -> None:
        self.slots = slots
        self.warm_successes = warm_successes
        self.capacity = 1 if cold else slots
        self.successes = 0
        self.allowed_excess = 0
        self.in_flight = 0
        self.most_in_flight = 0
        self.open_feeds = 0
        self.leaving = False
        self.are_feeds_ending = False
        self.has_left = False
        self.leaving_at = 0.0
        self.last_new_work_at = 0.0
        self.last_packet_at = 0.0
        self.last_request_at = 0.0
        self.sequence = 0
        self.faults = Faults()
        self.counts = StandinCounts()
        self.runs: Counter[str] = Counter()
        self.attempt_runs: Counter[str] = Counter()
        self.flows: dict[Address, StandinFlow] = {}
        self.load_history: list[int] = []

    def count(self, **increments: int) -> None:
        """Increment counts by name."""
        present = self.counts._asdict()
        self.counts = self.counts._replace(
            **{name: present[name] + more for name, more in increments.items()}
        )
