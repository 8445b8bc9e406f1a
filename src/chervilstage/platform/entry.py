"""Assembly of an entry on the users' platform."""

from __future__ import annotations

from ..state.counters import Counters
from ..state.link import Link
from ..state.types import Address, Peer
from ..transport.application import Application
from ..transport.metrics_endpoint import lazy_metrics_hooks
from ..transport.readiness_endpoint import readiness_hooks
from ..transport.token_entry import TokenEntry
from .documents import decode_routing_document
from .packets import make_codec
from .settings import NodeSettings, require_listen_address, settings_path
from .shared import (
    METRICS_PORTS,
    SHARED_KEY,
    entry_port,
    follow_seeds,
    make_application,
)


def build_entry(settings: NodeSettings, started_at: float) -> Application:
    """Return the application of an entry.

    :param started_at: when the process started, in seconds of the replica clock.
    """
    datagram_address = require_listen_address(
        settings.datagram_address, "DatagramAddress"
    )
    counters = Counters()
    entry = TokenEntry(
        own=Peer(
            name=settings.name,
            data_centre=settings.data_centre,
            address=Address(host=settings.host, port=entry_port(settings)),
        ),
        relay_address=datagram_address,
        listed=follow_seeds(settings, settings_path()),
        decode_routing=decode_routing_document,
        codec=make_codec(datagram_address.port),
        key=SHARED_KEY,
        counters=counters,
        announcement_seconds=settings.announcement_seconds,
        link=Link(bytes_per_second=settings.link_bytes_per_second),
    )
    app = make_application(settings, started_at)
    entry.add_to(app)
    readiness_address = require_listen_address(settings.readiness_address, "Ready")
    app.add(readiness_hooks(readiness_address, "/readiness", entry.is_ready, counters))
    app.add(
        lazy_metrics_hooks(
            address=Address(host=settings.host, port=METRICS_PORTS["entry"]),
            counters=counters,
            gauges=entry.gauges,
            durations=entry.durations(),
        )
    )
    return app
