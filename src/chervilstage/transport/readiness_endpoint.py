"""Readiness endpoint, which reports whether the fabric should send packets here."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..state.counters import Counters
from ..state.types import Address
from .application import Hooks
from .http_endpoint import http_endpoint_hooks

if TYPE_CHECKING:
    from .http_connection import HttpRequest, HttpResponse

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


def readiness_hooks(
    address: Address, path: str, is_ready: Callable[[], bool], counters: Counters
) -> Hooks:
    """Return the hooks of an endpoint that answers requests for a path.

    Its libraries are loaded at the first request, when packets are already relayed, as
    loading them at start would delay the packets that a restarted entry receives before
    it is ready.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer a request with the current readiness."""
        from .http_connection import HttpResponse

        if request.target != path:
            return HttpResponse(status=STATUS_NOT_FOUND, headers={}, body=b"")
        status = STATUS_OK if is_ready() else STATUS_NOT_READY
        return HttpResponse(status=status, headers={}, body=b"")

    return http_endpoint_hooks("readiness", address, answer, counters)
