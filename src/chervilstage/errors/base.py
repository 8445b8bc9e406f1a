"""The base of all errors of this project."""

from __future__ import annotations

from typing import ClassVar


class ChervilstageError(Exception):
    """A failure with a stable code.

    Each subclass sets ``code`` and ``template``; the template names the fields that
    the constructor requires. ``retryable`` says whether the call may succeed if it is
    repeated.

    :param fields: the values that the template names.
    """

    code: ClassVar[str] = "CS-GENERAL-000"
    template: ClassVar[str] = "unspecified failure"
    retryable: ClassVar[bool] = False

    def __init__(self, **fields: object) -> None:
        self.fields = fields
        formatted = {name: _format_field(value) for name, value in fields.items()}
        super().__init__(self.template.format_map(formatted))


def _format_field(value: object) -> object:
    if isinstance(value, (list, tuple)):
        return "; ".join(str(item) for item in value)
    return value


def error_types() -> list[type[ChervilstageError]]:
    """Return every error type that has been imported, ordered by code."""
    found: set[type[ChervilstageError]] = set()
    pending = [ChervilstageError]
    while pending:
        for child in pending.pop().__subclasses__():
            found.add(child)
            pending.append(child)
    return sorted(found, key=lambda error: error.code)
