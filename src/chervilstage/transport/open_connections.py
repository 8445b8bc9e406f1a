"""Tracks the open connections of a listener and drains them at a planned stop."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import h11
from anyio import CancelScope

from .http_connection import HttpConnection

IDLE_TIMEOUT_SECONDS = 60.0
# Time for a caller that has just connected to send its first request; on a busy VM it
# may need this long.
FIRST_REQUEST_SECONDS = 2.0
# Long enough for the loop to read data that has already arrived.
LAST_READ_SECONDS = 0.05
# Interval at which ``wait_drained`` reads again how many requests to ignore.
DRAIN_POLL_SECONDS = 0.1


class OpenConnections:
    """The connections that wait for a request, and the number of requests in progress.

    ``stopping`` means that each connection ends with its current request.
    ``accept_scope`` is cancelled to accept no further connections.

    :param first_request_seconds: how long a connection that has had no request yet may
        take to send one while idle connections are being closed.
    """

    def __init__(self, *, first_request_seconds: float = FIRST_REQUEST_SECONDS) -> None:
        self.first_request_seconds = first_request_seconds
        self.stopping = False
        self.closing_idle = False
        # Maps the scope in which a connection waits for a request to whether it has had
        # no request yet.
        self.idle_scopes: dict[CancelScope, bool] = {}
        self.requests_in_progress = 0
        self.drained = anyio.Event()
        self.accept_scope = CancelScope()

    async def next_request(
        self, connection: HttpConnection, is_first: bool
    ) -> h11.Request | None:
        """Return the next request of a connection, or None if none arrives in time."""
        seconds = (
            self.first_request_seconds if self.closing_idle else IDLE_TIMEOUT_SECONDS
        )
        with anyio.move_on_after(seconds) as scope:
            self.idle_scopes[scope] = is_first
            try:
                event = await connection.next_event()
            finally:
                del self.idle_scopes[scope]
                self.notify_if_drained()
            return event if isinstance(event, h11.Request) else None
        return None

    @contextmanager
    def count_request(self) -> Iterator[None]:
        """Count a request as in progress."""
        self.requests_in_progress += 1
        try:
            yield
        finally:
            self.requests_in_progress -= 1
            self.notify_if_drained()

    def stop_listening(self) -> None:
        """Accept no further connections; open ones continue."""
        self.accept_scope.cancel()

    def close_idle(self) -> None:
        """Close each connection that receives no request within a short time."""
        self.closing_idle = True
        now = anyio.current_time()
        for scope, is_first in self.idle_scopes.items():
            seconds = self.first_request_seconds if is_first else LAST_READ_SECONDS
            scope.deadline = min(scope.deadline, now + seconds)

    def notify_if_drained(self) -> None:
        """Set ``drained`` if no request is in progress or may still arrive."""
        if not self.requests_in_progress and not self.idle_scopes:
            self.drained.set()

    async def wait_drained(self, ignored_requests: Callable[[], int] = int) -> None:
        """Wait until no request is in progress or may still arrive.

        :param ignored_requests: returns how many requests in progress not to wait for.
        """
        while self.idle_scopes or self.requests_in_progress > ignored_requests():
            self.drained = anyio.Event()
            with anyio.move_on_after(DRAIN_POLL_SECONDS):
                await self.drained.wait()
