"""Notices callers that leave while their request is in work."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from anyio import CancelScope

from ..errors import ChervilstageError
from ..errors.requests import CallerLeftError
from .http_connection import READ_BYTES, HttpConnection

T = TypeVar("T")


async def unless_caller_leaves(
    caller: HttpConnection, call: Callable[[], Awaitable[T]]
) -> T:
    """Return the result of a call, cancelled when the caller closes its connection.

    A caller that closes only its sending side counts as gone.

    :raises CallerLeftError: the caller left first.
    """
    results: list[T] = []
    failures: list[ChervilstageError] = []
    async with anyio.create_task_group() as group:
        group.start_soon(_cancel_when_gone, caller, group.cancel_scope)
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


async def _cancel_when_gone(caller: HttpConnection, scope: CancelScope) -> None:
    try:
        data = await caller.stream.receive(READ_BYTES)
    except (
        anyio.EndOfStream,
        anyio.BrokenResourceError,
        anyio.ClosedResourceError,
    ):
        scope.cancel()
        return
    # The next request came early; it waits in the codec until this one is answered.
    caller.codec.receive_data(data)
