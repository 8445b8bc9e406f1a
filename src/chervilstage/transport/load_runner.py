"""Runs a load plan on the event loop."""

from __future__ import annotations

import time
from functools import partial
from pathlib import Path

import anyio

from ..coordination.load_summary import make_report
from ..protocol.load_plan import read_marks
from ..state.load_plan import LoadPlan
from ..state.load_report import LoadReport
from ..state.load_results import LoadResults
from .event_log import log_event
from .load_feeds import run_feed
from .load_packets import run_packets
from .load_requests import run_requests
from .standin_client import StandinReports


async def run_plan(plan: LoadPlan) -> LoadReport:
    """Run a plan to completion and return its report."""
    results = LoadResults()
    standins = StandinReports(sources=plan.standins)
    started, started_at = anyio.current_time(), time.time()
    log_event("load_started", seconds=plan.seconds, seed=plan.seed)
    async with anyio.create_task_group() as background:
        background.start_soon(standins.poll)
        for load in plan.feeds:
            for number in range(load.callers):
                background.start_soon(run_feed, plan, load, number, results)
        async with anyio.create_task_group() as callers:
            packets = partial(run_packets, background, plan, results, started)
            callers.start_soon(packets)
            callers.start_soon(run_requests, callers, plan, results, started)
        await anyio.sleep(plan.settle_seconds)
        background.cancel_scope.cancel()
    reports = await standins.final_reports()
    marks = read_marks(Path(plan.marks_file)) if plan.marks_file else []
    log_event("load_ended", standins=len(reports))
    return make_report(plan, results, reports, marks, started_at)
