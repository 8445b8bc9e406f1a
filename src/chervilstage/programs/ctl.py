"""``chervilstagectl``: the command-line client for operators."""

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
from .ctl_reports import register_commands
from .ctl_session import (
    EXIT_BAD_INPUT,
    ChangeOrigin,
    RevisionOption,
    Session,
    call_or_exit,
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

register_commands(app)

InventoryArgument = Annotated[Path, typer.Argument(help="Inventory file in TOML.")]
RulesArgument = Annotated[Path, typer.Argument(help="Rules file in TOML.")]
DataCentreArgument = Annotated[str, typer.Argument(help="Name of the data centre.")]


def read_documents(inventory: Path, rules: Path) -> Configuration:
    """Read both files, or print the problems in both and exit."""
    errors: list[ChervilstageError] = []
    parsed_inventory: Inventory = Inventory()
    parsed_rules: tuple[Rules, frozenset[str]] = (Rules(), frozenset())
    try:
        parsed_inventory = read_inventory(inventory)
    except ChervilstageError as error:
        errors.append(error)
    try:
        parsed_rules = read_rules(rules)
    except ChervilstageError as error:
        errors.append(error)
    configuration = Configuration(
        inventory=parsed_inventory, rules=parsed_rules[0], out=parsed_rules[1]
    )
    problems = [] if errors else reference_problems(configuration)
    if problems:
        errors.append(DocumentError(file=f"{inventory}, {rules}", problems=problems))
    for failure in errors:
        print_problems(failure)
    if errors:
        raise typer.Exit(EXIT_BAD_INPUT)
    return configuration


def print_problems(error: ChervilstageError) -> None:
    """Print an error, with one line for each problem of a document."""
    if isinstance(error, DocumentError):
        for problem in error.problems:
            typer.echo(f"{error.code} {error.fields['file']}: {problem}", err=True)
    else:
        typer.echo(f"{error.code} {error}", err=True)


@app.command()
def check(inventory: InventoryArgument, rules: RulesArgument) -> None:
    """Check the inventory and the rules without contacting a control replica."""
    configuration = read_documents(inventory, rules)
    typer.echo(
        f"valid: {len(configuration.inventory.data_centres)} data centres, "
        f"{len(configuration.inventory.services)} services"
    )


@app.command()
@with_shared_options
def diff(inventory: InventoryArgument, rules: RulesArgument, session: Session) -> None:
    """Show what applying the files would change."""
    desired = read_documents(inventory, rules)
    current = call_or_exit(session.client.configuration)
    changed_keys = differences(current, desired)
    if session.as_json:
        print_json(
            {
                "revision": current.revision,
                "differences": [difference._asdict() for difference in changed_keys],
            }
        )
        return
    print_differences(changed_keys, f"against revision {current.revision}")


@app.command()
@with_shared_options
def apply(
    inventory: InventoryArgument,
    rules: RulesArgument,
    session: Session,
    origin: ChangeOrigin,
    from_revision: RevisionOption = None,
) -> None:
    """Apply an inventory and rules."""
    desired = read_documents(inventory, rules)

    def edit(base: Configuration, change: Change) -> Change:
        """Replace all parts of the configuration."""
        return change._replace(
            inventory=desired.inventory, rules=desired.rules, out=desired.out
        )

    submit(session, edit, origin, from_revision)


@app.command()
@with_shared_options
def show(session: Session) -> None:
    """Show the newest accepted configuration."""
    configuration = call_or_exit(session.client.configuration)
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


def print_differences(changed_keys: list[Difference], title: str) -> None:
    """Print differences as a table."""
    if not changed_keys:
        typer.echo(f"no difference {title}")
        return
    table = Table(title=f"{len(changed_keys)} differences {title}")
    for column in ("key", "before", "after"):
        table.add_column(column)
    for difference in changed_keys:
        table.add_row(*difference)
    console().print(table)


def print_configuration(configuration: Configuration) -> None:
    """Print a configuration as tables."""
    data_centre_table = Table(title=f"data centres, revision {configuration.revision}")
    for column in ("data centre", "region", "service"):
        data_centre_table.add_column(column)
    for data_centre in configuration.inventory.data_centres:
        state = "out" if data_centre.name in configuration.out else "in"
        data_centre_table.add_row(data_centre.name, data_centre.region, state)
    service_table = Table(title="services")
    for column in ("service", "data centres", "UDP", "TCP", "slots", "retry budget"):
        service_table.add_column(column)
    for service in configuration.inventory.services:
        rules = configuration.service_rules(service.name)
        service_table.add_row(
            service.name,
            ", ".join(service.data_centres),
            str(service.udp_port),
            str(service.tcp_port),
            str(service.slots),
            f"{rules.retry_budget:g}",
        )
    console().print(data_centre_table, service_table)


if __name__ == "__main__":
    app()
