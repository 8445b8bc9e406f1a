"""Assembly of the control daemon from its parts."""

from __future__ import annotations

import ssl
from pathlib import Path

from prometheus_client import Histogram

from ..errors.configuration import TlsFileError
from ..protocol.settings import ControlSettings, peers_from_settings
from ..state.counters import Counters
from ..state.entry_directory import EntryDirectory
from ..state.types import Address, Peer
from .application import Application
from .control_parts import ControlParts, build_control_parts
from .control_server import ControlServer
from .leader_calls import LeaderCalls
from .metrics import metrics_hooks
from .operator_calls import OperatorCalls

BUCKET_SECONDS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


def build_control(
    settings: ControlSettings, key: bytes, operator_key: bytes
) -> Application:
    """Return the application of a control replica.

    :param key: the shared key of the processes of the system.
    :param operator_key: the bearer key of operators.
    :raises LogDamagedError: the log of this replica is damaged.
    """
    name, host = settings["name"], settings["host"]
    counters = Counters()
    sync_durations = sync_histogram()
    replicas = peers_from_settings(settings.get("replicas", []))
    parts = build_control_parts(
        own=Peer(
            name=name,
            data_centre=settings["data_centre"],
            address=Address(host=host, port=settings["port"]),
        ),
        listed=lambda: replicas,
        data_folder=Path(settings["data_folder"]),
        may_form=True,
        size=None,
        key=key,
        counters=counters,
        observe_sync=sync_durations.observe,
    )
    server = build_server(settings, operator_key, parts, counters)
    app = Application(name=name)
    app.add(
        metrics_hooks(
            address=Address(host=host, port=settings["metrics_port"]),
            counters=counters,
            gauges=parts.gauges,
            histograms=[sync_durations],
        )
    )
    parts.add_to(app)
    app.add(server.hooks())
    return app


def sync_histogram() -> Histogram:
    """Return the histogram of how long the log stalls the event loop."""
    return Histogram(
        "chervilstage_log_sync_seconds",
        "Time for which a sync or a snapshot of the log has stalled the loop",
        buckets=BUCKET_SECONDS,
        registry=None,
    )


def build_server(
    settings: ControlSettings,
    operator_key: bytes,
    parts: ControlParts,
    counters: Counters,
) -> ControlServer:
    """Return the server for the calls of operators.

    :raises TlsFileError: the certificate or the key cannot be loaded.
    """
    calls = OperatorCalls(
        name=settings["name"],
        driver=parts.driver,
        formation=parts.formation,
        entries=EntryDirectory(),
    )
    return ControlServer(
        operator_address=Address(host=settings["host"], port=settings["operator_port"]),
        operator_key=operator_key,
        calls=calls,
        leader_calls=LeaderCalls(calls=calls, client=parts.client, frames=parts.frames),
        frames=parts.frames,
        tls=tls_context(settings),
        counters=counters,
    )


def tls_context(settings: ControlSettings) -> ssl.SSLContext | None:
    """Return the TLS context for operators, None without a certificate setting.

    :raises TlsFileError: the certificate or the key cannot be loaded.
    """
    certificate = settings.get("tls_certificate_file")
    if certificate is None:
        return None
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(certificate, settings.get("tls_key_file"))
    except OSError as error:
        raise TlsFileError(file=certificate, reason=error) from error
    return context
