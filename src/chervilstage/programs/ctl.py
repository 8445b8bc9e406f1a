"""``chervilstagectl``: the operators' client."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer
from rich.table import Table

from ..coordination.key_differences import Difference, differences
from ..coordination.references import reference_problems
from ..errors import ChervilstageError
from ..errors.settings import DocumentError
from ..protocol.configuration_records import inventory_document, rules_document
from ..protocol.documents import read_inventory, read_rules
from ..state.configuration import Change, Configuration, Inventory, Rules
from .ctl_reports import register
from .ctl_session import (
    EXIT_BAD_INPUT,
    ChangeOrigin,
    RevisionOption,
    Session,
    call,
    console,
    print_json,
    submit,
    with_shared_options,
)

app = typer.Typer(
    add_completion=False,
    pretty_exceptions_enable=False,
    no_args_is_help=True,
    help="Operate chervilstage. Exit codes: 0 done, 1 failure, 2 bad input, "
    "3 change refused, 4 revision conflict, 5 no quorum or unreachable, 6 wrong key.",
)

register(app)

InventoryArgument = Annotated[Path, typer.Argument(help="Inventory file in TOML.")]
RulesArgument = Annotated[Path, typer.Argument(help="Rules file in TOML.")]
DataCentreArgument = Annotated[str, typer.Argument(help="Name of the data centre.")]


def read_documents(inventory: Path, rules: Path) -> Configuration:
    """Read both files, or print the problems of both and exit."""
    errors: list[ChervilstageError] = []
    read: Inventory = Inventory()
    read_rules_part: tuple[Rules, frozenset[str]] = (Rules(), frozenset())
    try:
        read = read_inventory(inventory)
    except ChervilstageError as error:
        errors.append(error)
    try:
        read_rules_part = read_rules(rules)
    except ChervilstageError as error:
        errors.append(error)
    configuration = Configuration(
        inventory=read, rules=read_rules_part[0], out=read_rules_part[1]
    )
    problems = [] if errors else reference_problems(configuration)
    if problems:
        errors.append(DocumentError(file=f"{inventory}, {rules}", problems=problems))
    for found in errors:
        print_problems(found)
    if errors:
        raise typer.Exit(EXIT_BAD_INPUT)
    return configuration


def print_problems(error: ChervilstageError) -> None:
    """Print one line for each problem of a document."""
    if isinstance(error, DocumentError):
        for problem in error.problems:
            typer.echo(f"{error.code} {error.fields['file']}: {problem}", err=True)
    else:
        typer.echo(f"{error.code} {error}", err=True)


@app.command()
def check(inventory: InventoryArgument, rules: RulesArgument) -> None:
    """Check the inventory and the rules without contacting anything."""
    configuration = read_documents(inventory, rules)
    typer.echo(
        f"valid: {len(configuration.inventory.data_centres)} data centres, "
        f"{len(configuration.inventory.services)} services"
    )


@app.command()
@with_shared_options
def diff(inventory: InventoryArgument, rules: RulesArgument, session: Session) -> None:
    """Show what applying the files would change."""
    wanted = read_documents(inventory, rules)
    present = call(session.client.configuration)
    found = differences(present, wanted)
    if session.as_json:
        print_json(
            {
                "revision": present.revision,
                "differences": [difference._asdict() for difference in found],
            }
        )
        return
    print_differences(found, f"against revision {present.revision}")


@app.command()
@with_shared_options
def apply(
    inventory: InventoryArgument,
    rules: RulesArgument,
    session: Session,
    origin: ChangeOrigin,
    from_revision: RevisionOption = None,
) -> None:
    """Put an inventory and rules in force."""
    wanted = read_documents(inventory, rules)

    def edit(base: Configuration, change: Change) -> Change:
        """Replace all parts of the configuration."""
        return change._replace(
            inventory=wanted.inventory, rules=wanted.rules, out=wanted.out
        )

    submit(session, edit, origin, from_revision)


@app.command()
@with_shared_options
def show(session: Session) -> None:
    """Show the newest accepted configuration."""
    configuration = call(session.client.configuration)
    if session.as_json:
        print_json(
            {
                "revision": configuration.revision,
                "inventory": inventory_document(configuration.inventory),
                "rules": rules_document(configuration.rules, configuration.out),
            }
        )
        return
    print_configuration(configuration)


@app.command()
@with_shared_options
def out(
    data_centre: DataCentreArgument, session: Session, origin: ChangeOrigin
) -> None:
    """Take a data centre out of service; its flows end."""
    submit(
        session,
        lambda base, change: change._replace(out=base.out | {data_centre}),
        origin,
    )


@app.command()
@with_shared_options
def back(
    data_centre: DataCentreArgument, session: Session, origin: ChangeOrigin
) -> None:
    """Bring a data centre back into service."""
    submit(
        session,
        lambda base, change: change._replace(out=base.out - {data_centre}),
        origin,
    )


def print_differences(found: list[Difference], title: str) -> None:
    """Print differences as a table."""
    if not found:
        typer.echo(f"no difference {title}")
        return
    table = Table(title=f"{len(found)} differences {title}")
    for column in ("key", "before", "after"):
        table.add_column(column)
    for difference in found:
        table.add_row(*difference)
    console().print(table)


def print_configuration(configuration: Configuration) -> None:
    """Print a configuration as tables."""
    centres = Table(title=f"data centres, revision {configuration.revision}")
    for column in ("data centre", "region", "service"):
        centres.add_column(column)
    for data_centre in configuration.inventory.data_centres:
        state = "out" if data_centre.name in configuration.out else "in"
        centres.add_row(data_centre.name, data_centre.region, state)
    services = Table(title="services")
    for column in ("service", "data centres", "UDP", "TCP", "slots", "retry budget"):
        services.add_column(column)
    for service in configuration.inventory.services:
        rules = configuration.service_rules(service.name)
        services.add_row(
            service.name,
            ", ".join(service.data_centres),
            str(service.udp_port),
            str(service.tcp_port),
            str(service.slots),
            f"{rules.retry_budget:g}",
        )
    console().print(centres, services)


if __name__ == "__main__":
    app()
