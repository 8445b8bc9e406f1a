"""Validation of documents against ``TypedDict`` schemas."""

from __future__ import annotations

import tomllib
from collections import Counter
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError

from ..errors.settings import DocumentError, FileUnreadableError, TomlSyntaxError


def read_file(path: Path) -> bytes:
    """Read a file.

    :raises FileUnreadableError: the file cannot be read.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error


def read_toml(path: Path) -> dict[str, Any]:
    """Read a TOML file.

    :raises FileUnreadableError: the file cannot be read.
    :raises TomlSyntaxError: the file is not valid TOML.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise FileUnreadableError(file=path, reason=error) from error
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise TomlSyntaxError(file=path, reason=error) from error


def validation_problems(error: ValidationError) -> list[str]:
    """Return one ``key: reason`` text for each problem."""
    return [f"{_field_path(item['loc'])}: {item['msg']}" for item in error.errors()]


def duplicate_problems(key: str, names: Iterable[object]) -> list[str]:
    """Return one ``key: reason`` text for each name that occurs more than once."""
    return [
        f"{key}: {name} appears {count} times"
        for name, count in Counter(names).items()
        if count > 1
    ]


def _field_path(location: tuple[int | str, ...]) -> str:
    return ".".join(str(part) for part in location) or "document"


def validate(adapter: TypeAdapter[Any], document: Any, source: str) -> Any:
    """Validate a document against a schema.

    :param source: where the document came from, for error messages.
    :raises DocumentError: the document violates the schema.
    """
    try:
        return adapter.validate_python(document, strict=True)
    except ValidationError as error:
        raise DocumentError(file=source, problems=validation_problems(error)) from error


def validate_json(adapter: TypeAdapter[Any], data: bytes, source: str) -> Any:
    """Validate a JSON document against a schema.

    :param source: where the document came from, for error messages.
    :raises DocumentError: the bytes are not JSON or violate the schema.
    """
    try:
        return adapter.validate_json(data, strict=True)
    except ValidationError as error:
        raise DocumentError(file=source, problems=validation_problems(error)) from error
