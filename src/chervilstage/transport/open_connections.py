"""The open connections of a listener, and how they end at a planned stop."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio
import h11
from anyio import CancelScope

from .http_connection import HttpConnection

IDLE_SECONDS = 60.0
# A caller that has just connected is about to send; one on a busy VM takes a while.
FIRST_REQUEST_SECONDS = 2.0
# Long enough for the loop to read what has arrived already.
LAST_READ_SECONDS = 0.05
# How late a change of what ``ignored`` counts is noticed.
QUIET_POLL_SECONDS = 0.1


class OpenConnections:
    """Which connections wait for a request, and how many requests are served.

    ``stopping`` tells that each connection ends with its present request. ``listening``
    is cancelled to accept no further connections.

    :param first_request_seconds: how long a connection that has had no request may
        take to send one while idle ones are closed.
    """

    def __init__(self, *, first_request_seconds: float = FIRST_REQUEST_SECONDS) -> None:
        self.first_request_seconds = first_request_seconds
        self.stopping = False
        self.closing_idle = False
        # Whether the connection that waits in a scope has had no request yet.
        self.idle_scopes: dict[CancelScope, bool] = {}
        self.serving = 0
        self.quiet = anyio.Event()
        self.listening = CancelScope()

    async def next_request(
        self, connection: HttpConnection, is_first: bool
    ) -> h11.Request | None:
        """Return the next request of a connection, if one comes before a stop."""
        seconds = self.first_request_seconds if self.closing_idle else IDLE_SECONDS
        with anyio.move_on_after(seconds) as scope:
            self.idle_scopes[scope] = is_first
            try:
                event = await connection.next_event()
            finally:
                del self.idle_scopes[scope]
                self.tell_if_quiet()
            return event if isinstance(event, h11.Request) else None
        return None

    @contextmanager
    def request(self) -> Iterator[None]:
        """Count a request that is served."""
        self.serving += 1
        try:
            yield
        finally:
            self.serving -= 1
            self.tell_if_quiet()

    def stop_listening(self) -> None:
        """Accept no further connections; those that are open go on."""
        self.listening.cancel()

    def close_idle(self) -> None:
        """End the connections on which no request comes."""
        self.closing_idle = True
        now = anyio.current_time()
        for scope, is_first in self.idle_scopes.items():
            seconds = self.first_request_seconds if is_first else LAST_READ_SECONDS
            scope.deadline = min(scope.deadline, now + seconds)

    def tell_if_quiet(self) -> None:
        """Wake the stop if no connection has a request or may still send one."""
        if not self.serving and not self.idle_scopes:
            self.quiet.set()

    async def wait_quiet(self, ignored: Callable[[], int] = int) -> None:
        """Wait until no request is left or may still come.

        :param ignored: returns how many of the requests need not end.
        """
        while self.idle_scopes or self.serving > ignored():
            self.quiet = anyio.Event()
            with anyio.move_on_after(QUIET_POLL_SECONDS):
                await self.quiet.wait()
