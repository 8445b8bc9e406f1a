"""Commands of ``chervilstagectl`` for the running system: reports and members."""

from __future__ import annotations

import time
from datetime import UTC, datetime
from functools import partial
from typing import Annotated, Any

import typer
from rich.table import Table

from ..state.configuration import ChangeOutcome
from .addresses import parse_address
from .ctl_session import (
    ChangeOrigin,
    Session,
    call_or_exit,
    console,
    print_json,
    print_outcome,
    with_shared_options,
)

WATCH_INTERVAL_SECONDS = 2.0
ENTRY_GAUGES = (
    "flows_held",
    "requests_in_flight",
    "upstreams_taking_work",
    "upstreams_warming_owned",
    "upstreams_leaving",
    "upstreams_ejected",
)

TimeOption = Annotated[
    datetime | None, typer.Option(formats=["%Y-%m-%dT%H:%M:%S", "%Y-%m-%d"])
]


@with_shared_options
def status(
    session: Session,
    watch: Annotated[
        bool, typer.Option("--watch", help="Print again every 2 s until interrupted.")
    ] = False,
) -> None:
    """Show every VM: whether it was reached, its revision, flows and upstreams."""
    print_status(session)
    while watch:
        time.sleep(WATCH_INTERVAL_SECONDS)
        print_status(session)


def print_status(session: Session) -> None:
    """Print the status once."""
    document = call_or_exit(partial(session.client.read, "/v1/status"))
    if session.as_json:
        print_json(document)
        return
    console().print(replica_table(document), entry_table(document))
    unreachable = [e["name"] for e in document["entries"] if not e["reachable"]]
    if unreachable:
        typer.echo(f"not reached: {', '.join(unreachable)}")
    if not document["replica"]["quorum"]:
        typer.echo("no quorum: no change is accepted; entries keep their configuration")


def replica_table(document: dict[str, Any]) -> Table:
    """Return the table of the control replicas."""
    answering_replica = document["replica"]
    table = Table(title=f"control replicas, term {answering_replica['term']}")
    for column in ("replica", "data centre", "reached", "revision", "role"):
        table.add_column(column)
    for member in document["members"]:
        is_leader = member["name"] == answering_replica["leader"]
        role = "leader" if is_leader else "voter" if member["voter"] else "learner"
        table.add_row(
            member["name"],
            member["data_centre"],
            "yes" if member["reachable"] else "no",
            _format_number(member["revision"]),
            role,
        )
    return table


def entry_table(document: dict[str, Any]) -> Table:
    """Return the table of the entries."""
    table = Table(title="entries")
    for column in ("entry", "data centre", "reached", "revision"):
        table.add_column(column)
    for gauge in ENTRY_GAUGES:
        table.add_column(gauge.replace("_", " "))
    for entry in document["entries"]:
        table.add_row(
            entry["name"],
            entry["data_centre"],
            "yes" if entry["reachable"] else "no",
            _format_number(entry["revision"]),
            *(_format_number(entry["gauges"].get(gauge)) for gauge in ENTRY_GAUGES),
        )
    return table


@with_shared_options
def audit(
    session: Session,
    since: TimeOption = None,
    until: TimeOption = None,
    operator: Annotated[str, typer.Option(help="Only changes by this operator.")] = "",
    data_centre: Annotated[
        str, typer.Option(help="Only changes that concern this data centre.")
    ] = "",
    limit: Annotated[int, typer.Option(help="Number of newest entries to show.")] = 100,
) -> None:
    """Show the audit trail; times are in UTC."""
    parameters = {"limit": str(limit)}
    for name, moment in (("since", since), ("until", until)):
        if moment is not None:
            parameters[name] = str(moment.replace(tzinfo=UTC).timestamp())
    for name, value in (("operator", operator), ("data_centre", data_centre)):
        if value:
            parameters[name] = value
    outcomes = call_or_exit(partial(session.client.audit, **parameters))
    if session.as_json:
        print_json([outcome._asdict() for outcome in outcomes])
        return
    console().print(audit_table(outcomes))


def audit_table(outcomes: list[ChangeOutcome]) -> Table:
    """Return the table of the audit trail."""
    table = Table(title="audit trail")
    for column in ("time", "operator", "revision", "outcome", "difference"):
        table.add_column(column)
    table.add_column("operation", no_wrap=True)
    for outcome in outcomes:
        moment = datetime.fromtimestamp(outcome.at, UTC)
        table.add_row(
            moment.strftime("%Y-%m-%d %H:%M:%S"),
            outcome.operator,
            f"{outcome.revision_before} -> {outcome.revision_after}",
            outcome.code or "accepted",
            outcome.difference,
            outcome.operation_id,
        )
    return table


@with_shared_options
def explain(
    service: Annotated[str, typer.Argument(help="Name of the service.")],
    flow: Annotated[str, typer.Argument(help="HOST:PORT of the caller.")],
    session: Session,
) -> None:
    """Show where each entry sends the next packet of a flow, and why."""
    caller = parse_address(flow)
    read = partial(
        session.client.read,
        "/v1/explain",
        service=service,
        host=caller.host,
        port=str(caller.port),
    )
    document = call_or_exit(read)
    if session.as_json:
        print_json(document)
        return
    table = Table(title=f"flow {flow} of {service}")
    for column in ("entry", "view", "bucket", "upstream", "reason", "candidates"):
        table.add_column(column)
    for row in document:
        if "error" in row:
            table.add_row(row["entry"], "", "", "", row["error"], "")
            continue
        table.add_row(
            row["entry"],
            f"{row['view_number']} by {row['view_coordinator']}",
            str(row["bucket"]),
            row["upstream"],
            row["reason"],
            "\n".join(row["candidates"]),
        )
    console().print(table)


members = typer.Typer(
    no_args_is_help=True, help="Show and change the set of control replicas."
)


@members.command("list")
@with_shared_options
def members_list(session: Session) -> None:
    """Show the control replicas."""
    document = call_or_exit(partial(session.client.read, "/v1/members"))
    if session.as_json:
        print_json(document)
        return
    table = Table(title=f"control replicas, leader {document['leader'] or 'unknown'}")
    for column in ("replica", "identity", "data centre", "address", "votes"):
        table.add_column(column)
    for member in document["members"]:
        table.add_row(
            member["name"],
            member["identity"],
            member["data_centre"],
            f"{member['host']}:{member['port']}",
            "yes" if member["voter"] else "no",
        )
    console().print(table)


NameArgument = Annotated[str, typer.Argument(help="Name of the replica.")]
AddressArgument = Annotated[
    str, typer.Argument(help="HOST:PORT on which the new replica receives frames.")
]


def change_members(
    session: Session,
    action: str,
    name: str,
    address: str,
    origin: ChangeOrigin,
) -> None:
    """Submit a change to the set of replicas and print its outcome."""
    document: dict[str, object] = {
        **origin._asdict(),
        "action": action,
        "name": name,
    }
    if address:
        replica_address = parse_address(address)
        document |= {"host": replica_address.host, "port": replica_address.port}
    outcome = call_or_exit(partial(session.client.change_members, document))
    print_outcome(session, outcome, "accepted")


@members.command("add")
@with_shared_options
def members_add(
    name: NameArgument,
    address: AddressArgument,
    session: Session,
    origin: ChangeOrigin,
) -> None:
    """Add a replica; it votes once it has the whole log."""
    change_members(session, "add", name, address, origin)


@members.command("remove")
@with_shared_options
def members_remove(
    name: NameArgument,
    session: Session,
    origin: ChangeOrigin,
) -> None:
    """Remove a replica."""
    change_members(session, "remove", name, "", origin)


@members.command("replace")
@with_shared_options
def members_replace(
    name: NameArgument,
    address: AddressArgument,
    session: Session,
    origin: ChangeOrigin,
) -> None:
    """Replace a replica by one of the same name that starts with a blank disk."""
    change_members(session, "replace", name, address, origin)


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:g}"


def register_commands(app: typer.Typer) -> None:
    """Add the commands of this module to the application."""
    for command in (status, audit, explain):
        app.command()(command)
    app.add_typer(members, name="members")
