"""The metrics endpoint on the platform."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING

from ..state.counters import Counters
from ..state.histograms import Histogram
from ..state.types import Address
from ..transport.application import Hooks
from ..transport.http_endpoint import http_endpoint_hooks

if TYPE_CHECKING:
    from ..transport.http_connection import HttpRequest, HttpResponse

# The ports of the deploy file, by role.
METRICS_PORTS = {"entry": 9464, "control": 9465}


def platform_metrics_hooks(
    *,
    address: Address,
    counters: Counters,
    gauges: Callable[[], Mapping[str, float]],
    durations: Mapping[str, Histogram],
) -> Hooks:
    """Return the hooks of an endpoint that answers ``GET /metrics``.

    The libraries are loaded with the first call, since metrics are only fetched while
    an incident is examined and loading them takes a tenth of a second of a core.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer one request with the counts of this moment."""
        from ..transport.metrics import metrics_response

        return metrics_response(request, counters, gauges, durations)

    return http_endpoint_hooks("metrics", address, answer)
