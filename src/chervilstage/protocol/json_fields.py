"""Checks of single values of decoded JSON documents."""

from __future__ import annotations

import re
from ipaddress import AddressValueError, IPv4Address
from reprlib import Repr
from typing import Any

from ..errors import ChervilstageError
from ..errors.platform import FieldError
from ..state.names import is_name
from ..state.types import Address

COUNT_LIMIT = 1 << 63
HIGHEST_PORT = 65_535
# Values of strangers are shown in log lines and answers.
SHOWN = Repr()
SHOWN.maxstring = SHOWN.maxother = SHOWN.maxlong = 80
LONGEST_REASON = 200
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
    """Return the reason of a failure to read a document, for logs and answers."""
    return f"{type(error).__name__}: {error}"[:LONGEST_REASON]


def _refused(value: Any, reason: str) -> FieldError:
    return FieldError(value=SHOWN.repr(value), reason=reason)
