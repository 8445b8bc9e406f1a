"""Failures of handlers that no typed error describes.

One caller's input ends at most that caller's connection, and no daemon.
"""

from __future__ import annotations

import logging
import traceback
from collections.abc import Callable
from pathlib import Path
from reprlib import Repr

from ..errors.access import HandlerFailedError
from ..state.counters import Counters
from .clock import replica_clock
from .log_budget import LogBudget

FailureReporter = Callable[[Exception], HandlerFailedError]

# The text may quote the caller's input.
REASON_REPR = Repr()
REASON_REPR.maxother = REASON_REPR.maxstring = 160


def make_failure_reporter(listener: str, counters: Counters) -> FailureReporter:
    """Return a closure that counts and logs a failure and returns its typed error.

    :param listener: the name of the listener in log lines and in the counter.
    """
    log_budget = LogBudget(counters=counters)

    def report(error: Exception) -> HandlerFailedError:
        """Count and log a failure with the place that raised it."""
        counters.add("handler_errors", listener)
        failure = HandlerFailedError()
        log_budget.log(
            "handler_failed",
            replica_clock(),
            level=logging.ERROR,
            listener=listener,
            code=failure.code,
            reason=REASON_REPR.repr(error),
            raised_at=_raised_at(error),
        )
        return failure

    return report


def _raised_at(error: Exception) -> str:
    frames = traceback.extract_tb(error.__traceback__)
    return f"{Path(frames[-1].filename).name}:{frames[-1].lineno}" if frames else ""
