"""Relays answers from upstreams to callers."""

from __future__ import annotations

from collections.abc import Callable

import anyio
import h11

from ..coordination.admission import MAXIMUM_FEEDS
from ..errors import ChervilstageError
from ..errors.requests import CallerLeftError, MalformedRequestError
from ..protocol.request_headers import FEED_HEADER, end_to_end_fields
from ..state.capacity import AttemptResult
from .caller_watch import cancel_on_disconnect
from .http_connection import HttpConnection
from .service_requests import ServiceRequests
from .upstream_exchange import CONNECTION_ERRORS, Exchange, answer_chunks
from .upstream_pool import discard

# A feed that is open for longer releases its permit, since an upstream can serve many
# more open feeds than concurrent requests.
LONG_FEED_SECONDS = 1.0
SEND_TIMEOUT_SECONDS = 30.0


def is_declared_feed(response: h11.Response) -> bool:
    """Return whether an upstream declares an answer to be a feed.

    The records of a feed are independent of each other. Any other answer must not be
    ended early, because a chunked one would then look complete to the caller.
    """
    headers = dict(response.headers)
    return b"transfer-encoding" in headers and FEED_HEADER.encode() in headers


class AnswerRelay:
    """Relays one answer to its caller.

    An answer that cannot be relayed whole ends with an error; the caller's connection
    is then closed before the end of the body. ``is_feed`` means that the answer counts
    as an open feed and has released its permit before its end.

    :param is_stopping: returns whether the entry accepts no new requests.
    :param feed_stop_requested: set when feeds have to end at a planned stop.
    """

    def __init__(
        self,
        *,
        requests: ServiceRequests,
        exchange: Exchange,
        caller: HttpConnection,
        is_stopping: Callable[[], bool],
        feed_stop_requested: anyio.Event,
    ) -> None:
        self.requests = requests
        self.exchange = exchange
        self.caller = caller
        self.is_stopping = is_stopping
        self.feed_stop_requested = feed_stop_requested
        self.has_permit = True
        self.is_feed = False
        self.complete = False
        self.failure: ChervilstageError | None = None

    async def run(self) -> None:
        """Relay the answer to its end.

        :raises ChervilstageError: the answer was truncated, or the caller disconnected.
        """
        result = AttemptResult.FAILED
        try:
            await cancel_on_disconnect(self.caller, self.relay_answer)
            result = AttemptResult.SUCCEEDED
        except CallerLeftError:
            result = AttemptResult.CANCELLED
            raise
        finally:
            self.remove_from_feeds()
            self.release_permit_once(result)
            with anyio.CancelScope(shield=True):
                await self.close_exchange()

    async def close_exchange(self) -> None:
        """Keep the upstream connection for reuse if its answer is complete."""
        if self.complete:
            upstream = self.exchange.permit.upstream
            await self.requests.pool.return_connection(
                upstream, self.exchange.connection
            )
        else:
            await discard(self.exchange.connection)

    async def relay_answer(self) -> None:
        """Send the head and the body of the answer to the caller."""
        response = self.exchange.response
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in end_to_end_fields(response.headers)
        ]
        if self.is_stopping():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status_code, headers=headers)
        await self.send(head)
        async with anyio.create_task_group() as group:
            if is_declared_feed(response):
                group.start_soon(self.watch_feed, group.cancel_scope)
            await self.relay_body()
            group.cancel_scope.cancel()
        if self.failure is not None:
            raise self.failure
        with anyio.CancelScope(shield=True):
            await self.send(h11.EndOfMessage())

    async def relay_body(self) -> None:
        """Relay the body; ``failure`` is set to the reason if it was truncated."""
        try:
            async for chunk in answer_chunks(self.exchange):
                await self.send(h11.Data(data=chunk))
        except ChervilstageError as error:
            self.failure = error
        except CONNECTION_ERRORS as error:
            self.failure = MalformedRequestError(reason=type(error).__name__)
        else:
            self.complete = True

    async def send(self, event: h11.Event) -> None:
        """Send an event to the caller.

        :raises CallerLeftError: the caller disconnected or does not read in time.
        """
        try:
            with anyio.fail_after(SEND_TIMEOUT_SECONDS):
                await self.caller.send(event)
        except (TimeoutError, h11.LocalProtocolError, *CONNECTION_ERRORS) as error:
            raise CallerLeftError(reason=type(error).__name__) from error

    async def watch_feed(self, scope: anyio.CancelScope) -> None:
        """Release the permit of a long feed, and end it cleanly at a planned stop.

        Above the limit of open feeds, a feed keeps its permit until it ends.
        """
        await anyio.sleep(LONG_FEED_SECONDS)
        if self.requests.load.feeds < MAXIMUM_FEEDS:
            self.is_feed = True
            self.requests.load.feeds += 1
            self.release_permit_once(AttemptResult.SUCCEEDED)
        await self.feed_stop_requested.wait()
        scope.cancel()

    def remove_from_feeds(self) -> None:
        """Remove a feed that has ended from the count of open feeds."""
        if self.is_feed:
            self.requests.load.feeds -= 1

    def release_permit_once(self, result: AttemptResult) -> None:
        """Release the permit unless it has been released already."""
        if self.has_permit:
            self.has_permit = False
            self.requests.release_permit(self.exchange.permit, result, self.is_feed)
