"""Errors of settings files and operators' documents."""

from __future__ import annotations

from .base import ChervilstageError


class FileUnreadableError(ChervilstageError):
    """A file cannot be read."""

    code = "CS-SETTINGS-001"
    template = "{file}: {reason}"


class TomlSyntaxError(ChervilstageError):
    """A file is not valid TOML."""

    code = "CS-SETTINGS-002"
    template = "{file}: not valid TOML: {reason}"


class DocumentError(ChervilstageError):
    """A document violates its schema; the error lists every problem found."""

    code = "CS-SETTINGS-003"
    template = "{file}: {problems}"

    def __init__(self, *, file: str, problems: list[str]) -> None:
        super().__init__(file=file, problems=problems)
        self.problems = problems


class KeyFileError(ChervilstageError):
    """A key file is empty or too short."""

    code = "CS-SETTINGS-004"
    template = "{file}: a key needs at least {minimum} bytes"
