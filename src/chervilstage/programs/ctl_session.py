"""Options, calls and exit codes shared by the commands of ``chervilstagectl``."""

from __future__ import annotations

import getpass
import inspect
import json
import ssl
import sys
import uuid
from collections.abc import Awaitable, Callable
from functools import wraps
from pathlib import Path
from typing import Annotated, Any, NamedTuple, NoReturn, TypeVar

import anyio
import typer
from rich.console import Console

from ..errors import ChervilstageError
from ..errors.access import OperatorKeyError, PeerUnreachableError
from ..errors.configuration import NoQuorumError, RevisionConflictError
from ..errors.settings import (
    DocumentError,
    FileUnreadableError,
    KeyFileError,
    TomlSyntaxError,
)
from ..protocol.key_file import read_key_file
from ..state.configuration import Change, ChangeOutcome, Configuration
from ..transport.operator_client import OperatorClient
from .addresses import parse_address

EXIT_ERROR = 1
EXIT_BAD_INPUT = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNREACHABLE = 5
EXIT_WRONG_KEY = 6

T = TypeVar("T")

EXIT_CODES: dict[type[ChervilstageError], int] = {
    DocumentError: EXIT_BAD_INPUT,
    FileUnreadableError: EXIT_BAD_INPUT,
    TomlSyntaxError: EXIT_BAD_INPUT,
    KeyFileError: EXIT_BAD_INPUT,
    PeerUnreachableError: EXIT_UNREACHABLE,
    NoQuorumError: EXIT_UNREACHABLE,
    OperatorKeyError: EXIT_WRONG_KEY,
}

ControlOption = Annotated[
    str,
    typer.Option(
        "--control",
        envvar="CHERVILSTAGE_CONTROL",
        help="HOST:PORT of the operators' endpoints, separated by commas.",
    ),
]
KeyFileOption = Annotated[
    Path,
    typer.Option(
        "--key-file", envvar="CHERVILSTAGE_KEY_FILE", help="File with the bearer key."
    ),
]
CaFileOption = Annotated[
    Path | None,
    typer.Option(
        "--ca-file",
        envvar="CHERVILSTAGE_CA_FILE",
        help="CA certificates that the replicas' certificates are verified against.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
OperatorOption = Annotated[
    str,
    typer.Option(
        "--operator",
        default_factory=getpass.getuser,
        help="Name to record in the audit trail.",
    ),
]
OperationOption = Annotated[
    str | None,
    typer.Option(
        "--operation-id",
        help="Operation id; repeat the same id after a lost answer.",
    ),
]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--from-revision",
        help="Revision that the change is based on; the newest one by default.",
    ),
]


class Session(NamedTuple):
    """The client and the output format of one command."""

    client: OperatorClient
    as_json: bool


def open_session(
    control: ControlOption,
    key_file: KeyFileOption,
    ca_file: CaFileOption = None,
    as_json: JsonOption = False,
) -> Session:
    """Create the session of a command, or exit with a typed error."""
    try:
        key = read_key_file(key_file)
    except ChervilstageError as error:
        print_error_and_exit(error)
    replicas = [parse_address(text) for text in control.split(",")]
    tls = ssl.create_default_context(cafile=ca_file) if ca_file else None
    client = OperatorClient(replicas=replicas, key=key, tls=tls)
    return Session(client=client, as_json=as_json)


class ChangeOrigin(NamedTuple):
    """The operator of a change, and the operation id that makes a resend safe."""

    operator: str
    operation_id: str


def change_origin(
    operator: OperatorOption, operation_id: OperationOption = None
) -> ChangeOrigin:
    """Return the origin of a change, with a new operation id unless one is given."""
    return ChangeOrigin(
        operator=operator, operation_id=operation_id or str(uuid.uuid4())
    )


# Functions that build a command's parameter of that name; their own parameters become
# the options of the command.
SHARED_PARAMETER_FACTORIES: dict[str, Callable[..., Any]] = {
    "origin": change_origin,
    "session": open_session,
}


def with_shared_options(command: Callable[..., None]) -> Callable[..., None]:
    """Return a command whose shared parameters are replaced by their options."""
    command_parameters = inspect.signature(command, eval_str=True).parameters
    shared_parameters = {
        name: inspect.signature(factory, eval_str=True).parameters
        for name, factory in SHARED_PARAMETER_FACTORIES.items()
        if name in command_parameters
    }
    options = {
        name: option
        for name, option in command_parameters.items()
        if name not in shared_parameters
    }
    for parameters in shared_parameters.values():
        options |= parameters
    keyword_parameters = [
        option.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for option in options.values()
    ]

    @wraps(command)
    def run_command(**values: Any) -> None:
        """Build the shared parameters from their options and run the command."""
        shared_values = {
            name: SHARED_PARAMETER_FACTORIES[name](
                **{key: values.pop(key) for key in parameters}
            )
            for name, parameters in shared_parameters.items()
        }
        command(**shared_values, **values)

    run_command.__annotations__ = {
        option.name: option.annotation for option in keyword_parameters
    }
    run_command.__dict__["__signature__"] = inspect.Signature(keyword_parameters)
    return run_command


def call_or_exit(function: Callable[[], Awaitable[T]]) -> T:
    """Run a call on the event loop, or exit with a typed error."""
    try:
        return anyio.run(function)
    except ChervilstageError as error:
        print_error_and_exit(error)


def print_error_and_exit(error: ChervilstageError) -> NoReturn:
    """Print a typed error and exit with its exit code."""
    typer.echo(f"{error.code} {error}", err=True)
    raise typer.Exit(EXIT_CODES.get(type(error), EXIT_ERROR)) from error


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2, default=str))


def console() -> Console:
    """Return a console for tables; wide if the output is not a terminal."""
    width = None if sys.stdout.isatty() else 160
    return Console(width=width)


def submit(
    session: Session,
    edit: Callable[[Configuration, Change], Change],
    origin: ChangeOrigin,
    from_revision: int | None = None,
) -> None:
    """Submit a change based on the newest or the given revision.

    :param edit: returns the complete change, given the newest configuration.
    """

    async def submit_change() -> ChangeOutcome:
        """Read the newest configuration and submit the change."""
        base = await session.client.configuration()
        change = Change(
            operation_id=origin.operation_id,
            operator=origin.operator,
            base_revision=base.revision if from_revision is None else from_revision,
        )
        return await session.client.submit(edit(base, change))

    outcome = call_or_exit(submit_change)
    print_outcome(session, outcome, f"accepted as revision {outcome.revision_after}")


def print_outcome(session: Session, outcome: ChangeOutcome, accepted_text: str) -> None:
    """Print the outcome of a change and exit with its exit code.

    :param accepted_text: what to print if the change was accepted.
    """
    operation = f"(operation {outcome.operation_id})"
    if session.as_json:
        print_json(outcome._asdict())
    elif not outcome.code:
        typer.echo(f"{accepted_text} {operation}")
    else:
        typer.echo(f"{outcome.code} {outcome.message} {operation}", err=True)
    if outcome.code == RevisionConflictError.code:
        raise typer.Exit(EXIT_CONFLICT)
    if outcome.code:
        raise typer.Exit(EXIT_REFUSED)
