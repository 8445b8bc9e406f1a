"""What the programs share: running an application and reporting typed errors."""

from __future__ import annotations

import logging
import sys
import traceback
from collections.abc import Callable
from typing import NoReturn

import anyio

from ..errors import ChervilstageError
from ..transport.application import Application
from ..transport.event_log import (
    STANDARD_ERROR,
    STANDARD_OUTPUT,
    configure_logging,
    log_event,
)

EXIT_ERROR = 1
EXIT_SETTINGS = 2
EXIT_FAULT = 70


def run_daemon(build: Callable[[], Application], log_level: str) -> None:
    """Build an application on the event loop and run it until it is stopped."""
    configure_logging(log_level, STANDARD_OUTPUT)

    async def main() -> None:
        """Build the application inside the event loop and run it."""
        await build().run()

    try:
        anyio.run(main)
    except ChervilstageError as error:
        exit_with(error, EXIT_ERROR, STANDARD_OUTPUT)
    except BaseExceptionGroup as group:
        typed = first_typed_error(group)
        if typed is None:
            exit_after_fault(group)
        exit_with(typed, EXIT_ERROR, STANDARD_OUTPUT)
    except Exception as fault:
        exit_after_fault(fault)


def first_typed_error(group: BaseExceptionGroup) -> ChervilstageError | None:
    """Return the first typed error of a failed task group, if there is one."""
    found: BaseException | None = group.subgroup(ChervilstageError)
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found if isinstance(found, ChervilstageError) else None


def exit_after_fault(fault: BaseException) -> NoReturn:
    """Log an error that no code expected, with its trace in one line, and exit."""
    trace = "".join(traceback.format_exception(fault))
    log_event(
        "crashed", level=logging.CRITICAL, error=type(fault).__name__, trace=trace
    )
    sys.exit(EXIT_FAULT)


def exit_with(
    error: ChervilstageError, status: int, descriptor: int = STANDARD_ERROR
) -> NoReturn:
    """Log a typed error and exit."""
    configure_logging("info", descriptor)
    log_event("failed", level=logging.ERROR, code=error.code, reason=error)
    sys.exit(status)
