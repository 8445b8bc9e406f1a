"""Reading of JSON documents that others write, with errors that name the field."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from contextlib import suppress
from ipaddress import AddressValueError, IPv4Address
from reprlib import Repr
from typing import Any, TypeVar

from ..errors import ChervilstageError
from ..errors.platform import FieldError
from ..state.names import is_name
from ..state.types import Address

T = TypeVar("T")

COUNT_LIMIT = 1 << 63
HIGHEST_PORT = 65_535
# Values of strangers are shown in log lines and answers.
SHOWN = Repr()
SHOWN.maxstring = SHOWN.maxother = SHOWN.maxlong = 80
LONGEST_REASON = 200
REQUIRED: Any = object()
"""Stands for no default."""
# What decoding a JSON document of any content may raise.
MALFORMED = (
    ChervilstageError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)
# A number without signs, spaces or the digits of other scripts, which int() takes.
DIGITS = re.compile(r"[0-9]+")


def load_json(content: bytes) -> Any:
    """Return the value that a JSON document holds.

    :raises FieldError: it is none.
    """
    try:
        return json.loads(content)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno}, column {error.colno}"
        raise FieldError(field="document", reason=f"no JSON at {place}") from error
    except UnicodeDecodeError as error:
        place = f"byte {error.start}"
        raise FieldError(field="document", reason=f"no UTF-8 at {place}") from error
    except RecursionError as error:
        raise FieldError(field="document", reason="nested too deeply") from error
    except ValueError as error:
        raise FieldError(field="document", reason="a number is too long") from error


def read(
    document: dict[str, Any],
    key: str,
    check: Callable[[Any], T],
    default: Any = REQUIRED,
) -> T:
    """Return the checked value of a field.

    :param default: the value to check where the field is missing.
    :raises FieldError: the field is missing without a default, or is refused.
    """
    value = document.get(key, default)
    if value is REQUIRED:
        raise FieldError(field=key, reason="missing")
    try:
        return check(value)
    except FieldError as error:
        raise error.within(key) from error


def each(check: Callable[[Any], T]) -> Callable[[Any], tuple[T, ...]]:
    """Return a check of a list whose items all have to pass a check."""

    def check_items(value: Any) -> tuple[T, ...]:
        """Return the checked items.

        :raises FieldError: the value is no list, or an item is refused.
        """
        checked = []
        for index, item in enumerate(list_of(value)):
            try:
                checked.append(check(item))
            except FieldError as error:
                raise error.within(index) from error
        return tuple(checked)

    return check_items


def each_readable(
    check: Callable[[Any], T],
) -> Callable[[Any], tuple[tuple[T, ...], int]]:
    """Return a check of a list that leaves out items, as long as one passes."""

    def check_items(value: Any) -> tuple[tuple[T, ...], int]:
        """Return the items that pass, and how many do not.

        :raises FieldError: the value is no list, or none of its items passes.
        """
        items, checked = list_of(value), []
        for item in items:
            with suppress(FieldError):
                checked.append(check(item))
        if items and not checked:
            raise FieldError(reason=f"none of {len(items)} can be read")
        return tuple(checked), len(items) - len(checked)

    return check_items


def choice_of(words: Mapping[str, T]) -> Callable[[Any], T]:
    """Return a check that a value is one of some words; it returns what that means."""

    def check(value: Any) -> T:
        """Return what a word means.

        :raises FieldError: the value is none of the words.
        """
        text = text_of(value)
        if text not in words:
            raise _refused(text, f"none of {', '.join(words)}")
        return words[text]

    return check


def object_of(value: Any) -> dict[str, Any]:
    """Return a value that has to be an object.

    :raises FieldError: it is none.
    """
    if not isinstance(value, dict):
        raise _refused(value, "no object")
    return value


def list_of(value: Any) -> list[Any]:
    """Return a value that has to be a list.

    :raises FieldError: it is none.
    """
    if not isinstance(value, list):
        raise _refused(value, "no list")
    return value


def bool_of(value: Any) -> bool:
    """Return a value that has to be true or false.

    :raises FieldError: it is neither.
    """
    if not isinstance(value, bool):
        raise _refused(value, "neither true nor false")
    return value


def text_of(value: Any) -> str:
    """Return a value that has to be a text.

    :raises FieldError: it is none.
    """
    if not isinstance(value, str):
        raise _refused(value, "no text")
    return value


def name_of(value: Any) -> str:
    """Return a value that has to be a name.

    :raises FieldError: it is none.
    """
    text = text_of(value)
    if not is_name(text):
        raise _refused(value, "no name")
    return text


def count_of(value: Any) -> int:
    """Return a value that has to be a whole number from 0.

    :raises FieldError: it is none.
    """
    if type(value) is not int or not 0 <= value < COUNT_LIMIT:
        raise _refused(value, "no whole number from 0")
    return value


def number_of(value: Any) -> float:
    """Return a value that has to be a number from 0.

    :raises FieldError: it is none.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < COUNT_LIMIT:
        raise _refused(value, "no number from 0")
    return float(value)


def port_of(text: str) -> int:
    """Return the port that a text spells.

    :raises FieldError: it spells none.
    """
    port = int(text) if DIGITS.fullmatch(text) else 0
    if not 0 < port <= HIGHEST_PORT:
        raise _refused(text, "no port")
    return port


def address_of(value: Any) -> Address:
    """Return the address of one VM that ``HOST:PORT`` spells.

    :raises FieldError: the value is no IPv4 address of a VM with a port.
    """
    host, _, port = text_of(value).rpartition(":")
    try:
        parsed = IPv4Address(host)
    except AddressValueError as error:
        raise _refused(value, "no IPv4 address with a port") from error
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise _refused(value, "no address of one VM")
    return Address(host=host, port=port_of(port))


def reason_of(error: BaseException) -> str:
    """Return the reason of a failure to read a document, for logs and answers.

    The text of an error that is not ours says nothing to the writer of a document.
    """
    if isinstance(error, ChervilstageError):
        return str(error)[:LONGEST_REASON]
    return "document: cannot be read"


def _refused(value: Any, reason: str) -> FieldError:
    return FieldError(reason=f"{reason}: {SHOWN.repr(value)}")
