"""Metrics endpoint of a daemon."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from prometheus_client import CollectorRegistry, Histogram, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from ..state import histograms
from ..state.counters import Counters
from ..state.types import Address
from .application import Hooks
from .http_connection import HttpRequest, HttpResponse
from .http_endpoint import http_endpoint_hooks

Gauges = Callable[[], Mapping[str, float]]


class CountersCollector:
    """Exports the counters and gauges of a process.

    :param gauges: returns the current gauges by name.
    :param durations: the histograms of durations by name.
    """

    def __init__(
        self,
        *,
        counters: Counters,
        gauges: Gauges,
        durations: Mapping[str, histograms.Histogram] = MappingProxyType({}),
    ) -> None:
        self.counters = counters
        self.gauges = gauges
        self.durations = durations

    def collect(self) -> Iterable[Metric]:
        """Yield the metric families of all counters, gauges and histograms."""
        by_name: dict[str, list[tuple[str, int]]] = defaultdict(list)
        for (name, label), value in self.counters.values.items():
            by_name[name].append((label, value))
        for name, samples in by_name.items():
            family = CounterMetricFamily(
                f"chervilstage_{name}", name.replace("_", " "), labels=["label"]
            )
            for label, value in samples:
                family.add_metric([label], value)
            yield family
        for name, gauge in self.gauges().items():
            yield GaugeMetricFamily(
                f"chervilstage_{name}", name.replace("_", " "), value=gauge
            )
        for name, durations in self.durations.items():
            yield HistogramMetricFamily(
                f"chervilstage_{name}",
                name.replace("_", " "),
                buckets=[
                    ("+Inf" if bound == float("inf") else str(bound), count)
                    for bound, count in durations.cumulative()
                ],
                sum_value=durations.total_seconds,
            )


def metrics_hooks(
    *,
    address: Address,
    counters: Counters,
    gauges: Gauges,
    histograms: Iterable[Histogram] = (),
) -> Hooks:
    """Return the hooks of an endpoint that answers ``GET /metrics``."""
    registry = CollectorRegistry()
    registry.register(CountersCollector(counters=counters, gauges=gauges))
    for histogram in histograms:
        registry.register(histogram)

    async def answer(request: HttpRequest) -> HttpResponse:
        """Answer a request with the current metrics of the registry."""
        return _render_metrics(request, registry)

    return http_endpoint_hooks("metrics", address, answer, counters)


def metrics_response(
    request: HttpRequest,
    counters: Counters,
    gauges: Gauges,
    durations: Mapping[str, histograms.Histogram],
) -> HttpResponse:
    """Answer a ``GET /metrics`` request with the current metrics."""
    registry = CollectorRegistry()
    registry.register(
        CountersCollector(counters=counters, gauges=gauges, durations=durations)
    )
    return _render_metrics(request, registry)


def _render_metrics(request: HttpRequest, registry: CollectorRegistry) -> HttpResponse:
    if request.method != "GET" or request.target != "/metrics":
        return HttpResponse(status=404, headers={}, body=b"")
    return HttpResponse(
        status=200,
        headers={"content-type": "text/plain; version=0.0.4"},
        body=generate_latest(registry),
    )
