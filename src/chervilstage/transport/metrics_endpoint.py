"""Metrics endpoint that loads its libraries at the first request."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ..state.counters import Counters
from ..state.histograms import Histogram
from ..state.types import Address
from .application import Hooks
from .http_endpoint import http_endpoint_hooks

if TYPE_CHECKING:
    from .http_connection import HttpRequest, HttpResponse


def lazy_metrics_hooks(
    *,
    address: Address,
    counters: Counters,
    gauges: Callable[[], Mapping[str, float]],
    durations: Mapping[str, Histogram],
) -> Hooks:
    """Return the hooks of an endpoint that answers ``GET /metrics``.

    The libraries are loaded at the first request: metrics are only fetched while an
    incident is examined, and loading the libraries takes 0.1 s of processor time.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer a request with the current metrics."""
        from .metrics import metrics_response

        return metrics_response(request, counters, gauges, durations)

    return http_endpoint_hooks("metrics", address, answer, counters)
