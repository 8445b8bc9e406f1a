"""Runs applications and exits with errors, for all programs."""

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
EXIT_UNEXPECTED_ERROR = 70


def run_daemon(build: Callable[[], Application], log_level: str) -> None:
    """Build an application inside the event loop and run it until it is stopped."""
    configure_logging(log_level, STANDARD_OUTPUT)

    async def main() -> None:
        """Build the application inside the event loop and run it."""
        await build().run()

    try:
        anyio.run(main)
    except ChervilstageError as error:
        log_error_and_exit(error, EXIT_ERROR, STANDARD_OUTPUT)
    except BaseExceptionGroup as group:
        typed_error = first_typed_error(group)
        if typed_error is None:
            log_unexpected_error_and_exit(group)
        log_error_and_exit(typed_error, EXIT_ERROR, STANDARD_OUTPUT)
    except Exception as unexpected:
        log_unexpected_error_and_exit(unexpected)


def first_typed_error(group: BaseExceptionGroup) -> ChervilstageError | None:
    """Return the first typed error of a failed task group, if there is one."""
    nested: BaseException | None = group.subgroup(ChervilstageError)
    while isinstance(nested, BaseExceptionGroup):
        nested = nested.exceptions[0]
    return nested if isinstance(nested, ChervilstageError) else None


def log_unexpected_error_and_exit(unexpected: BaseException) -> NoReturn:
    """Log an unexpected error with its traceback in one line, and exit."""
    trace = "".join(traceback.format_exception(unexpected))
    log_event(
        "crashed", level=logging.CRITICAL, error=type(unexpected).__name__, trace=trace
    )
    sys.exit(EXIT_UNEXPECTED_ERROR)


def log_error_and_exit(
    error: ChervilstageError, status: int, descriptor: int = STANDARD_ERROR
) -> NoReturn:
    """Log a typed error and exit."""
    configure_logging("info", descriptor)
    log_event("failed", level=logging.ERROR, code=error.code, reason=error)
    sys.exit(status)
