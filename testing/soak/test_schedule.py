"""Tests of the events that a soak run draws."""

from __future__ import annotations

from itertools import pairwise

from testtools import TestCase

from .schedule import (
    SETTLE_SECONDS,
    Event,
    EventKind,
    draw_events,
    is_planned,
)

SEEDS = range(200)
SECONDS = 20.0
UPSTREAM_COUNT = 6


def overlapping(events: list[Event], target: str) -> list[tuple[Event, Event]]:
    """Return the pairs of overlapping events on one kind of target."""
    matching = [event for event in events if event.kind.target == target]
    return [
        (first, second)
        for index, first in enumerate(matching)
        for second in matching[index + 1 :]
        if second.at < first.until + SETTLE_SECONDS
    ]


class ScheduleTests(TestCase):
    """The events drawn from a seed."""

    def test_seed_reproduces_its_events(self) -> None:
        """Guards against a failed seed that cannot be reproduced."""
        for seed in SEEDS:
            first = draw_events(seed, SECONDS, UPSTREAM_COUNT)
            self.assertEqual(first, draw_events(seed, SECONDS, UPSTREAM_COUNT))

    def test_concurrent_faults_stay_within_tolerated_limits(self) -> None:
        """Guards against findings under more faults than the promises cover."""
        for seed in SEEDS:
            events = draw_events(seed, SECONDS, UPSTREAM_COUNT)
            for target in ("entry", "control", "centre"):
                self.assertEqual([], overlapping(events, target), seed)

    def test_every_kind_is_drawn_and_kinds_overlap(self) -> None:
        """Guards against a schedule that omits a kind of fault, or all overlaps."""
        runs = [draw_events(seed, SECONDS, UPSTREAM_COUNT) for seed in SEEDS]
        drawn = {event.kind for events in runs for event in events}
        self.assertEqual(set(EventKind), drawn)
        overlaps = [
            events
            for events in runs
            if any(b.at < a.until for a, b in pairwise(events))
        ]
        self.assertGreater(len(overlaps), len(runs) / 2)

    def test_events_end_before_the_load(self) -> None:
        """Guards against faults after the load, whose effects are never checked."""
        for seed in SEEDS:
            for event in draw_events(seed, SECONDS, UPSTREAM_COUNT):
                self.assertLess(event.at, event.until)
                self.assertLess(event.until, SECONDS)

    def test_run_is_planned_only_without_unplanned_faults(self) -> None:
        """Guards against broken flows that are tolerated without an unplanned fault."""
        stop = Event(at=1.0, until=2.0, kind=EventKind.ENTRY_STOP, number=0)
        self.assertTrue(is_planned([stop]))
        self.assertFalse(is_planned([stop, stop._replace(kind=EventKind.ENTRY_KILL)]))
