"""Errors of the calls and files of the users' platform."""

from __future__ import annotations

from .base import ChervilstageError


class FieldError(ChervilstageError):
    """A field is missing, or holds a value of another kind.

    ``field`` is the path to it, as in ``Routes.2.Kind``; a check of a single value
    leaves it out, and who reads the document adds it.
    """

    code = "CS-PLATFORM-001"
    template = "{field}: {reason}"

    def __init__(self, *, reason: str, field: str = "") -> None:
        super().__init__(field=field, reason=reason)
        self.field = field
        self.reason = reason

    def within(self, key: object) -> FieldError:
        """Return the error with a key in front of its field."""
        field = f"{key}.{self.field}" if self.field else str(key)
        return FieldError(field=field, reason=self.reason)
