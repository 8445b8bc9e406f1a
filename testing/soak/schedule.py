"""Draws the faults and planned operations of a soak run from a seed."""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import NamedTuple

ENTRIES = 4
CONTROLS = 3
DATA_CENTRES = ("gl-erie", "gl-huron")
# The group needs a majority of its entries, and the log a majority of its replicas.
MAX_FAULTY_ENTRIES = 1
MAX_FAULTY_CONTROLS = 1
# Time that recovered processes have before the next fault of their kind.
SETTLE_SECONDS = 3.0
FIRST_FAULT_SECONDS = 2.0
MAX_FAULT_SECONDS = 5.0
MIN_FAULT_SECONDS = 0.3
MEAN_GAP_SECONDS = 1.5
# With this probability the next event follows after the short gap of a series.
SERIES_PROBABILITY = 0.3
SERIES_GAP_SECONDS = 0.2


class EventKind(StrEnum):
    """Kind of a fault or planned operation; the first word names its target."""

    ENTRY_KILL = "entry-kill"
    ENTRY_PAUSE = "entry-pause"
    ENTRY_STOP = "entry-stop"
    CONTROL_KILL = "control-kill"
    CONTROL_TORN = "control-torn"
    CONTROL_PAUSE = "control-pause"
    CONTROL_STOP = "control-stop"
    CONTROL_ALL = "control-all"
    LINK_DELAY = "link-delay"
    LINK_SILENT = "link-silent"
    LINK_CUT = "link-cut"
    LINK_ONE_WAY = "link-one-way"
    LINK_RESET = "link-reset"
    UPSTREAM_PAUSE = "upstream-pause"
    UPSTREAM_FAULTS = "upstream-faults"
    UPSTREAM_LEAVE = "upstream-leave"
    CENTRE_OUT = "centre-out"

    @property
    def target(self) -> str:
        """Return the target: an entry, replica, link, upstream or data centre."""
        return self.value.split("-")[0]


PLANNED = frozenset(
    {EventKind.ENTRY_STOP, EventKind.CONTROL_STOP, EventKind.UPSTREAM_LEAVE}
)
LIMITS = {"entry": MAX_FAULTY_ENTRIES, "control": MAX_FAULTY_CONTROLS}


class Event(NamedTuple):
    """A fault or planned operation.

    ``at`` and ``until`` are in seconds from the start of the load; ``number`` selects
    the process, the link or the data centre.
    """

    at: float
    until: float
    kind: EventKind
    number: int


def draw_events(seed: int, seconds: float, upstream_count: int) -> list[Event]:
    """Return the events of a run, in order; some come in quick series and overlap.

    :param seconds: duration of the load; all events end before its end.
    :param upstream_count: number of stand-ins; only the first of them leaves.
    """
    rng = Random(seed)
    counts = {
        "entry": ENTRIES,
        "control": CONTROLS,
        "link": ENTRIES,
        "upstream": upstream_count,
        "centre": len(DATA_CENTRES),
    }
    events: list[Event] = []
    at = FIRST_FAULT_SECONDS
    while at < seconds - MAX_FAULT_SECONDS:
        kind = rng.choice(list(EventKind))
        until = at + rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        event = Event(
            at=at, until=until, kind=kind, number=rng.randrange(counts[kind.target])
        )
        if kind is EventKind.UPSTREAM_LEAVE:
            event = event._replace(number=0)
        if _is_allowed(event, events):
            events.append(event)
        in_series = rng.random() < SERIES_PROBABILITY
        at += SERIES_GAP_SECONDS if in_series else rng.expovariate(1 / MEAN_GAP_SECONDS)
    return events


def is_planned(events: list[Event]) -> bool:
    """Return whether all events are planned operations, so that no flow may break."""
    return all(event.kind in PLANNED for event in events)


def _is_allowed(event: Event, events: list[Event]) -> bool:
    """Return whether the system must tolerate an event together with the others."""
    if event.kind in (EventKind.UPSTREAM_LEAVE, EventKind.CENTRE_OUT):
        return all(other.kind is not event.kind for other in events)
    target = event.kind.target
    overlapping = [
        other
        for other in events
        if other.kind.target == target and event.at < other.until + SETTLE_SECONDS
    ]
    if target in ("link", "upstream"):
        return all(other.number != event.number for other in overlapping)
    return len(overlapping) < LIMITS[target]
