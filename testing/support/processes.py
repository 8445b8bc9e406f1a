"""Start programs as processes, each on its own loopback address."""

from __future__ import annotations

import itertools
import os
import re
import signal
import subprocess
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from types import MappingProxyType
from typing import NamedTuple

import tomli_w

ROOT = Path(__file__).parent.parent.parent
WAIT_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.02

host_numbers = itertools.count(1)


class StartedProcess(NamedTuple):
    """A started program and its log file."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path

    def log_lines(self, event: str) -> list[str]:
        """Return the log lines of an event."""
        text = self.log.read_text(errors="replace")
        return [line for line in text.splitlines() if f"event={event}" in line]

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    def log_field(self, event: str, key: str) -> str | None:
        """Return a field of the first log line of an event that has it, if any."""
        for line in self.log_lines(event):
            found = re.search(rf"\b{key}=(\S+)", line)
            if found:
                return found.group(1)
        return None


def unique_host() -> str:
    """Return a loopback address that no other test process uses.

    Each test process has its own range of 127.0.0.0/8, so that fixed ports on these
    addresses do not collide.
    """
    number = (os.getpid() % 30_000) * 256 + next(host_numbers)
    return f"127.{64 + (number >> 16)}.{(number >> 8) & 255}.{number & 255}"


def wait_until(
    condition: Callable[[], bool],
    description: str,
    timeout_seconds: float = WAIT_TIMEOUT_SECONDS,
) -> None:
    """Wait until a condition holds.

    :raises AssertionError: the condition does not hold in time.
    """
    deadline = time.monotonic() + timeout_seconds
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {timeout_seconds} s: {description}")
        time.sleep(POLL_SECONDS)


class Processes:
    """The programs that a test has started.

    :param folder: the folder for settings, logs and data.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.started: list[StartedProcess] = []

    def start(
        self, name: str, program: str, arguments: Sequence[str]
    ) -> StartedProcess:
        """Start a program of the package and write its output to a log file."""
        return self.start_module(name, f"chervilstage.programs.{program}", arguments)

    def start_module(
        self,
        name: str,
        module: str,
        arguments: Sequence[str],
        variables: Mapping[str, str] = MappingProxyType({}),
    ) -> StartedProcess:
        """Start a module as a program and write its output to a log file."""
        log = self.folder / f"{name}-{len(self.started)}.log"
        with log.open("wb") as log_file:
            process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=log_file,
                stderr=log_file,
                env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}", **variables},
            )
        started = StartedProcess(name=name, process=process, log=log)
        self.started.append(started)
        return started

    def start_with_settings(
        self, name: str, program: str, settings: dict[str, object]
    ) -> StartedProcess:
        """Write a settings file and start a daemon with it."""
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return self.start(name, program, [str(path)])

    def run(self, program: str, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a program and return its exit code and output."""
        return subprocess.run(
            [sys.executable, "-m", f"chervilstage.programs.{program}", *arguments],
            capture_output=True,
            text=True,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}"},
            timeout=WAIT_TIMEOUT_SECONDS,
            check=False,
        )

    def close(self) -> None:
        """Kill the processes that still run."""
        for started in self.started:
            if started.process.poll() is None:
                started.process.send_signal(signal.SIGCONT)
                started.process.kill()
            started.process.wait()
