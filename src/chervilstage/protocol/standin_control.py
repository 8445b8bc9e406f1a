"""The JSON documents of a stand-in's control port."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Literal, NotRequired

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..state.load_packets import UpstreamName
from ..state.standin import Faults, StandinCounts, StandinState
from ..state.standin_report import StandinReport
from .validation import read_file, validate_json

STRICT = ConfigDict(extra="forbid")
Share = Annotated[float, Field(ge=0, le=1)]


@with_config(STRICT)
class FaultsDocument(TypedDict):
    """Faults to set; absent fields keep their values.

    ``cold`` and ``silence_open`` act once: the stand-in returns to its capacity at
    start, and connections that are open at this time are never answered again.
    """

    cold: NotRequired[bool]
    silence_open: NotRequired[bool]
    shed_share: NotRequired[Share]
    late_ms: NotRequired[Annotated[float, Field(ge=0, le=600_000)]]
    crossed: NotRequired[bool]
    repeated: NotRequired[bool]
    silent_next: NotRequired[Annotated[int, Field(ge=0)]]
    silent_packets: NotRequired[bool]
    reported_load: NotRequired[Annotated[int, Field(ge=-1, le=65_535)]]
    report_lag: NotRequired[Annotated[int, Field(ge=0, le=60)]]
    reported_health: NotRequired[Literal["", "ready", "failing"]]
    announcing: NotRequired[bool]


class UpstreamDocument(TypedDict):
    """The name of a stand-in."""

    service: str
    address: str
    incarnation: int
    data_centre: str


class ReportDocument(TypedDict):
    """The counters of a stand-in."""

    upstream: UpstreamDocument
    counts: dict[str, int]
    slots: int
    capacity: int
    in_flight: int
    most_in_flight: int
    leaving: bool
    leaving_at: float
    last_new_work_at: float
    last_packet_at: float
    last_request_at: float
    runs: dict[str, int]
    attempt_runs: dict[str, int]


FAULTS = TypeAdapter(FaultsDocument)
REPORT = TypeAdapter(ReportDocument)


def decode_faults(data: bytes) -> FaultsDocument:
    """Decode a command that sets faults.

    :raises DocumentError: the body is not a valid command.
    """
    document: FaultsDocument = validate_json(FAULTS, data, "faults")
    return document


def changed_faults(faults: Faults, document: FaultsDocument) -> Faults:
    """Return the faults after a command; fields absent from it keep their values."""
    fields = {k: v for k, v in document.items() if k in Faults._fields}
    return Faults(**{**faults._asdict(), **fields})


def encode_report(upstream: UpstreamName, state: StandinState) -> bytes:
    """Return the JSON encoding of a stand-in's counters."""
    report: ReportDocument = {
        "upstream": {
            "service": upstream.service,
            "address": upstream.address,
            "incarnation": upstream.incarnation,
            "data_centre": upstream.data_centre,
        },
        "counts": state.counts._asdict(),
        "slots": state.slots,
        "capacity": state.capacity,
        "in_flight": state.in_flight,
        "most_in_flight": state.most_in_flight,
        "leaving": state.leaving,
        "leaving_at": state.leaving_at,
        "last_new_work_at": state.last_new_work_at,
        "last_packet_at": state.last_packet_at,
        "last_request_at": state.last_request_at,
        "runs": dict(state.runs),
        "attempt_runs": dict(state.attempt_runs),
    }
    return json.dumps(report).encode()


def decode_report(data: bytes, source: str) -> StandinReport:
    """Decode the counters of a stand-in.

    :param source: where the data came from, for error messages.
    :raises DocumentError: the data is not a valid report.
    """
    document: ReportDocument = validate_json(REPORT, data, source)
    known = StandinCounts._fields
    counts = {k: v for k, v in document["counts"].items() if k in known}
    return StandinReport(
        upstream=UpstreamName(**document["upstream"]),
        counts=StandinCounts(**counts),
        slots=document["slots"],
        most_in_flight=document["most_in_flight"],
        leaving_at=document["leaving_at"],
        last_new_work_at=document["last_new_work_at"],
        last_packet_at=document["last_packet_at"],
        last_request_at=document["last_request_at"],
        runs=document["runs"],
        attempt_runs=document["attempt_runs"],
    )


def read_report(path: Path) -> StandinReport:
    """Read the counters that a stand-in wrote on exit.

    :raises FileUnreadableError: the file cannot be read.
    :raises DocumentError: the file is not a valid report.
    """
    return decode_report(read_file(path), str(path))
