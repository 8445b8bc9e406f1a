"""Composition of a control daemon on the users' platform."""

from __future__ import annotations

from pathlib import Path

from ..state.configuration import RoutingDocument
from ..state.counters import Counters
from ..state.histograms import Histogram
from ..state.types import Address, Peer
from ..transport.application import Application
from ..transport.control_parts import build_control_parts, build_feed_parts
from ..transport.http_endpoint import http_endpoint_hooks
from ..transport.metrics_endpoint import lazy_metrics_hooks
from .control_calls import ControlCalls
from .documents import decode_accepted
from .settings import NodeSettings, required, settings_path
from .shared import (
    METRICS_PORTS,
    SHARED_KEY,
    follow_seeds,
    make_application,
    replica_address,
)


def build_control(settings: NodeSettings, started_at: float) -> Application:
    """Return the application of a control daemon.

    A replica is named after its host, which is all that the settings say of others.

    :param started_at: when the process started, in seconds of its clock.
    """
    counters = Counters()
    syncs = Histogram()
    seeds = follow_seeds(settings, settings_path())
    own = _peer(replica_address(settings, settings.host))
    parts = build_control_parts(
        own=own,
        listed=lambda: [_peer(address) for address in seeds()],
        data_folder=Path(settings.data_folder),
        may_form=settings.may_form,
        size=2 * settings.tolerated_vms + 1,
        key=SHARED_KEY,
        counters=counters,
        started_at=started_at,
        observe_sync=syncs.observe,
    )
    feed = build_feed_parts(own=own, parts=parts, services_of=_services_of)
    calls = ControlCalls(
        changes=parts.changes,
        feed=feed.server,
        data_centres=settings.data_centres,
        counters=counters,
    )
    app = make_application(settings, started_at)
    parts.add_to(app)
    feed.add_to(app)
    app.add(
        lazy_metrics_hooks(
            address=Address(host=settings.host, port=METRICS_PORTS["control"]),
            counters=counters,
            gauges=parts.gauges,
            durations={"log_sync_seconds": syncs, "change_seconds": calls.durations},
        )
    )
    calls_address = required(settings.control, "Control")
    app.add(http_endpoint_hooks("platform_calls", calls_address, calls.answer))
    return app


def _services_of(document: RoutingDocument) -> frozenset[str]:
    return frozenset(service.name for service in decode_accepted(document).services)


def _peer(address: Address) -> Peer:
    return Peer(name=address.host, data_centre="", address=address)
