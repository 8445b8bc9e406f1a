"""Checks of single values of decoded JSON documents."""

from __future__ import annotations

from typing import Any

from ..errors.platform import FieldError

COUNT_LIMIT = 1 << 63


def text_of(value: Any) -> str:
    """Return a value that has to be a text.

    :raises FieldError: it is none.
    """
    if not isinstance(value, str):
        raise FieldError(value=value, reason="no text")
    return value


def count_of(value: Any) -> int:
    """Return a value that has to be a whole number from 0.

    :raises FieldError: it is none.
    """
    if type(value) is not int or not 0 <= value < COUNT_LIMIT:
        raise FieldError(value=value, reason="no whole number from 0")
    return value


def number_of(value: Any) -> float:
    """Return a value that has to be a number from 0.

    :raises FieldError: it is none.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < COUNT_LIMIT:
        raise FieldError(value=value, reason="no number from 0")
    return float(value)
