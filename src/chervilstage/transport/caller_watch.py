"""Detects callers that disconnect while their request is in progress."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from anyio import CancelScope

from ..errors import ChervilstageError
from ..errors.requests import CallerLeftError
from .http_connection import READ_BYTES, HttpConnection

T = TypeVar("T")


async def cancel_on_disconnect(
    caller: HttpConnection, call: Callable[[], Awaitable[T]]
) -> T:
    """Return the result of a call; cancel it when the caller closes its connection.

    A caller that closes only its sending side counts as disconnected.

    :raises CallerLeftError: the caller disconnected first.
    """
    results: list[T] = []
    failures: list[ChervilstageError] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_after_close, caller, group.cancel_scope)
        try:
            results.append(await call())
        except ChervilstageError as error:
            failures.append(error)
        group.cancel_scope.cancel()
    if failures:
        raise failures[0]
    if not results:
        raise CallerLeftError(reason="connection closed")
    return results[0]


async def _cancel_after_close(caller: HttpConnection, scope: CancelScope) -> None:
    """Cancel a scope when the caller closes; watch no longer once it sends data."""
    try:
        data = await caller.stream.receive(READ_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        scope.cancel()
        return
    # A pipelined request; it stays in the codec until this one is answered.
    caller.codec.receive_data(data)
