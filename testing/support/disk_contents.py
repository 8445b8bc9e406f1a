"""What a folder holds after a loss of power: contents and names that were synced."""

from __future__ import annotations

import os
import stat
from pathlib import Path
from random import Random


class SyncedFile:
    """A file, whatever its name; ``content`` is what its last sync covered."""

    def __init__(self, *, content: bytes = b"") -> None:
        self.content = content


class DiskContents:
    """Follows the files of a folder and the names that are durable.

    :param folder: the folder; its files go through ``created``, ``renamed``,
        ``removed`` and ``synced``.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.files: dict[str, SyncedFile] = {}
        self.durable: dict[str, SyncedFile] = {}

    def created(self, path: Path) -> None:
        """Take note of a new file."""
        self.files[path.name] = SyncedFile()

    def renamed(self, path: Path, target: Path) -> None:
        """Take note of a new name."""
        self.files[target.name] = self.files.pop(path.name)

    def removed(self, path: Path) -> None:
        """Take note of a file that is gone."""
        self.files.pop(path.name, None)

    def synced(self, descriptor: int) -> None:
        """Take note of a sync of a file or of the folder."""
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            if os.path.samestat(status, self.folder.stat()):
                self.durable = dict(self.files)
            return
        for name, file in self.files.items():
            path = self.folder / name
            if os.path.samestat(status, path.stat()):
                file.content = path.read_bytes()
                # A new file becomes durable with its own sync.
                self.durable.setdefault(name, file)

    def lose_power(self, rng: Random) -> None:
        """Keep what was synced; of the rest each file and name is kept or lost."""
        kept: dict[str, bytes] = {}
        for name in sorted({*self.files, *self.durable}):
            path = self.folder / name
            is_newest = rng.random() < 0.5
            kept_file = (self.files if is_newest else self.durable).get(name)
            if kept_file is None:
                continue
            kept[name] = kept_file.content
            if kept_file is self.files.get(name):
                kept[name] = _torn(kept_file.content, path.read_bytes(), rng)
        # The plain calls, since those of ``Path`` are refused while the disk is full.
        for path in list(self.folder.iterdir()):
            os.unlink(path)
        for name, content in kept.items():
            with open(self.folder / name, "wb") as file:
                file.write(content)
        self.files = {name: SyncedFile(content=kept[name]) for name in kept}
        self.durable = dict(self.files)


def _torn(synced: bytes, written: bytes, rng: Random) -> bytes:
    """Return what was synced with none, a part, or all of what was written later."""
    length = rng.choice([0, rng.randint(0, len(written)), len(written)])
    return written[:length] + synced[length:]
