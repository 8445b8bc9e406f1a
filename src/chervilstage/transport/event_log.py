"""Structured logging: one line of key=value pairs for each event."""

from __future__ import annotations

import logging
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from .log_output import LineOutput

STANDARD_OUTPUT = 1
STANDARD_ERROR = 2
CHARACTERS_TO_QUOTE = frozenset(' "=\n\r\t\\')


class KeyValueFormatter(JsonFormatter):
    """Formats a record as ``key=value`` pairs instead of JSON."""

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Return a record as a line of text."""
        return " ".join(
            f"{key}={_format_value(value)}" for key, value in log_data.items()
        )


def configure_logging(level: str, descriptor: int = STANDARD_ERROR) -> None:
    """Write all records to a file descriptor as key=value lines.

    :param descriptor: standard output for daemons, whose log is collected from there.
    """
    handler = LineOutput(descriptor=descriptor)
    handler.setFormatter(
        KeyValueFormatter(
            "%(asctime)s %(levelname)s",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())


def log_event(event: str, /, *, level: int = logging.INFO, **fields: object) -> None:
    """Log one event.

    :param event: the name of the event, in snake case.
    :param level: the level of the standard logging module.
    :param fields: the key=value pairs of the line.
    """
    logging.getLogger("chervilstage").log(level, {"event": event, **fields})


def _format_value(value: object) -> str:
    text = str(value)
    if text and not CHARACTERS_TO_QUOTE & set(text):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
