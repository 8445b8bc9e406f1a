"""Composition of the control daemon."""

from __future__ import annotations

import secrets
import ssl
from pathlib import Path

from prometheus_client import Histogram

from ..errors.configuration import TlsFileError
from ..protocol.settings import ControlSettings, peers_of
from ..state.counters import Counters
from ..state.entry_directory import EntryDirectory
from ..state.replica import Role
from ..state.types import Address, Peer
from .application import Application
from .control_server import ControlServer
from .frame_channel import FrameClient, FrameServer
from .log_store import LogStore
from .metrics import metrics_hooks
from .operator_calls import OperatorCalls
from .replica_driver import ReplicaDriver
from .replica_formation import ReplicaFormation
from .replica_links import ReplicaLinks

IDENTITY_BITS = 63
SYNC_BUCKETS = (0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0)


def build_control(
    settings: ControlSettings, key: bytes, operator_key: bytes
) -> Application:
    """Return the application of a control replica.

    :param key: the key that the processes of the system share.
    :param operator_key: the bearer key of operators.
    :raises LogDamagedError: the log of this replica is damaged.
    """
    name, host = settings["name"], settings["host"]
    address = Address(host=host, port=settings["port"])
    counters = Counters()
    frames = FrameServer(name=name, address=address, key=key, counters=counters)
    client = FrameClient(name=name, key=key, counters=counters)
    syncs = Histogram(
        "chervilstage_log_sync_seconds",
        "Time for which a sync or a snapshot of the log has stalled the loop",
        buckets=SYNC_BUCKETS,
        registry=None,
    )
    store = LogStore(
        folder=Path(settings["data_folder"]),
        identity=secrets.randbits(IDENTITY_BITS) | 1,
        observe=syncs.observe,
    )
    driver = ReplicaDriver(
        address=address,
        store=store,
        links=ReplicaLinks(frames=client),
        frames=frames,
    )
    formation = ReplicaFormation(
        own=Peer(name=name, data_centre=settings["data_centre"], address=address),
        listed=peers_of(settings.get("replicas", [])),
        driver=driver,
        client=client,
        frames=frames,
    )
    calls = OperatorCalls(
        name=name, driver=driver, formation=formation, entries=EntryDirectory()
    )
    server = ControlServer(
        operator_address=Address(host=host, port=settings["operator_port"]),
        operator_key=operator_key,
        calls=calls,
        client=client,
        frames=frames,
        tls=tls_context(settings),
        counters=counters,
    )

    def gauges() -> dict[str, float]:
        replica = driver.replica
        return {
            "revision_committed": replica.applied.configuration.revision,
            "replica_term": replica.term,
            "replica_leads": float(replica.role is Role.LEADER),
            "replica_commit": replica.commit,
            "log_entries_held": len(replica.log.entries),
        }

    app = Application(name=name)
    app.add(
        metrics_hooks(
            address=Address(host=host, port=settings["metrics_port"]),
            counters=counters,
            gauges=gauges,
            histograms=[syncs],
        )
    )
    for part in (client, frames, driver, formation, server):
        app.add(part.hooks())
    return app


def tls_context(settings: ControlSettings) -> ssl.SSLContext | None:
    """Return the TLS context of operators' connections, if the settings name one.

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
