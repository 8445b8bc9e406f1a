"""One soak run: load, random faults, and the check of the promises."""

from __future__ import annotations

import json
import time
import traceback
from pathlib import Path
from typing import Any, NamedTuple

import tomli_w

from testing.support.processes import ROOT, StartedProcess, unique_host, wait_until
from testing.support.request_calls import STANDIN_PORT

from .schedule import Event, draw_events, is_planned
from .system import SERVICES, EndEvent, Soak

DEFAULT_SECONDS = 20.0
SETTLE_SECONDS = 5.0
# Promises that hold under all faults, by the number that begins their name.
ALWAYS_CHECKED = frozenset("235678")
# Unplanned faults may move flows and cut requests, so these are checked only in runs
# of planned operations.
CHECKED_IF_PLANNED = frozenset("19")
LOAD_TIMEOUT_SECONDS = 90.0
COMMAND_RETRY_SECONDS = 0.5
TRACE_FRAMES = 5


class SoakResult(NamedTuple):
    """The events of a run and its findings."""

    events: list[Event]
    findings: list[str]


def run_soak(seed: int, seconds: float, folder: Path) -> SoakResult:
    """Run the soak once.

    :param seconds: duration of the load.
    :param folder: where settings, logs and reports go.
    """
    events = draw_events(seed, seconds, 2 * len(SERVICES))
    soak = Soak(folder=folder)
    try:
        soak.start()
        load = start_load(soak, seed, seconds, is_planned(events))
        run_events(soak, events)
        wait_until(load.has_ended, "the end of the load", LOAD_TIMEOUT_SECONDS)
        report = json.loads((folder / "report.json").read_text())
        findings = broken_promises(report, is_planned(events))
        return SoakResult(events=events, findings=findings + soak.findings)
    except (AssertionError, OSError):
        trace = traceback.format_exc(limit=-TRACE_FRAMES)
        return SoakResult(events=events, findings=[*soak.findings, trace])
    finally:
        soak.close()


def start_load(
    soak: Soak, seed: int, seconds: float, is_planned_run: bool
) -> StartedProcess:
    """Start the load tool on all entries."""
    load = (ROOT / "demo" / "lakeshore" / "load.toml").read_text()
    entries = soak.cluster.entries
    plan: dict[str, Any] = {
        "seed": seed,
        "seconds": seconds,
        "settle_seconds": SETTLE_SECONDS,
        "planned": is_planned_run,
        # Concurrent runs must not use each other's ports.
        "caller_host": unique_host(),
        "marks_file": soak.marks.name,
        "entries": [{"host": e.host, "data_centre": e.data_centre} for e in entries],
        "standins": [
            {
                "host": upstream.host,
                "control_port": STANDIN_PORT,
                "counters_file": f"upstream-{number}.json",
            }
            for number, upstream in enumerate(soak.upstreams)
        ],
    }
    path = soak.folder / "plan.toml"
    path.write_text(f"{tomli_w.dumps(plan)}\n{load}")
    soak.marks.touch()
    report = soak.folder / "report.json"
    started = soak.cluster.processes.start(
        "load", "load", ["run", str(path), "--out", str(report), "--quiet"]
    )
    wait_until(lambda: bool(started.log_lines("load_started")), "the start of the load")
    return started


def run_events(soak: Soak, events: list[Event]) -> None:
    """Start and end the events at their times, then wait until the system recovers."""
    started_at = time.monotonic()
    ends: list[tuple[float, EndEvent]] = []
    pending = list(events)
    while pending or ends or soak.pending_commands:
        now = time.monotonic() - started_at
        for due in [due for due in ends if due[0] <= now]:
            ends.remove(due)
            due[1]()
        while pending and pending[0].at <= now:
            event = pending.pop(0)
            ends.append((event.until, soak.start_event(event)))
        soak.try_pending_command()
        times = [at for at, _ in ends] + [event.at for event in pending[:1]]
        if soak.pending_commands:
            times.append(now + COMMAND_RETRY_SECONDS)
        if times:
            time.sleep(max(0.0, min(times) - (time.monotonic() - started_at)))
    soak.wait_recovered()


def broken_promises(report: dict[str, Any], is_planned_run: bool) -> list[str]:
    """Return the broken promises of a load report."""
    checked = ALWAYS_CHECKED | CHECKED_IF_PLANNED if is_planned_run else ALWAYS_CHECKED
    return [
        f"{p['name']}: {p['violations']} of {p['checked']} {p['detail']}"
        for p in report["promises"]
        if p["violations"] and p["name"][0] in checked
    ]
