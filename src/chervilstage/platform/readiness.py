"""The platform's readiness check."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from ..state.types import Address
from ..transport.application import Hooks
from ..transport.http_endpoint import http_endpoint_hooks

if TYPE_CHECKING:
    from ..transport.http_connection import HttpRequest, HttpResponse

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


def readiness_hooks(address: Address, is_ready: Callable[[], bool]) -> Hooks:
    """Return the hooks of an endpoint that answers ``GET /readiness``.

    Its libraries are loaded when packets are relayed already: an entry that restarts
    gets packets before it is ready.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer one request with the readiness of this moment."""
        from ..transport.http_connection import HttpResponse

        if request.target != "/readiness":
            return HttpResponse(status=STATUS_NOT_FOUND, headers={}, body=b"")
        status = STATUS_OK if is_ready() else STATUS_NOT_READY
        return HttpResponse(status=status, headers={}, body=b"")

    return http_endpoint_hooks("readiness", address, answer)
