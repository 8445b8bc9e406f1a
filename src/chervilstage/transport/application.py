"""Life cycle of a daemon: start, reload, drain and stop of its parts."""

from __future__ import annotations

import signal
import sys
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import anyio
from anyio.abc import TaskGroup

from .clock import replica_clock
from .event_log import log_event

DEFAULT_DRAIN_SECONDS = 60.0
# 128 + SIGINT, the status that a shell reports after an interrupt.
EXIT_SECOND_SIGNAL = 130

StartHook = Callable[[TaskGroup], Awaitable[None]]
StopHook = Callable[[], Awaitable[None]]


class Hooks(NamedTuple):
    """Life-cycle hooks of one part.

    ``start`` runs in the order of registration. On a planned stop, ``drain`` runs in
    reverse order while all parts still work, then ``stop`` in reverse order.
    ``reload`` runs when the settings may have changed.
    """

    name: str
    start: StartHook | None = None
    drain: StopHook | None = None
    stop: StopHook | None = None
    reload: StopHook | None = None


class Application:
    """Runs the hooks of a daemon's parts from its start until a stop signal.

    :param name: the name of the process in log lines.
    :param drain_seconds: the time limit of a drain.
    :param started_at: when the process started, in seconds of the replica clock.
    """

    def __init__(
        self,
        *,
        name: str,
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
        started_at: float | None = None,
    ) -> None:
        self.name = name
        self.drain_seconds = drain_seconds
        self.started_at = replica_clock() if started_at is None else started_at
        self.parts: list[Hooks] = []
        self.stop_requested = anyio.Event()

    def add(self, hooks: Hooks) -> None:
        """Register the hooks of a part."""
        self.parts.append(hooks)

    async def run(self) -> None:
        """Start all parts, wait for a signal, then drain and stop them."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.watch_signals)
            for part in self.parts:
                if part.start:
                    await part.start(group)
            seconds = round(replica_clock() - self.started_at, 3)
            log_event("started", process=self.name, seconds=seconds)
            await self.stop_requested.wait()
            await self.drain()
            await self.stop_parts()
            group.cancel_scope.cancel()
        log_event("stopped", process=self.name)

    async def drain(self) -> None:
        """Drain all parts in reverse order within the time limit."""
        log_event("draining", process=self.name)
        with anyio.move_on_after(self.drain_seconds) as scope:
            for part in reversed(self.parts):
                if part.drain:
                    await part.drain()
        if scope.cancelled_caught:
            log_event("drain_incomplete", process=self.name, seconds=self.drain_seconds)

    async def reload(self) -> None:
        """Notify all parts that the settings may have changed."""
        log_event("reloading", process=self.name)
        for part in self.parts:
            if part.reload:
                await part.reload()

    async def stop_parts(self) -> None:
        """Stop all parts in reverse order."""
        for part in reversed(self.parts):
            if part.stop:
                await part.stop()

    async def watch_signals(self) -> None:
        """Reload on SIGHUP; stop on SIGTERM or SIGINT, immediately if repeated."""
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for signal_number in signals:
                if signal_number == signal.SIGHUP:
                    await self.reload()
                    continue
                if self.stop_requested.is_set():
                    log_event("stopped_by_second_signal", process=self.name)
                    sys.exit(EXIT_SECOND_SIGNAL)
                self.stop_requested.set()
