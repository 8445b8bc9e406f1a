"""Reading of key files."""

from __future__ import annotations

from pathlib import Path

from ..errors.settings import FileUnreadableError, KeyFileError

MINIMUM_KEY_BYTES = 16
# BLAKE2b, which authenticates messages, accepts no longer keys.
MAXIMUM_KEY_BYTES = 64


def read_key_file(path: Path) -> bytes:
    """Return a file's key, without outer whitespace and cut to the maximum length.

    :raises FileUnreadableError: the file cannot be read.
    :raises KeyFileError: the key is too short.
    """
    try:
        key = path.read_bytes().strip()
    except OSError as error:
        raise FileUnreadableError(file=path, reason=error) from error
    if len(key) < MINIMUM_KEY_BYTES:
        raise KeyFileError(file=path, minimum=MINIMUM_KEY_BYTES)
    return key[:MAXIMUM_KEY_BYTES]
