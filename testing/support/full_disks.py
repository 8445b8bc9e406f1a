"""Simulated full disks, whose operations fail, below the real files of a log."""

from __future__ import annotations

import errno
import io
import os
from collections.abc import Callable, Collection, Iterator, Mapping
from contextlib import contextmanager, suppress
from pathlib import Path
from random import Random
from typing import Any, cast
from unittest import mock

from .disk_contents import DiskContents

WRITE, CREATE, RENAME, SYNC, REMOVE = "write", "create", "rename", "sync", "remove"
OPERATIONS = (WRITE, CREATE, RENAME, SYNC, REMOVE)
MAX_SPARED_OPERATIONS = 12


class ProcessDeathError(Exception):
    """The simulated process dies at a disk operation."""


class FullDisk:
    """A disk that fails some kinds of operations while it is full.

    :param folder: the data folder on this disk.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.refused: frozenset[str] = frozenset()
        self.spared = 0
        self.error_number = errno.ENOSPC
        self.contents = DiskContents(folder=folder)
        self.operations_left: int | None = None

    @property
    def is_full(self) -> bool:
        """Return whether some kinds of operations fail."""
        return bool(self.refused)

    def fill(
        self,
        refused: Collection[str] = OPERATIONS,
        spared: int = 0,
        error_number: int = errno.ENOSPC,
    ) -> None:
        """Fail some kinds of operations from now on.

        :param refused: the kinds of operations that fail.
        :param spared: the number of them that still succeed first.
        :param error_number: the ``errno`` of the failures.
        """
        self.refused, self.spared = frozenset(refused), spared
        self.error_number = error_number

    def fill_at_random(self, rng: Random) -> None:
        """Fail writes and random other kinds after a random number of operations."""
        others = [kind for kind in OPERATIONS if rng.random() < 0.6]
        self.fill({WRITE, *others}, rng.randint(0, MAX_SPARED_OPERATIONS))

    def free(self) -> None:
        """Let all operations succeed again."""
        self.refused = frozenset()

    def kill_within(self, operations: int) -> None:
        """Make the process die at the operation after the next ones.

        :param operations: the number of operations that still succeed.
        """
        self.operations_left = operations

    def begin_operation(self, kind: str) -> None:
        """Count an operation and raise the error that it fails with, if any.

        :raises OSError: the disk is full for this kind of operation.
        :raises ProcessDeathError: the process dies at this operation.
        """
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise ProcessDeathError
        if kind not in self.refused:
            return
        if not self.spared:
            raise OSError(self.error_number, os.strerror(self.error_number))
        self.spared -= 1

    def sync(self, descriptor: int) -> None:
        """Record a sync of a file or a folder."""
        self.begin_operation(SYNC)
        self.contents.record_synced(descriptor)


class FullFile(io.FileIO):
    """A file on a full disk; the first write that does not fit is a short write."""

    def __init__(self, path: Path, mode: str, disk: FullDisk) -> None:
        super().__init__(path, mode)
        self.disk = disk
        self.has_written_part = False

    def write(self, data: Any, /) -> int:
        """Write all, a part or none of the data."""
        if (
            WRITE in self.disk.refused
            and not self.disk.spared
            and not self.has_written_part
        ):
            self.has_written_part = True
            part = bytes(data)[: len(data) // 2]
            if part:
                return cast(int, super().write(part))
        self.disk.begin_operation(WRITE)
        return cast(int, super().write(data))


@contextmanager
def patch_disks(disks: Collection[FullDisk]) -> Iterator[None]:
    """Patch ``Path`` so that files below the folders of disks behave as on them."""

    def disk_of(path: Path) -> FullDisk | None:
        return next((d for d in disks if d.folder in path.parents), None)

    original_open, original_replace, original_unlink = (
        Path.open,
        Path.replace,
        Path.unlink,
    )

    def replace_file(path: Path, target: Path) -> Any:
        disk = disk_of(path)
        if disk is not None:
            disk.begin_operation(RENAME)
            disk.contents.record_renamed(path, target)
            # Some file systems sync a file when it replaces another one, so the target
            # is removed first.
            with suppress(FileNotFoundError):
                os.unlink(target)
        return original_replace(path, target)

    def unlink_file(path: Path, **options: Any) -> None:
        disk = disk_of(path)
        if disk is not None:
            disk.begin_operation(REMOVE)
            disk.contents.record_removed(path)
        original_unlink(path, **options)

    def open_file(path: Path, mode: str = "r", *args: Any, **options: Any) -> Any:
        disk = disk_of(path)
        if disk is None or mode not in ("wb", "r+b"):
            return original_open(path, mode, *args, **options)
        if mode == "wb" and not path.exists():
            disk.begin_operation(CREATE)
            disk.contents.record_created(path)
        file = FullFile(path, mode.replace("b", ""), disk)
        return io.BufferedRandom(file) if "+" in mode else io.BufferedWriter(file)

    patches: Mapping[str, Callable[..., Any]] = {
        "open": open_file,
        "replace": replace_file,
        "unlink": unlink_file,
    }
    with mock.patch.multiple(Path, **patches):
        yield
