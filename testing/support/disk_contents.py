"""Contents of a folder after a power failure: only synced data and names remain."""

from __future__ import annotations

import os
import stat
from pathlib import Path
from random import Random


class SyncedFile:
    """A file independent of its name, with the content at its last sync."""

    def __init__(self, *, content: bytes = b"") -> None:
        self.content = content


class DiskContents:
    """Tracks the files of a folder and which names and contents are durable.

    :param folder: the folder; each creation, renaming, removal and sync of its files
        must be recorded here.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.files: dict[str, SyncedFile] = {}
        self.durable_files: dict[str, SyncedFile] = {}

    def record_created(self, path: Path) -> None:
        """Record a new file."""
        self.files[path.name] = SyncedFile()

    def record_renamed(self, path: Path, target: Path) -> None:
        """Record that a file was renamed."""
        self.files[target.name] = self.files.pop(path.name)

    def record_removed(self, path: Path) -> None:
        """Record that a file was removed."""
        self.files.pop(path.name, None)

    def record_synced(self, descriptor: int) -> None:
        """Record a sync of a file or of the folder."""
        status = os.fstat(descriptor)
        if stat.S_ISDIR(status.st_mode):
            if os.path.samestat(status, self.folder.stat()):
                self.durable_files = dict(self.files)
            return
        for name, file in self.files.items():
            path = self.folder / name
            if os.path.samestat(status, path.stat()):
                file.content = path.read_bytes()
                # A new file becomes durable with its own sync.
                self.durable_files.setdefault(name, file)

    def lose_power(self, rng: Random) -> None:
        """Keep synced data; keep or lose each unsynced file and name at random."""
        kept: dict[str, bytes] = {}
        for name in sorted({*self.files, *self.durable_files}):
            path = self.folder / name
            is_newest = rng.random() < 0.5
            kept_file = (self.files if is_newest else self.durable_files).get(name)
            if kept_file is None:
                continue
            kept[name] = kept_file.content
            if kept_file is self.files.get(name):
                kept[name] = _torn_content(kept_file.content, path.read_bytes(), rng)
        # Uses ``os`` and ``open``, since methods of ``Path`` fail on a full disk.
        for path in list(self.folder.iterdir()):
            os.unlink(path)
        for name, content in kept.items():
            with open(self.folder / name, "wb") as file:
                file.write(content)
        self.files = {name: SyncedFile(content=kept[name]) for name in kept}
        self.durable_files = dict(self.files)


def _torn_content(synced: bytes, written: bytes, rng: Random) -> bytes:
    """Return synced data overwritten by none, a part or all of the later writes."""
    length = rng.choice([0, rng.randint(0, len(written)), len(written)])
    return written[:length] + synced[length:]
