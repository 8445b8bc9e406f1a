"""Stores the upstreams that a control replica knows, so that they survive a restart.

The file is a cache: upstreams announce themselves about every second, so a damaged or
missing file is treated as an empty one. It is synced to disk, because after a power
loss at all sites the first upstream to announce itself would otherwise get all the
load.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from ..errors import ChervilstageError
from ..protocol.feed_messages import decode_saved_upstreams, encode_saved_upstreams
from ..protocol.log_files import encode_record, read_single_record
from ..state.upstream_feed import FeedItem
from .event_log import log_event
from .log_store import sync_folder

FILE_NAME = "upstreams"
TEMPORARY_FILE_NAME = "upstreams.new"


class UpstreamStore:
    """Writes and reads the file of known upstreams.

    :param folder: the data folder of the replica.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.has_failed = False

    def save(self, items: list[FeedItem]) -> bool:
        """Replace the file and return whether that succeeded; log the first failure."""
        data = encode_record(encode_saved_upstreams(items))
        temporary_path = self.folder / TEMPORARY_FILE_NAME
        try:
            with temporary_path.open("wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            temporary_path.replace(self.folder / FILE_NAME)
            sync_folder(self.folder)
        except OSError as error:
            if not self.has_failed:
                log_event("upstreams_unsaved", level=logging.WARNING, reason=error)
            self.has_failed = True
        else:
            self.has_failed = False
        return not self.has_failed

    def load(self) -> list[FeedItem]:
        """Return the saved upstreams, as if they had just announced themselves.

        Upstreams that still run announce themselves within about a second; those that
        have ended do not answer.
        """
        path = self.folder / FILE_NAME
        try:
            content = read_single_record(path.read_bytes(), str(path))
            items, unread = decode_saved_upstreams(content)
        except FileNotFoundError:
            return []
        except (OSError, ChervilstageError) as error:
            log_event("upstreams_unread", level=logging.WARNING, reason=error)
            return []
        log_event("upstreams_loaded", count=len(items), unread=unread)
        return [item._replace(age_seconds=0.0) for item in items]
