"""The file of accepted and refused changes, synced before it is acknowledged."""

from __future__ import annotations

import os
from collections.abc import Iterator
from pathlib import Path

from ..protocol.changes import decode_change, encode_change
from ..state.configuration import Change


class ChangeLog:
    """Appends changes to a file under the data folder.

    :param path: the file.
    """

    def __init__(self, *, path: Path) -> None:
        path.parent.mkdir(parents=True, exist_ok=True)
        self.path = path
        self.file = path.open("ab")

    def append(self, change: Change) -> None:
        """Write a change and sync the file."""
        self.file.write(encode_change(change) + b"\n")
        self.file.flush()
        os.fsync(self.file.fileno())

    def read(self) -> Iterator[Change]:
        """Yield all changes, oldest first."""
        for line in self.path.read_bytes().splitlines():
            yield decode_change(line)
