"""What the commands of ``chervilstagectl`` share: options, calls and exit codes."""

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
EXIT_KEY = 6

T = TypeVar("T")

EXIT_CODES: dict[type[ChervilstageError], int] = {
    DocumentError: EXIT_BAD_INPUT,
    FileUnreadableError: EXIT_BAD_INPUT,
    TomlSyntaxError: EXIT_BAD_INPUT,
    KeyFileError: EXIT_BAD_INPUT,
    PeerUnreachableError: EXIT_UNREACHABLE,
    NoQuorumError: EXIT_UNREACHABLE,
    OperatorKeyError: EXIT_KEY,
}

ControlOption = Annotated[
    str,
    typer.Option(
        "--control",
        envvar="CHERVILSTAGE_CONTROL",
        help="HOST:PORT of the operators' endpoints, separated by commas.",
    ),
]
KeyOption = Annotated[
    Path,
    typer.Option(
        "--key-file", envvar="CHERVILSTAGE_KEY_FILE", help="File with the bearer key."
    ),
]
CaOption = Annotated[
    Path | None,
    typer.Option(
        "--ca-file",
        envvar="CHERVILSTAGE_CA_FILE",
        help="Certificates that the replicas' certificates are checked against.",
    ),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
OperatorOption = Annotated[
    str,
    typer.Option(
        "--operator", default_factory=getpass.getuser, help="Name for the audit trail."
    ),
]
OperationOption = Annotated[
    str | None,
    typer.Option(
        "--operation-id",
        help="Operation id; give the same one again where an answer was lost.",
    ),
]
RevisionOption = Annotated[
    int | None,
    typer.Option(
        "--from-revision",
        help="Revision that the change was made from; the newest one by default.",
    ),
]


class Session(NamedTuple):
    """How one command reaches the control replicas and prints."""

    client: OperatorClient
    as_json: bool


def open_session(
    control: ControlOption,
    key_file: KeyOption,
    ca_file: CaOption = None,
    as_json: JsonOption = False,
) -> Session:
    """Return the session of a command, or exit with a typed error."""
    try:
        key = read_key_file(key_file)
    except ChervilstageError as error:
        fail(error)
    replicas = [parse_address(text) for text in control.split(",")]
    tls = ssl.create_default_context(cafile=ca_file) if ca_file else None
    client = OperatorClient(replicas=replicas, key=key, tls=tls)
    return Session(client=client, as_json=as_json)


class ChangeOrigin(NamedTuple):
    """Who makes a change, and the id under which it may be sent again."""

    operator: str
    operation_id: str


def change_origin(
    operator: OperatorOption, operation_id: OperationOption = None
) -> ChangeOrigin:
    """Return the origin of a change; it gets a new id unless one is given."""
    return ChangeOrigin(
        operator=operator, operation_id=operation_id or str(uuid.uuid4())
    )


# What a command may take as a parameter of that name, and the options it is made of.
SHARED_PARAMETERS: dict[str, Callable[..., Any]] = {
    "origin": change_origin,
    "session": open_session,
}


def with_shared_options(command: Callable[..., None]) -> Callable[..., None]:
    """Return a command that takes options in place of ``SHARED_PARAMETERS``."""
    own = inspect.signature(command, eval_str=True).parameters
    shared = {
        name: inspect.signature(build, eval_str=True).parameters
        for name, build in SHARED_PARAMETERS.items()
        if name in own
    }
    options = {name: option for name, option in own.items() if name not in shared}
    for parameters in shared.values():
        options |= parameters
    keywords = [
        option.replace(kind=inspect.Parameter.KEYWORD_ONLY)
        for option in options.values()
    ]

    @wraps(command)
    def run(**values: Any) -> None:
        """Build the shared parameters from their options and run the command."""
        built = {
            name: SHARED_PARAMETERS[name](
                **{key: values.pop(key) for key in parameters}
            )
            for name, parameters in shared.items()
        }
        command(**built, **values)

    run.__annotations__ = {option.name: option.annotation for option in keywords}
    run.__dict__["__signature__"] = inspect.Signature(keywords)
    return run


def call(function: Callable[[], Awaitable[T]]) -> T:
    """Run one call on the event loop, or exit with a typed error."""
    try:
        return anyio.run(function)
    except ChervilstageError as error:
        fail(error)


def fail(error: ChervilstageError) -> NoReturn:
    """Print a typed error and exit with its status."""
    typer.echo(f"{error.code} {error}", err=True)
    raise typer.Exit(EXIT_CODES.get(type(error), EXIT_ERROR)) from error


def print_json(value: Any) -> None:
    """Print a value as JSON."""
    typer.echo(json.dumps(value, indent=2, default=str))


def console() -> Console:
    """Return a console for tables; wide where the output is no terminal."""
    width = None if sys.stdout.isatty() else 160
    return Console(width=width)


def submit(
    session: Session,
    edit: Callable[[Configuration, Change], Change],
    origin: ChangeOrigin,
    from_revision: int | None = None,
) -> None:
    """Submit a change that is made from the newest or the given revision.

    :param edit: fills the change, given the newest configuration.
    """

    async def exchange() -> ChangeOutcome:
        """Read the newest configuration and submit the change."""
        base = await session.client.configuration()
        change = Change(
            operation_id=origin.operation_id,
            operator=origin.operator,
            base_revision=base.revision if from_revision is None else from_revision,
        )
        return await session.client.submit(edit(base, change))

    outcome = call(exchange)
    print_outcome(session, outcome, f"accepted as revision {outcome.revision_after}")


def print_outcome(session: Session, outcome: ChangeOutcome, accepted: str) -> None:
    """Print the outcome of a change and exit with its status.

    :param accepted: what to print where the change was accepted.
    """
    operation = f"(operation {outcome.operation_id})"
    if session.as_json:
        print_json(outcome._asdict())
    elif not outcome.code:
        typer.echo(f"{accepted} {operation}")
    else:
        typer.echo(f"{outcome.code} {outcome.message} {operation}", err=True)
    if outcome.code == RevisionConflictError.code:
        raise typer.Exit(EXIT_CONFLICT)
    if outcome.code:
        raise typer.Exit(EXIT_REFUSED)
