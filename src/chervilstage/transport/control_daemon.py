"""Composition of the control daemon."""

from __future__ import annotations

from pathlib import Path

from ..protocol.settings import ControlSettings
from ..state.counters import Counters
from ..state.types import Address
from .application import Application
from .change_log import ChangeLog
from .control_server import ControlServer
from .frame_channel import FrameServer
from .metrics import metrics_hooks


def build_control(
    settings: ControlSettings, key: bytes, operator_key: bytes
) -> Application:
    """Return the application of a control replica.

    :param key: the key that the processes of the system share.
    :param operator_key: the bearer key of operators.
    """
    name, host = settings["name"], settings["host"]
    counters = Counters()
    frames = FrameServer(
        name=name,
        address=Address(host=host, port=settings["port"]),
        key=key,
        counters=counters,
    )
    server = ControlServer(
        operator_address=Address(host=host, port=settings["operator_port"]),
        operator_key=operator_key,
        log=ChangeLog(path=Path(settings["data_folder"]) / "changes.log"),
        frames=frames,
    )

    def gauges() -> dict[str, float]:
        return {"revision_committed": server.state.configuration.revision}

    app = Application(name=name)
    app.add(
        metrics_hooks(
            address=Address(host=host, port=settings["metrics_port"]),
            counters=counters,
            gauges=gauges,
        )
    )
    app.add(server.hooks())
    app.add(frames.hooks())
    return app
