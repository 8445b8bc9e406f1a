"""The Cap'n Proto schemas of the package, and packing and unpacking of messages."""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from functools import cache
from importlib.resources import as_file, files
from typing import Any, TypeVar

import capnp

from ..errors.access import EnvelopeFormatError

capnp.remove_import_hook()

# Limit in 8-byte words, 32 MiB or twice the largest frame. It also limits the unpacked
# size of a small packed message.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024

T = TypeVar("T")


@cache
def schema(name: str) -> Any:
    """Return the loaded module of a schema file.

    :param name: the file name without its suffix.
    """
    with as_file(files(__package__) / "schema" / f"{name}.capnp") as path:
        return capnp.load(str(path))


def pack(message: Any) -> bytes:
    """Return the packed encoding of a message."""
    packed: bytes = message.to_bytes_packed()
    return packed


# Exceptions raised by reading a damaged message or a damaged document inside one.
DECODE_ERRORS = (
    capnp.KjException,
    zlib.error,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    RecursionError,
)


@contextmanager
def wrap_decode_errors() -> Iterator[None]:
    """Convert failures to read the fields of a message into a typed error.

    Fields are decoded lazily, so a damaged message may fail only when they are read.

    :raises EnvelopeFormatError: a field cannot be read.
    """
    try:
        yield
    except DECODE_ERRORS as error:
        reason = (str(error) or type(error).__name__).splitlines()[0]
        raise EnvelopeFormatError(reason=reason) from error


def read_valid_items(
    read: Callable[[Any], T], items: Iterable[Any]
) -> tuple[list[T], int]:
    """Return the items of a list that can be read, and how many cannot.

    An unreadable item from another process does not prevent reading the others.
    """
    valid_items = []
    unreadable_count = 0
    for item in items:
        try:
            valid_items.append(read(item))
        except DECODE_ERRORS:
            unreadable_count += 1
    return valid_items, unreadable_count


def unpack(struct: Any, data: bytes) -> Any:
    """Decode a packed message.

    :param struct: the schema's struct type.
    :raises EnvelopeFormatError: the bytes are not such a message.
    """
    with wrap_decode_errors():
        return struct.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
