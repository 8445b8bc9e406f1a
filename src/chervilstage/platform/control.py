"""Assembly of a control daemon on the users' platform."""

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
from .documents import decode_routing_document
from .settings import NodeSettings, require_listen_address, settings_path
from .shared import (
    METRICS_PORTS,
    SHARED_KEY,
    follow_seeds,
    make_application,
    replica_address,
)


def build_control(settings: NodeSettings, started_at: float) -> Application:
    """Return the application of a control daemon.

    A replica is named after its host, as settings give only the hosts of the others.

    :param started_at: when the process started, in seconds of the replica clock.
    """
    counters = Counters()
    sync_durations = Histogram()
    seeds = follow_seeds(settings, settings_path())
    address = replica_address(settings, settings.host)
    own_peer = _make_peer(address, settings.data_centre)
    parts = build_control_parts(
        own=own_peer,
        listed=lambda: [_make_peer(address) for address in seeds()],
        data_folder=Path(settings.data_folder),
        may_form=settings.can_bootstrap,
        size=2 * settings.tolerated_vms + 1,
        key=SHARED_KEY,
        counters=counters,
        started_at=started_at,
        observe_sync=sync_durations.observe,
    )
    feed = build_feed_parts(own=own_peer, parts=parts, services_of=_service_names)
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
            durations={
                "log_sync_seconds": sync_durations,
                "change_seconds": calls.durations,
            },
        )
    )
    listen = require_listen_address(settings.control_address, "Control")
    handler = calls.handle_request
    app.add(http_endpoint_hooks("platform_calls", listen, handler, counters))
    return app


def _service_names(document: RoutingDocument) -> frozenset[str]:
    return frozenset(s.name for s in decode_routing_document(document).services)


def _make_peer(address: Address, data_centre: str = "") -> Peer:
    return Peer(name=address.host, data_centre=data_centre, address=address)
