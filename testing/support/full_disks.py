"""Disks that refuse operations as full ones do, under the real files of a log."""

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
MOST_SPARED = 12


class ProcessDeathError(Exception):
    """The process that uses the disk dies at an operation."""


class FullDisk:
    """Refuses some operations from a certain one on while it is full.

    :param folder: the data folder on this disk.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.refused: frozenset[str] = frozenset()
        self.spared = 0
        self.number = errno.ENOSPC
        self.contents = DiskContents(folder=folder)
        self.operations_left: int | None = None

    @property
    def is_full(self) -> bool:
        """Tell whether some operation is refused."""
        return bool(self.refused)

    def fill(
        self,
        refused: Collection[str] = OPERATIONS,
        spared: int = 0,
        number: int = errno.ENOSPC,
    ) -> None:
        """Refuse operations after some have still been done.

        :param number: the error that they get.
        """
        self.refused, self.spared = frozenset(refused), spared
        self.number = number

    def fill_at_random(self, rng: Random) -> None:
        """Become full at a random operation; writes are always refused."""
        others = [kind for kind in OPERATIONS if rng.random() < 0.6]
        self.fill({WRITE, *others}, rng.randint(0, MOST_SPARED))

    def free(self) -> None:
        """Have room again."""
        self.refused = frozenset()

    def kill_within(self, operations: int) -> None:
        """Have the process die at an operation after some others."""
        self.operations_left = operations

    def take(self, kind: str) -> None:
        """Do an operation.

        :raises OSError: it is refused.
        :raises ProcessDeathError: the process dies at it.
        """
        if self.operations_left is not None:
            self.operations_left -= 1
            if self.operations_left < 0:
                raise ProcessDeathError
        if kind not in self.refused:
            return
        if not self.spared:
            raise OSError(self.number, os.strerror(self.number))
        self.spared -= 1

    def sync(self, descriptor: int) -> None:
        """Sync a file or a folder."""
        self.take(SYNC)
        self.contents.synced(descriptor)


class FullFile(io.FileIO):
    """A file on such a disk; the first write that does not fit is cut short."""

    def __init__(self, path: Path, mode: str, disk: FullDisk) -> None:
        super().__init__(path, mode)
        self.disk = disk
        self.is_cut = False

    def write(self, data: Any, /) -> int:
        """Write all, a part, or nothing."""
        if WRITE in self.disk.refused and not self.disk.spared and not self.is_cut:
            self.is_cut = True
            part = bytes(data)[: len(data) // 2]
            if part:
                return cast(int, super().write(part))
        self.disk.take(WRITE)
        return cast(int, super().write(data))


@contextmanager
def refusing(disks: Collection[FullDisk]) -> Iterator[None]:
    """Have the files below the folders of disks behave as on those disks."""

    def disk_of(path: Path) -> FullDisk | None:
        return next((d for d in disks if d.folder in path.parents), None)

    original_open, original_replace, original_unlink = (
        Path.open,
        Path.replace,
        Path.unlink,
    )

    def renamed(path: Path, target: Path) -> Any:
        disk = disk_of(path)
        if disk is not None:
            disk.take(RENAME)
            disk.contents.renamed(path, target)
            # Some file systems write a file out when it replaces another one.
            with suppress(FileNotFoundError):
                os.unlink(target)
        return original_replace(path, target)

    def removed(path: Path, **options: Any) -> None:
        disk = disk_of(path)
        if disk is not None:
            disk.take(REMOVE)
            disk.contents.removed(path)
        original_unlink(path, **options)

    def opened(path: Path, mode: str = "r", *args: Any, **options: Any) -> Any:
        disk = disk_of(path)
        if disk is None or mode not in ("wb", "r+b"):
            return original_open(path, mode, *args, **options)
        if mode == "wb" and not path.exists():
            disk.take(CREATE)
            disk.contents.created(path)
        file = FullFile(path, mode.replace("b", ""), disk)
        return io.BufferedRandom(file) if "+" in mode else io.BufferedWriter(file)

    patches: Mapping[str, Callable[..., Any]] = {
        "open": opened,
        "replace": renamed,
        "unlink": removed,
    }
    with mock.patch.multiple(Path, **patches):
        yield
