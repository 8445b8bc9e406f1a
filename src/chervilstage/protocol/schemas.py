"""Load the Cap'n Proto schemas that are shipped with the package."""

from __future__ import annotations

from functools import cache
from importlib.resources import as_file, files
from typing import Any

import capnp

from ..errors.access import EnvelopeFormatError

capnp.remove_import_hook()

# Also bounds what a small packed message may unpack to: 32 MiB, twice a frame.
TRAVERSAL_LIMIT_WORDS = 4 * 1024 * 1024


@cache
def schema(name: str) -> Any:
    """Return the module of a schema file.

    :param name: the file name without its suffix.
    """
    with as_file(files(__package__) / "schema" / f"{name}.capnp") as path:
        return capnp.load(str(path))


def pack(message: Any) -> bytes:
    """Return the packed encoding of a message."""
    packed: bytes = message.to_bytes_packed()
    return packed


def unpack(struct: Any, data: bytes) -> Any:
    """Decode a packed message.

    :param struct: the schema's struct type.
    :raises EnvelopeFormatError: the bytes are not such a message.
    """
    try:
        return struct.from_bytes_packed(
            data, traversal_limit_in_words=TRAVERSAL_LIMIT_WORDS
        )
    except (capnp.KjException, ValueError, UnicodeDecodeError) as error:
        raise EnvelopeFormatError(reason=str(error).splitlines()[0]) from error
