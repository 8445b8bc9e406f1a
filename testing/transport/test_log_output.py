"""Log output to a pipe whose reader is slow or gone."""

from __future__ import annotations

import logging
import os

from chervilstage.transport.log_output import LineOutput


def make_record(text: str) -> logging.LogRecord:
    """Return a log record with a text."""
    return logging.LogRecord("test", logging.INFO, "", 0, text, None, None)


def test_a_reader_that_stops_reading_does_not_block_the_writer() -> None:
    """Guards against an event loop that blocks on the reader of its log."""
    reader, writer = os.pipe()
    output = LineOutput(descriptor=writer)
    count = 5000
    for number in range(count):
        output.emit(make_record(f"line {number} " + "x" * 100))
    assert output.lost_lines > 0
    lost_lines = output.lost_lines
    data = os.read(reader, 1 << 20)
    output.emit(make_record("after"))
    data += os.read(reader, 1 << 20)
    lines = data.decode().splitlines()
    assert lines[-1] == "after"
    assert lines[-2] == f"level=WARNING event=log_lines_lost count={lost_lines}"
    assert all(line.endswith("x" * 100) for line in lines[:-2])
    assert len(lines) - 2 + lost_lines == count
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_is_no_error() -> None:
    """Guards against a daemon that stops when the reader of its log does."""
    reader, writer = os.pipe()
    output = LineOutput(descriptor=writer)
    os.close(reader)
    output.emit(make_record("nobody"))
    assert output.lost_lines == 1
    os.close(writer)
