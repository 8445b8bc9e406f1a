"""Collects the names that leave the processes, from the source and from the types."""

from __future__ import annotations

import ast
import enum
import importlib
import inspect
import pkgutil
import re
import string
import typing
from collections.abc import Iterable, Iterator, Sequence
from pathlib import Path
from types import ModuleType
from typing import Any, NamedTuple

import click
import typer

import chervilstage
from chervilstage.errors.base import error_types
from chervilstage.programs import control, ctl, entry, load, standin
from chervilstage.protocol.kinds import Kind
from chervilstage.state import outcomes, packet_decisions

SOURCE = Path(chervilstage.__file__).parent
# Records whose field names are log keys, JSON keys, labels or part of a stored size.
RECORDS = (
    "LeaseRequestItem",
    "Change",
    "ChangeCommand",
    "ChangeOrigin",
    "ChangeOutcome",
    "Configuration",
    "DataCentre",
    "FlowExplanation",
    "Faults",
    "LeaseGrantItem",
    "LeadershipTransfer",
    "Imbalance",
    "Inventory",
    "Latency",
    "LoadReport",
    "LogEntry",
    "Mark",
    "MembersCommand",
    "OperatorAnswer",
    "OperatorCall",
    "Promise",
    "ReplicaMember",
    "ReplicaSet",
    "RequestMatch",
    "RequestSummary",
    "Route",
    "RoutedService",
    "Routing",
    "RoutingDocument",
    "Rules",
    "Service",
    "ServiceRules",
    "ServiceShare",
    "Snapshot",
    "StandinCounts",
    "HealthChange",
    "VoteReply",
    "Address",
    "Difference",
)
LOG_FUNCTIONS = ("log_event", ".log", "_log")
# Types whose class names are labels of a metric or a reason in an answer.
LABEL_TYPES = (outcomes.Outcome, packet_decisions.PacketDecision)
PROGRAMS = {
    "chervilstage-control": control.app,
    "chervilstage-entry": entry.app,
    "chervilstage-load": load.app,
    "chervilstage-standin": standin.app,
    "chervilstagectl": ctl.app,
}
SCHEMA_NAME = re.compile(
    r"^\s*(?:struct\s+(\w+)|(\w+)\s*@\d+|(\w+)\s*:(?:union|group))"
)


class Module(NamedTuple):
    """The syntax tree of a module, and the folder it is in."""

    folder: str
    tree: ast.Module


def collect_outer_names() -> list[str]:
    """Return one line for each name or group of names that leaves a process."""
    modules = list(_modules())
    rows: set[str] = set()
    for module in modules:
        rows.update(_call_rows(module))
        rows.update(f"word {module.folder} {w!r}" for w in _words(module))
    rows.update(_error_rows())
    rows.update(_command_rows())
    rows.update(_document_rows())
    rows.update(_record_rows())
    rows.update(_enum_rows())
    rows.update(_schema_rows())
    rows.update(f"label {kind.__name__}" for t in LABEL_TYPES for kind in _members(t))
    return sorted(rows)


def _modules() -> Iterator[Module]:
    """Yield the modules of the product."""
    for path in sorted(SOURCE.rglob("*.py")):
        folder = path.relative_to(SOURCE).parts[0]
        yield Module(folder=folder, tree=ast.parse(path.read_text()))


def _call_rows(module: Module) -> Iterator[str]:
    """Yield the counters, events with their keys, and error fields of a module."""
    for node in ast.walk(module.tree):
        if not isinstance(node, ast.Call):
            continue
        keys = " ".join(sorted(k.arg or "**" for k in node.keywords))
        target = ast.unparse(node.func)
        if target.endswith(LOG_FUNCTIONS):
            yield f"event {_event_text(node.args)} {keys}".rstrip()
        elif target.endswith("counters.add"):
            labels = " ".join(_text([label]) for label in node.args[1:2])
            yield f"counter {_text(node.args)} {labels}".rstrip()
        elif target.endswith("Error") and keys:
            yield f"error {target.rpartition('.')[2]} {keys}"


def _event_text(arguments: list[ast.expr]) -> str:
    """Return the event of a call: its first literal argument, ``{}`` without one."""
    literals = (a for a in arguments if isinstance(a, ast.Constant | ast.JoinedStr))
    return _text(list(literals))


def _text(arguments: Sequence[ast.expr]) -> str:
    """Return the shape of the first argument: literal text, ``{}`` for the rest."""
    if not arguments:
        return "{}"
    first = arguments[0]
    if isinstance(first, ast.Constant):
        return str(first.value)
    if isinstance(first, ast.JoinedStr):
        parts = (p.value if isinstance(p, ast.Constant) else "{}" for p in first.values)
        return "".join(map(str, parts))
    return "{}"


def _words(module: Module) -> set[str]:
    """Return the string literals of a module that are one word."""
    skipped = set(map(id, _inner_texts(module.tree)))
    found: set[str] = set()
    for node in _walk_except(module.tree, skipped):
        if isinstance(node, ast.JoinedStr):
            text = _text([node])
        elif isinstance(node, ast.Constant) and isinstance(node.value, str):
            text = node.value
        else:
            continue
        if text and not any(c.isspace() for c in text):
            found.add(text)
    return found


def _inner_texts(tree: ast.Module) -> Iterator[ast.AST]:
    """Yield docstrings, annotations and ``__slots__``, which no process gives out."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
            yield node
        elif isinstance(node, ast.arg | ast.AnnAssign) and node.annotation:
            yield node.annotation
        elif (
            isinstance(node, ast.Assign) and ast.unparse(node.targets[0]) == "__slots__"
        ):
            yield node


def _walk_except(node: ast.AST, skipped: set[int]) -> Iterator[ast.AST]:
    if id(node) in skipped:
        return
    yield node
    if isinstance(node, ast.JoinedStr):
        return
    for child in ast.iter_child_nodes(node):
        yield from _walk_except(child, skipped)


def _error_rows() -> Iterator[str]:
    _import_all()
    for error in error_types():
        if error.__module__.startswith("chervilstage."):
            parsed = string.Formatter().parse(error.template)
            fields = sorted({field for _, field, _, _ in parsed if field})
            retry = "retryable" if error.retryable else "final"
            yield f"code {error.code} {retry} {' '.join(fields)}".rstrip()
            # The class name is a label of counters and a reason in answers.
            yield f"label {error.__name__}"


def _command_rows() -> Iterator[str]:
    for program, app in PROGRAMS.items():
        yield from _parameters(program, typer.main.get_command(app))


def _parameters(path: str, command: click.Command) -> Iterator[str]:
    for parameter in command.params:
        names = " ".join([*parameter.opts, *parameter.secondary_opts])
        variable = parameter.envvar or ""
        yield f"flag {path} {names} {variable}".rstrip()
    for name, child in getattr(command, "commands", {}).items():
        yield f"command {path} {name}"
        yield from _parameters(f"{path} {name}", child)


def _import_all() -> list[ModuleType]:
    found = pkgutil.walk_packages(chervilstage.__path__, "chervilstage.")
    return [importlib.import_module(m.name) for m in found if "__main__" not in m.name]


def _classes() -> Iterator[type[Any]]:
    for module in _import_all():
        for _, value in inspect.getmembers(module, inspect.isclass):
            if value.__module__ == module.__name__:
                yield value


def _document_rows() -> Iterator[str]:
    for value in _classes():
        if typing.is_typeddict(value) or hasattr(value, "__required_keys__"):
            yield f"document {' '.join(sorted(value.__annotations__))}"


def _record_rows() -> Iterator[str]:
    by_name = {value.__name__: value for value in _classes()}
    for name in RECORDS:
        yield f"record {' '.join(by_name[name]._fields)}"


def _enum_rows() -> Iterator[str]:
    for value in _classes():
        if issubclass(value, enum.Enum):
            yield f"enum {' '.join(str(member.value) for member in value)}"
    yield f"kind {' '.join(f'{kind.name}={kind.value}' for kind in Kind)}"


def _schema_rows() -> Iterator[str]:
    for path in sorted(SOURCE.rglob("*.capnp")):
        for line in path.read_text().splitlines():
            if match := SCHEMA_NAME.match(line):
                name = next(filter(None, match.groups()))
                yield f"schema {path.stem} {name}"


def _members(union: Any) -> Iterable[type[Any]]:
    return typing.get_args(union)
