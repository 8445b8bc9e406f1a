"""An HTTP endpoint as one part of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from ..state.types import Address
from .application import Hooks

if TYPE_CHECKING:
    from .http_server import HttpHandler


def http_endpoint_hooks(name: str, address: Address, handler: HttpHandler) -> Hooks:
    """Return the hooks of an endpoint whose requests a handler answers.

    The HTTP server is imported at the start of the endpoint: a daemon whose earlier
    parts work already loads its libraries after them.
    """

    async def start(group: TaskGroup) -> None:
        """Serve the endpoint in a task of the group."""
        from .http_server import start_http_server

        await start_http_server(group, address, handler)

    return Hooks(name=name, start=start)
