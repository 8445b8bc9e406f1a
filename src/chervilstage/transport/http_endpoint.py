"""Life-cycle hooks of an HTTP endpoint in a daemon."""

from __future__ import annotations

from typing import TYPE_CHECKING

from anyio.abc import TaskGroup

from ..state.counters import Counters
from ..state.types import Address
from .application import Hooks, StopHook
from .handler_failures import make_failure_reporter

if TYPE_CHECKING:
    from ssl import SSLContext

    from .http_server import HttpHandler


def http_endpoint_hooks(
    name: str,
    address: Address,
    handler: HttpHandler,
    counters: Counters,
    tls: SSLContext | None = None,
) -> Hooks:
    """Return the life-cycle hooks of an endpoint.

    The HTTP server is imported when the endpoint starts, so that a daemon loads its
    libraries only after the earlier parts are running.

    :param handler: answers the requests.
    :param counters: count the requests whose handler fails.
    :param tls: the certificate and key to serve over TLS, if any.
    """

    drain_hooks: list[StopHook] = []

    async def start(group: TaskGroup) -> None:
        """Serve the endpoint in a task of the group."""
        from .http_server import start_http_server

        report_failure = make_failure_reporter(name, counters)
        drain_hooks.append(
            await start_http_server(group, address, handler, report_failure, tls)
        )

    async def drain() -> None:
        """Answer the requests sent so far, and close the connections."""
        for drain_server in drain_hooks:
            await drain_server()

    return Hooks(name=name, start=start, drain=drain)
