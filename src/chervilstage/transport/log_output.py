"""Logging handler that does not block on a slow reader."""

from __future__ import annotations

import logging
import os
import stat
from collections.abc import Callable

# The remainder of a partly written line is kept up to this size and written before
# the next line.
MAX_UNWRITTEN_BYTES = 64 * 1024


class LineOutput(logging.Handler):
    """Writes lines to a file descriptor; drops and counts lines when a pipe is full.

    A pipe fills up while its reader is slow. The next line that fits is preceded by a
    line with the number of lost lines.

    :param descriptor: the file descriptor to write to.
    """

    def __init__(
        self,
        *,
        descriptor: int,
        write: Callable[[int, bytes], int] = os.write,
    ) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.write = write
        self.unwritten = b""
        self.lost_lines = 0
        if stat.S_ISFIFO(os.fstat(descriptor).st_mode):
            os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write the line of a record, or count it as lost."""
        try:
            line = self.format(record).encode(errors="replace") + b"\n"
            if self.unwritten or self.lost_lines:
                self.write_backlog()
            if self.unwritten:
                self.lost_lines += 1
                return
            self.write_data(line)
        except BlockingIOError:
            self.lost_lines += 1
        except OSError:
            # The reader has closed the pipe; there is no other place to report this.
            self.lost_lines += 1

    def write_backlog(self) -> None:
        """Finish a partly written line, then write the number of lost lines."""
        if self.unwritten:
            unwritten, self.unwritten = self.unwritten, b""
            try:
                self.write_data(unwritten)
            except BlockingIOError:
                self.unwritten = unwritten
                raise
        if self.lost_lines and not self.unwritten:
            self.write_data(
                b"level=WARNING event=log_lines_lost count=%d\n" % self.lost_lines
            )
            self.lost_lines = 0

    def write_data(self, data: bytes) -> None:
        """Write bytes and keep the unwritten remainder."""
        written = self.write(self.descriptor, data)
        self.unwritten = data[written:][:MAX_UNWRITTEN_BYTES]
