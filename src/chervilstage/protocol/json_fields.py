"""Reading of other systems' JSON documents, with errors that name the field."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Mapping
from contextlib import suppress
from ipaddress import AddressValueError, IPv4Address
from reprlib import Repr
from typing import Any, NoReturn, TypeVar

from ..errors import ChervilstageError
from ..errors.platform import FieldError
from ..state.names import is_valid_name
from ..state.types import Address

T = TypeVar("T")

# Counts and numbers from documents must fit into a signed 64-bit integer.
COUNT_LIMIT = 1 << 63
HIGHEST_PORT = 65_535
# Untrusted values appear in log lines and answers, so they are shortened.
VALUE_REPR = Repr()
VALUE_REPR.maxstring = VALUE_REPR.maxother = VALUE_REPR.maxlong = 80
MAXIMUM_REASON_CHARACTERS = 200
REQUIRED: Any = object()
"""Sentinel default of a field that must be present."""
# Exceptions raised by decoding a JSON document of arbitrary content.
DOCUMENT_ERRORS = (
    ChervilstageError,
    ValueError,
    LookupError,
    TypeError,
    AttributeError,
    RecursionError,
)
# ASCII digits only: int() also accepts signs, spaces and the digits of other scripts.
DIGITS = re.compile(r"[0-9]+")


def load_json(content: bytes, allows_nan: bool = False) -> Any:
    """Return the value of a JSON document, which is UTF-8 as RFC 8259 requires.

    ``json.loads`` would also take bytes in UTF-16 or UTF-32, encoded surrogates and
    ``NaN``. Documents are stored and passed on, and their later readers take none.

    :param allows_nan: whether ``NaN`` and infinities are left to the checks of the
        fields, whose errors name the field.
    :raises FieldError: it is not valid JSON.
    """
    try:
        text = content.decode("utf-8-sig")
        return json.loads(text, parse_constant=None if allows_nan else _refuse_constant)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno}, column {error.colno}"
        raise FieldError(field="document", reason=f"no JSON at {position}") from error
    except UnicodeDecodeError as error:
        position = f"byte {error.start}"
        raise FieldError(field="document", reason=f"no UTF-8 at {position}") from error
    except RecursionError as error:
        raise FieldError(field="document", reason="nested too deeply") from error
    except ValueError as error:
        raise FieldError(field="document", reason="a number is too long") from error


def read_field(
    document: dict[str, Any],
    key: str,
    check: Callable[[Any], T],
    default: Any = REQUIRED,
) -> T:
    """Return the checked value of a field.

    :param default: the value to check where the field is missing.
    :raises FieldError: the field is missing without a default, or is invalid.
    """
    value = document.get(key, default)
    if value is REQUIRED:
        raise FieldError(field=key, reason="missing")
    try:
        return check(value)
    except FieldError as error:
        raise error.with_prefix(key) from error


def each_item(check: Callable[[Any], T]) -> Callable[[Any], tuple[T, ...]]:
    """Return a check of a list in which each item must pass a check."""

    def check_items(value: Any) -> tuple[T, ...]:
        """Return the checked items.

        :raises FieldError: the value is not a list, or an item is invalid.
        """
        checked = []
        for index, item in enumerate(require_list(value)):
            try:
                checked.append(check(item))
            except FieldError as error:
                raise error.with_prefix(index) from error
        return tuple(checked)

    return check_items


def each_valid_item(
    check: Callable[[Any], T],
) -> Callable[[Any], tuple[tuple[T, ...], int]]:
    """Return a check of a list that omits invalid items if at least one is valid."""

    def check_items(value: Any) -> tuple[tuple[T, ...], int]:
        """Return the valid items, and how many are invalid.

        :raises FieldError: the value is not a list, or all of its items are invalid.
        """
        items, checked = require_list(value), []
        for item in items:
            with suppress(FieldError):
                checked.append(check(item))
        if items and not checked:
            raise FieldError(reason=f"none of {len(items)} can be read")
        return tuple(checked), len(items) - len(checked)

    return check_items


def one_of(words: Mapping[str, T]) -> Callable[[Any], T]:
    """Return a check that maps one of several words to the value it stands for."""

    def check(value: Any) -> T:
        """Return the value that a word stands for.

        :raises FieldError: the value is not one of the words.
        """
        text = require_text(value)
        if text not in words:
            raise _invalid_value(text, f"none of {', '.join(words)}")
        return words[text]

    return check


def require_object(value: Any) -> dict[str, Any]:
    """Check that a value is an object and return it.

    :raises FieldError: it is not an object.
    """
    if not isinstance(value, dict):
        raise _invalid_value(value, "no object")
    return value


def require_list(value: Any) -> list[Any]:
    """Check that a value is a list and return it.

    :raises FieldError: it is not a list.
    """
    if not isinstance(value, list):
        raise _invalid_value(value, "no list")
    return value


def require_bool(value: Any) -> bool:
    """Check that a value is true or false and return it.

    :raises FieldError: it is neither.
    """
    if not isinstance(value, bool):
        raise _invalid_value(value, "neither true nor false")
    return value


def require_text(value: Any) -> str:
    """Check that a value is a string and return it.

    :raises FieldError: it is not a string.
    """
    if not isinstance(value, str):
        raise _invalid_value(value, "no text")
    return value


def require_name(value: Any) -> str:
    """Check that a value is a name and return it.

    :raises FieldError: it is not a name.
    """
    text = require_text(value)
    if not is_valid_name(text):
        raise _invalid_value(value, "no name")
    return text


def require_count(value: Any) -> int:
    """Check that a value is an integer from 0 to below 2**63 and return it.

    :raises FieldError: it is not such an integer.
    """
    if type(value) is not int or not 0 <= value < COUNT_LIMIT:
        raise _invalid_value(value, "no whole number from 0")
    return value


def require_number(value: Any) -> float:
    """Check that a value is a number from 0 to below 2**63; return it as a float.

    :raises FieldError: it is not such a number.
    """
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value < COUNT_LIMIT:
        raise _invalid_value(value, "no number from 0")
    return float(value)


def parse_port(text: str) -> int:
    """Return the port number that a text contains.

    :raises FieldError: it is not a port number.
    """
    port = int(text) if DIGITS.fullmatch(text) else 0
    if not 0 < port <= HIGHEST_PORT:
        raise _invalid_value(text, "no port")
    return port


def require_address(value: Any) -> Address:
    """Return the address of one VM from a text ``HOST:PORT``.

    :raises FieldError: the value is not an IPv4 address of a VM with a port.
    """
    host, _, port = require_text(value).rpartition(":")
    try:
        parsed = IPv4Address(host)
    except AddressValueError as error:
        raise _invalid_value(value, "no IPv4 address with a port") from error
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise _invalid_value(value, "no address of one VM")
    return Address(host=host, port=parse_port(port))


def error_reason(error: BaseException) -> str:
    """Return the reason of a failure to read a document, for logs and answers.

    The text of an untyped error does not help the author of a document, so it is
    replaced by a fixed one.
    """
    if isinstance(error, ChervilstageError):
        return str(error)[:MAXIMUM_REASON_CHARACTERS]
    return "document: cannot be read"


def _refuse_constant(name: str) -> NoReturn:
    raise FieldError(field="document", reason=f"{name} is no JSON number")


def _invalid_value(value: Any, reason: str) -> FieldError:
    return FieldError(reason=f"{reason}: {VALUE_REPR.repr(value)}")
