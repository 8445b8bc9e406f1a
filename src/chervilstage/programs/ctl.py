"""``chervilstagectl``: the operators' client."""

from __future__ import annotations

import getpass
import uuid
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path
from typing import Annotated, TypeVar

import anyio
import typer

from ..errors import ChervilstageError
from ..protocol.documents import encode_configuration, read_inventory, read_rules
from ..state.configuration import Change, Configuration
from ..state.types import Address
from ..transport.operator_client import fetch_configuration, submit_change
from .standin import parse_address

EXIT_REFUSED = 3
EXIT_ERROR = 1

T = TypeVar("T")
app = typer.Typer(
    add_completion=False, pretty_exceptions_enable=False, no_args_is_help=True
)

Control = Annotated[
    str, typer.Option("--control", envvar="CHERVILSTAGE_CONTROL", help="HOST:PORT")
]
KeyFile = Annotated[
    Path, typer.Option("--key-file", envvar="CHERVILSTAGE_KEY_FILE", help="Bearer key.")
]


def run(call: Callable[[], Awaitable[T]]) -> T:
    """Run one asynchronous call and report typed errors."""
    try:
        return anyio.run(call)
    except ChervilstageError as error:
        typer.echo(f"{error.code} {error}", err=True)
        raise typer.Exit(EXIT_ERROR) from error


@app.command()
def check(inventory: Path, rules: Path) -> None:
    """Check the inventory and the rules without contacting anything."""
    try:
        read_inventory(inventory)
        read_rules(rules)
    except ChervilstageError as error:
        typer.echo(f"{error.code} {error}", err=True)
        raise typer.Exit(EXIT_ERROR) from error


@app.command()
def show(control: Control, key_file: KeyFile) -> None:
    """Show the newest accepted configuration as JSON."""
    key = key_file.read_text().strip()
    configuration = run(partial(fetch_configuration, parse_address(control), key))
    typer.echo(encode_configuration(configuration).decode())


@app.command()
def apply(inventory: Path, rules: Path, control: Control, key_file: KeyFile) -> None:
    """Put an inventory and rules in force."""
    try:
        new_inventory = read_inventory(inventory)
        new_rules, out = read_rules(rules)
    except ChervilstageError as error:
        typer.echo(f"{error.code} {error}", err=True)
        raise typer.Exit(EXIT_ERROR) from error

    def change(base: Configuration) -> Change:
        return _change(base)._replace(inventory=new_inventory, rules=new_rules, out=out)

    _submit(parse_address(control), key_file, change)


@app.command()
def out(data_centre: str, control: Control, key_file: KeyFile) -> None:
    """Take a data centre out of service."""
    _submit(
        parse_address(control),
        key_file,
        lambda base: _change(base)._replace(out=base.out | {data_centre}),
    )


@app.command()
def back(data_centre: str, control: Control, key_file: KeyFile) -> None:
    """Bring a data centre back into service."""
    _submit(
        parse_address(control),
        key_file,
        lambda base: _change(base)._replace(out=base.out - {data_centre}),
    )


def _change(base: Configuration) -> Change:
    return Change(
        operation_id=str(uuid.uuid4()),
        operator=getpass.getuser(),
        base_revision=base.revision,
    )


def _submit(
    control: Address, key_file: Path, change: Callable[[Configuration], Change]
) -> None:
    key = key_file.read_text().strip()
    base = run(partial(fetch_configuration, control, key))
    outcome = run(partial(submit_change, control, key, change(base)))
    if outcome.code:
        typer.echo(f"{outcome.code} {outcome.message}", err=True)
        raise typer.Exit(EXIT_REFUSED)
    typer.echo(f"accepted as revision {outcome.revision_after}")


if __name__ == "__main__":
    app()
