"""A control daemon and an entry of the platform as processes."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any

from .processes import Processes, StartedProcess, unique_host, wait_until

CONTROL_PORT = 8166
READY_PORT = 8167
PACKETS_PORT = 8172
INTERNAL_PORTS = [7720, 7735]
SETTINGS_VARIABLE = "CHERVILSTAGE_NODE_FILE"
CALL_SECONDS = 2.0


class PlatformFleet:
    """A control daemon and an entry, each on its own loopback address.

    :param folder: the folder for settings, logs and data.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.processes = Processes(folder=folder)
        self.hosts = {"control": unique_host(), "entry": unique_host()}

    def settings(self, role: str) -> dict[str, Any]:
        """Return the settings of a role."""
        host = self.hosts[role]
        listen = (
            {"Control": f"{host}:{CONTROL_PORT}"}
            if role == "control"
            else {
                "DatagramAddress": f"{host}:{PACKETS_PORT}",
                "Ready": f"{host}:{READY_PORT}",
            }
        )
        folder = self.folder / f"data-{role}"
        folder.mkdir(exist_ok=True)
        return {
            "NodeName": role,
            "IpAddress": host,
            "Zone": "gl-erie",
            "Zones": {"gl-erie": "great-lakes"},
            "Listen": listen,
            "InternalPorts": INTERNAL_PORTS,
            "Seeds": [f"{self.hosts['control']}:{CONTROL_PORT}"],
            "Bootstrap": True,
            "Limits": {"LinkMbps": 4.0},
            "DataDirectory": str(folder) if role == "control" else None,
            "HeartbeatIntervalMs": 1200,
            "Tolerance": {"Machines": 0, "Zones": 0, "Regions": 0},
            "Bounds": {"GraceS": 6},
        }

    def start(self, role: str) -> StartedProcess:
        """Start the process of a role."""
        path = self.folder / f"{role}.json"
        path.write_text(json.dumps(self.settings(role)))
        return self.processes.start_module(
            role,
            "chervilstage.platform",
            [role],
            variables={SETTINGS_VARIABLE: str(path)},
        )

    def call(self, path: str, body: bytes) -> int:
        """Send a call to the control daemon and return the status, or 0 without one."""
        return self.send_call("POST", path, body)[0]

    def send_call(self, method: str, path: str, body: bytes) -> tuple[int, bytes]:
        """Send a call and return the status, or 0 without an answer, and the body."""
        connection = http.client.HTTPConnection(
            self.hosts["control"], CONTROL_PORT, timeout=CALL_SECONDS
        )
        try:
            connection.request(method, path, body=body)
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def wait_until_accepted(self, path: str, body: bytes) -> None:
        """Repeat a call until the control daemon accepts it."""
        wait_until(lambda: self.call(path, body) == 200, f"{path} is accepted")

    def close(self) -> None:
        """Kill all processes."""
        self.processes.close()
