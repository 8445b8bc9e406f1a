"""Errors in calls and files from the users' platform."""

from __future__ import annotations

from .base import ChervilstageError


class FieldError(ChervilstageError):
    """A field is missing or has an invalid value.

    ``field`` is its path, as in ``Routes.2.Kind``. A check of a single value leaves it
    empty, and ``with_prefix`` adds the field's name where the document is read.
    """

    code = "CS-PLATFORM-001"
    template = "{field}: {reason}"

    def __init__(self, *, reason: str, field: str = "") -> None:
        super().__init__(field=field, reason=reason)
        self.field = field
        self.reason = reason

    def with_prefix(self, key: object) -> FieldError:
        """Return a copy of the error whose field path begins with a key."""
        field = f"{key}.{self.field}" if self.field else str(key)
        return FieldError(field=field, reason=self.reason)
