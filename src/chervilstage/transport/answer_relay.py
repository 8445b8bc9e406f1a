"""Passes answers of upstreams to callers."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11

from ..coordination.admission import MAXIMUM_FEEDS
from ..errors import ChervilstageError
from ..errors.requests import CallerLeftError, MalformedRequestError
from ..protocol.request_headers import FEED_HEADER, end_to_end
from ..state.capacity import AttemptResult
from .caller_watch import unless_caller_leaves
from .http_connection import HttpConnection
from .service_requests import ServiceRequests
from .upstream_exchange import CLOSED, Exchange, answer_chunks
from .upstream_pool import discard

# A feed that lasts longer gives its permit back, since upstreams bear many more open
# feeds than requests at once.
FEED_AFTER_SECONDS = 1.0
SEND_SECONDS = 30.0


def is_declared_feed(response: h11.Response) -> bool:
    """Tell whether an upstream says that an answer is a feed.

    Any other answer has to reach its own end: one in chunks that is ended early would
    look whole.
    """
    headers = dict(response.headers)
    return b"transfer-encoding" in headers and FEED_HEADER.encode() in headers


class AnswerRelay:
    """The relaying of one answer.

    An answer that cannot be passed on whole ends with an error; the caller's
    connection is then closed before the end of the body.

    :param stopping: tells whether the entry takes no new requests.
    """

    def __init__(
        self,
        *,
        requests: ServiceRequests,
        exchange: Exchange,
        caller: HttpConnection,
        stopping: Callable[[], bool],
        feeds_end: anyio.Event,
    ) -> None:
        self.requests = requests
        self.exchange = exchange
        self.caller = caller
        self.stopping = stopping
        self.feeds_end = feeds_end
        self.holds_permit = True
        self.is_feed = False
        self.complete = False
        self.failure: ChervilstageError | None = None

    async def run(self) -> None:
        """Pass the answer on until its end.

        :raises ChervilstageError: the answer was cut, or the caller left.
        """
        result = AttemptResult.FAILED
        try:
            await unless_caller_leaves(self.caller, self.pass_on)
            result = AttemptResult.SUCCEEDED
        except CallerLeftError:
            result = AttemptResult.CANCELLED
            raise
        finally:
            self.leave_feeds()
            self.give_permit(result)
            with anyio.CancelScope(shield=True):
                await self.close_exchange()

    async def close_exchange(self) -> None:
        """Keep the upstream's connection if its answer is complete."""
        if self.complete:
            upstream = self.exchange.permit.upstream
            await self.requests.pool.give(upstream, self.exchange.connection)
        else:
            await discard(self.exchange.connection)

    async def pass_on(self) -> None:
        """Send head and body to the caller."""
        response = self.exchange.response
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in end_to_end(response.headers)
        ]
        if self.stopping():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status_code, headers=headers)
        await self.send(head)
        async with anyio.create_task_group() as group:
            if is_declared_feed(response):
                group.start_soon(self.watch_feed, group.cancel_scope)
            await self.pass_body()
            group.cancel_scope.cancel()
        if self.failure is not None:
            raise self.failure
        with anyio.CancelScope(shield=True):
            await self.send(h11.EndOfMessage())

    async def pass_body(self) -> None:
        """Pass the chunks on; ``failure`` tells why the body was cut, if it was."""
        try:
            async for chunk in answer_chunks(self.exchange):
                await self.send(h11.Data(data=chunk))
        except ChervilstageError as error:
            self.failure = error
        except CLOSED as error:
            self.failure = MalformedRequestError(reason=type(error).__name__)
        else:
            self.complete = True

    async def send(self, event: h11.Event) -> None:
        """Send an event to the caller.

        :raises CallerLeftError: the caller takes nothing.
        """
        try:
            with anyio.fail_after(SEND_SECONDS):
                await self.caller.send(event)
        except (TimeoutError, h11.LocalProtocolError, *CLOSED) as error:
            raise CallerLeftError(reason=type(error).__name__) from error

    async def watch_feed(self, scope: anyio.CancelScope) -> None:
        """Give the permit of a long feed back, and end it cleanly at a planned stop."""
        await anyio.sleep(FEED_AFTER_SECONDS)
        if self.requests.load.feeds < MAXIMUM_FEEDS:
            self.is_feed = True
            self.requests.load.feeds += 1
            self.give_permit(AttemptResult.SUCCEEDED)
        await self.feeds_end.wait()
        scope.cancel()

    def leave_feeds(self) -> None:
        """Count a feed that has ended."""
        if self.is_feed:
            self.requests.load.feeds -= 1

    def give_permit(self, result: AttemptResult) -> None:
        """Give the permit back, once."""
        if self.holds_permit:
            self.holds_permit = False
            self.requests.release(self.exchange.permit, result, self.is_feed)
