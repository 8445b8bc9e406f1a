"""The plan document of the load tool, and the file of faults and changes (marks)."""

from __future__ import annotations

from ipaddress import IPv4Address, IPv4Network
from pathlib import Path
from typing import Annotated, Any, NotRequired

from pydantic import ConfigDict, Field, StringConstraints, TypeAdapter, with_config
from typing_extensions import TypedDict

from ..errors.load import LoadAddressError, LoadBoundError
from ..errors.settings import DocumentError, FileUnreadableError
from ..state.load_plan import (
    EntryTarget,
    FeedLoad,
    FlowLoad,
    LoadPlan,
    Mark,
    RequestLoad,
    StandinSource,
)
from ..state.types import Address
from .documents import Name, Port
from .settings import Host
from .validation import duplicate_problems, read_toml, validate

LOOPBACK = IPv4Network("127.0.0.0/8")
MAXIMUM_PACKETS_PER_SECOND = 20_000
MAXIMUM_REQUESTS_PER_SECOND = 2_000
MAXIMUM_CALLERS = 5_000
MAXIMUM_RUN_SECONDS = 600

STRICT = ConfigDict(extra="forbid")
Share = Annotated[float, Field(ge=0, le=1)]
Rate = Annotated[float, Field(gt=0)]
Count = Annotated[int, Field(ge=1)]
Bytes = Annotated[int, Field(ge=0, le=16 * 1024 * 1024)]
Milliseconds = Annotated[int, Field(ge=1, le=600_000)]
LoadName = Annotated[str, StringConstraints(pattern=r"^[a-z0-9-]{1,40}$")]


@with_config(STRICT)
class EntryDocument(TypedDict):
    """An entry that callers use."""

    host: Host
    data_centre: Name


@with_config(STRICT)
class StandinDocument(TypedDict):
    """A stand-in whose counters are read."""

    host: Host
    control_port: Port
    counters_file: NotRequired[str]


@with_config(STRICT)
class FlowDocument(TypedDict):
    """Flows of datagrams to one service."""

    service: Name
    port: Port
    callers: Count
    packets_per_second: Rate
    payload_bytes: NotRequired[Annotated[int, Field(ge=0, le=1_200)]]
    flow_packets: NotRequired[Annotated[int, Field(ge=0)]]
    subscribe: NotRequired[bool]


@with_config(STRICT)
class FeedDocument(TypedDict):
    """Callers that each keep one endless HTTP answer open."""

    service: Name
    port: Port
    callers: Count
    path: NotRequired[str]


@with_config(STRICT)
class RequestDocument(TypedDict):
    """Requests or uploads at a fixed rate."""

    name: LoadName
    service: Name
    port: Port
    method: Annotated[str, StringConstraints(pattern=r"^[A-Z]{1,16}$")]
    path: Annotated[str, StringConstraints(pattern=r"^/[!-~]*$")]
    per_second: Rate
    keyed: NotRequired[bool]
    attempts: NotRequired[Annotated[int, Field(ge=1, le=20)]]
    patience_ms: NotRequired[Milliseconds]
    timeout_ms: NotRequired[Milliseconds]
    body_bytes: NotRequired[Bytes]
    answer_bytes: NotRequired[Annotated[int, Field(ge=0, le=10_000_000)]]
    leave_share: NotRequired[Share]
    half_sent_share: NotRequired[Share]


@with_config(STRICT)
class PlanDocument(TypedDict):
    """The whole plan."""

    seed: int
    seconds: Annotated[float, Field(gt=0, le=MAXIMUM_RUN_SECONDS)]
    entries: Annotated[list[EntryDocument], Field(min_length=1)]
    settle_seconds: NotRequired[Annotated[float, Field(ge=0, le=60)]]
    caller_host: NotRequired[Host]
    planned: NotRequired[bool]
    marks_file: NotRequired[str]
    flows: NotRequired[list[FlowDocument]]
    feeds: NotRequired[list[FeedDocument]]
    requests: NotRequired[list[RequestDocument]]
    standins: NotRequired[list[StandinDocument]]


PLAN = TypeAdapter(PlanDocument)


def read_plan(path: Path) -> LoadPlan:
    """Read and check a plan; file names in it are relative to its folder.

    :raises DocumentError: the file violates the schema or repeats a name.
    :raises LoadAddressError: an address is outside 127.0.0.0/8.
    :raises LoadBoundError: the load exceeds a limit of the tool.
    """
    return parse_plan(read_toml(path), path)


def parse_plan(document: Any, path: Path) -> LoadPlan:
    """Validate a plan document and return its record.

    :param path: the file of the plan, for error messages and relative file names.
    :raises DocumentError: the document violates the schema or repeats a name.
    :raises LoadAddressError: an address is outside 127.0.0.0/8.
    :raises LoadBoundError: the load exceeds a limit of the tool.
    """
    validated: PlanDocument = validate(PLAN, document, str(path))
    _check_addresses(validated, path)
    fields: dict[str, Any] = {
        **validated,
        "entries": tuple(EntryTarget(**e) for e in validated["entries"]),
        "flows": tuple(FlowLoad(**f) for f in validated.get("flows", ())),
        "feeds": tuple(FeedLoad(**f) for f in validated.get("feeds", ())),
        "requests": tuple(RequestLoad(**r) for r in validated.get("requests", ())),
        "standins": tuple(
            _standin_source(s, path) for s in validated.get("standins", ())
        ),
        "marks_file": _resolve_path(path, validated.get("marks_file", "")),
    }
    plan = LoadPlan(**fields)
    _check_bounds(plan, path)
    problems = duplicate_problems("requests.name", (r.name for r in plan.requests))
    if problems:
        raise DocumentError(file=str(path), problems=problems)
    return plan


def read_marks(path: Path) -> list[Mark]:
    """Return the marks in a file, oldest first; none if the file is missing.

    :raises FileUnreadableError: the file cannot be read.
    :raises DocumentError: a line does not begin with a time and a word.
    """
    try:
        lines = path.read_text(encoding="utf-8").splitlines()
    except FileNotFoundError:
        return []
    except (OSError, UnicodeDecodeError) as error:
        raise FileUnreadableError(file=path, reason=error) from error
    marks = [
        _parse_mark(line, number, path) for number, line in enumerate(lines, 1) if line
    ]
    return sorted(marks)


def format_mark(mark: Mark) -> str:
    """Return the line of the marks file for a mark."""
    return f"{mark.at:.3f} {mark.word} {mark.name}".rstrip() + "\n"


def _parse_mark(line: str, number: int, path: Path) -> Mark:
    at, _, text = line.strip().partition(" ")
    word, _, name = text.strip().partition(" ")
    if not at.replace(".", "", 1).isdecimal() or not word:
        problem = f"line {number}: not a time in seconds and a word: {line!r}"
        raise DocumentError(file=str(path), problems=[problem])
    return Mark(at=float(at), word=word, name=name)


def _standin_source(item: StandinDocument, path: Path) -> StandinSource:
    return StandinSource(
        control=Address(host=item["host"], port=item["control_port"]),
        counters_file=_resolve_path(path, item.get("counters_file", "")),
    )


def _resolve_path(path: Path, name: str) -> str:
    return str(path.parent / name) if name else ""


def _check_addresses(document: PlanDocument, path: Path) -> None:
    hosts = [
        (f"entries.{n}.host", e["host"]) for n, e in enumerate(document["entries"])
    ]
    standins = document.get("standins", [])
    hosts += [(f"standins.{n}.host", s["host"]) for n, s in enumerate(standins)]
    hosts.append(("caller_host", document.get("caller_host", "127.0.0.1")))
    for key, host in hosts:
        if not _is_loopback(host):
            raise LoadAddressError(file=path, key=key, address=host)


def _is_loopback(host: str) -> bool:
    try:
        return IPv4Address(host) in LOOPBACK
    except ValueError:
        return False


def _check_bounds(plan: LoadPlan, path: Path) -> None:
    callers = sum(f.callers for f in plan.flows) + sum(f.callers for f in plan.feeds)
    packets = sum(f.packets_per_second for f in plan.flows)
    requests = sum(r.per_second for r in plan.requests)
    for key, value, bound in (
        ("callers", callers, MAXIMUM_CALLERS),
        ("flows.packets_per_second", packets, MAXIMUM_PACKETS_PER_SECOND),
        ("requests.per_second", requests, MAXIMUM_REQUESTS_PER_SECOND),
    ):
        if value > bound:
            raise LoadBoundError(file=path, key=key, value=value, bound=bound)
