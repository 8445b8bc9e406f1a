"""Estimates of the stored size of log entries and configurations."""

from __future__ import annotations

from collections.abc import Iterable

from ..state.configuration import Configuration
from ..state.log_entries import LogEntry

NUMBER_BYTES = 8
# Strings and field names are stored in quotes and with a separator.
QUOTES_BYTES = 4


def entry_bytes(entry: LogEntry) -> int:
    """Return the approximate size of an entry in the log."""
    return _value_bytes(entry)


def configuration_bytes(configuration: Configuration) -> int:
    """Return the approximate size of a configuration in a snapshot."""
    return _value_bytes(configuration)


def _value_bytes(value: object) -> int:
    if isinstance(value, str | bytes):
        return len(value) + QUOTES_BYTES
    if not isinstance(value, Iterable):
        return NUMBER_BYTES
    names = getattr(value, "_fields", ())
    return sum(map(_value_bytes, (*names, *value)))
