"""An HTTP endpoint as one part of a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from ..state.types import Address
from .application import Hooks, StopHook

if TYPE_CHECKING:
    from ssl import SSLContext

    from .http_server import HttpHandler


def http_endpoint_hooks(
    name: str, address: Address, handler: HttpHandler, tls: SSLContext | None = None
) -> Hooks:
    """Return the hooks of an endpoint whose requests a handler answers.

    The HTTP server is imported at the start of the endpoint: a daemon whose earlier
    parts work already loads its libraries after them.

    :param tls: the certificate and key to serve over TLS, if any.
    """

    drains: list[StopHook] = []

    async def start(group: TaskGroup) -> None:
        """Serve the endpoint in a task of the group."""
        from .http_server import start_http_server

        drains.append(await start_http_server(group, address, handler, tls))

    async def drain() -> None:
        """Answer what has been sent by now, and close the connections."""
        for drain_server in drains:
            await drain_server()

    return Hooks(name=name, start=start, drain=drain)
