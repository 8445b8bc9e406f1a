"""The report of a load run as JSON."""

from __future__ import annotations

import json
from pathlib import Path

from pydantic import TypeAdapter
from typing_extensions import TypedDict

from ..state.load_plan import Mark
from ..state.load_report import (
    Imbalance,
    Latency,
    LoadReport,
    Promise,
    RequestSummary,
)
from .validation import read_file, validate_json


class PromiseDocument(TypedDict):
    """The check of one guarantee and the number of its violations."""

    name: str
    violations: int
    checked: int
    detail: str


class LatencyDocument(TypedDict):
    """Quantiles of a latency in milliseconds."""

    name: str
    samples: int
    p50: float
    p90: float
    p99: float
    p999: float
    maximum: float


class RequestSummaryDocument(TypedDict):
    """The outcomes of one load's requests with one home data centre.

    ``in_time`` counts the requests that were answered completely within their deadline.
    """

    load: str
    home: str
    due: int
    in_time: int
    outcomes: dict[str, int]


class ImbalanceDocument(TypedDict):
    """The load (``what``) of the busiest upstream relative to the mean."""

    service: str
    what: str
    upstreams: int
    ratio: float


class MarkDocument(TypedDict):
    """A fault or change and its time, in seconds of the wall clock."""

    at: float
    word: str
    name: str


class LoadReportDocument(TypedDict):
    """The whole report; ``series`` count by second from the start of the run."""

    started_at: float
    seconds: float
    promises: list[PromiseDocument]
    requests: list[RequestSummaryDocument]
    latencies: list[LatencyDocument]
    imbalances: list[ImbalanceDocument]
    counts: dict[str, int]
    broken_flows: dict[str, int]
    findings: list[str]
    marks: list[MarkDocument]
    series: dict[str, dict[int, int]]


REPORT = TypeAdapter(LoadReportDocument)


def encode_load_report(report: LoadReport) -> bytes:
    """Return the JSON encoding of a report."""
    parts = ("promises", "requests", "latencies", "imbalances", "marks")
    document = report._asdict()
    for part in parts:
        document[part] = [item._asdict() for item in document[part]]
    return json.dumps(document, indent=1).encode()


def read_load_report(path: Path) -> LoadReport:
    """Read a report.

    :raises FileUnreadableError: the file cannot be read.
    :raises DocumentError: the file is not a valid report.
    """
    document: LoadReportDocument = validate_json(REPORT, read_file(path), str(path))
    return LoadReport(
        started_at=document["started_at"],
        seconds=document["seconds"],
        promises=tuple(Promise(**item) for item in document["promises"]),
        requests=tuple(RequestSummary(**item) for item in document["requests"]),
        latencies=tuple(Latency(**item) for item in document["latencies"]),
        imbalances=tuple(Imbalance(**item) for item in document["imbalances"]),
        counts=document["counts"],
        broken_flows=document["broken_flows"],
        findings=tuple(document["findings"]),
        marks=tuple(Mark(**item) for item in document["marks"]),
        series=document["series"],
    )
