"""A cluster of processes: control replicas, entries and stand-in upstreams."""

from __future__ import annotations

import http.client
import json
from pathlib import Path
from typing import Any, NamedTuple

from .processes import ROOT, Processes, StartedProcess, unique_host, wait_until

PEER_PORT = 7200
PLATFORM_PORT = 7100
METRICS_PORT = 7300
CONTROL_PORT = 7400
OPERATOR_PORT = 7500
HTTP_OK = 200
KEY = "key-of-the-test-processes-0123456789"


class NodeAddress(NamedTuple):
    """Name, data centre and address of an entry or a control replica."""

    name: str
    data_centre: str
    host: str


class ProcessCluster:
    """Control replicas, entries and upstreams on loopback.

    :param folder: the folder for settings, logs and data.
    :param layout: the data centre of each entry.
    :param controls: the number of control replicas.
    """

    def __init__(self, *, folder: Path, layout: list[str], controls: int = 1) -> None:
        self.folder = folder
        self.processes = Processes(folder=folder)
        self.key_file = folder / "shared.key"
        self.key_file.write_text(KEY)
        self.controls = [
            NodeAddress(
                name=f"control-{n}",
                data_centre=layout[(n - 1) % len(layout)],
                host=unique_host(),
            )
            for n in range(1, controls + 1)
        ]
        self.control_host = self.controls[0].host
        self.entries = [
            NodeAddress(name=f"entry-{n}", data_centre=dc, host=unique_host())
            for n, dc in enumerate(layout, 1)
        ]
        self.running_entries: dict[str, StartedProcess] = {}
        self.running_controls: dict[str, StartedProcess] = {}

    def start_control(self, number: int = 1, **overrides: object) -> StartedProcess:
        """Start a control replica.

        :param overrides: settings added to the defaults, or in place of them.
        """
        control = self.controls[number - 1]
        started = self.processes.start_with_settings(
            control.name,
            "control",
            {
                "name": control.name,
                "data_centre": control.data_centre,
                "host": control.host,
                "port": CONTROL_PORT,
                "operator_port": OPERATOR_PORT,
                "metrics_port": METRICS_PORT,
                "data_folder": str(self.data_folder(number)),
                "key_file": str(self.key_file),
                "operator_key_file": str(self.key_file),
                "replicas": self.replica_settings(),
                **overrides,
            },
        )
        self.running_controls[control.name] = started
        self.wait_until_started(started)
        return started

    def data_folder(self, number: int) -> Path:
        """Return the data folder of a control replica."""
        return self.folder / f"data-{number}"

    def replica_settings(self) -> list[dict[str, object]]:
        """Return the control replicas as items of a settings file."""
        return [
            self.peer_settings(
                control.name, control.data_centre, control.host, CONTROL_PORT
            )
            for control in self.controls
        ]

    def start_entry(self, entry: NodeAddress, **overrides: object) -> StartedProcess:
        """Start an entry.

        :param overrides: settings added to the defaults, or in place of them.
        """
        settings: dict[str, object] = {
            "name": entry.name,
            "data_centre": entry.data_centre,
            "host": entry.host,
            "peer_port": PEER_PORT,
            "platform_port": PLATFORM_PORT,
            "metrics_port": METRICS_PORT,
            "key_file": str(self.key_file),
            "peers": [
                self.peer_settings(e.name, e.data_centre, e.host, PEER_PORT)
                for e in self.entries
                if e is not entry
            ],
            "replicas": self.replica_settings(),
        }
        started = self.processes.start_with_settings(
            entry.name, "entry", settings | overrides
        )
        self.running_entries[entry.name] = started
        return started

    def start_upstream(
        self, service: str, data_centre: str, *options: str
    ) -> StartedProcess:
        """Start a stand-in upstream that announces itself to its data centre."""
        arguments = ["--host", unique_host(), "--service", service]
        arguments += ["--data-centre", data_centre, *options]
        for entry in self.entries:
            if entry.data_centre == data_centre:
                arguments += ["--entry", f"{entry.host}:{PLATFORM_PORT}"]
        return self.processes.start(f"{service}-{data_centre}", "standin", arguments)

    def run_ctl(self, command: str, *arguments: str) -> str:
        """Run ``chervilstagectl`` and return its output.

        :raises AssertionError: the command failed.
        """
        completed = self.processes.run(
            "ctl",
            command,
            *arguments,
            "--control",
            f"{self.control_host}:{OPERATOR_PORT}",
            "--key-file",
            str(self.key_file),
        )
        assert completed.returncode == 0, (
            f"{command}: {completed.stdout}{completed.stderr}"
        )
        return completed.stdout

    def start_all(self) -> None:
        """Start control replicas and entries and apply the Lakeshore configuration."""
        for number in range(1, len(self.controls) + 1):
            self.start_control(number)
        for entry in self.entries:
            self.start_entry(entry)
        self.apply_lakeshore()

    def apply_lakeshore(self) -> None:
        """Apply the Lakeshore configuration and wait until running entries use it."""
        for started in self.running_entries.values():
            self.wait_until_started(started)
        self.wait_for_leader()
        lakeshore = ROOT / "demo" / "lakeshore"
        self.run_ctl(
            "apply", str(lakeshore / "inventory.toml"), str(lakeshore / "rules.toml")
        )
        for started in self.running_entries.values():
            wait_until(
                lambda s=started: bool(s.log_lines("configuration_in_force")),  # type: ignore[misc]
                f"configuration in force on {started.name}",
            )

    def call_operator_api(
        self,
        method: str,
        target: str,
        document: object = None,
        *,
        number: int = 1,
        key: str = KEY,
    ) -> tuple[int, Any]:
        """Send an operator's call to a control replica.

        :returns: the status and the decoded answer; without an answer, status 0 and
            the text of the error.
        """
        host = self.controls[number - 1].host
        connection = http.client.HTTPConnection(host, OPERATOR_PORT, timeout=10)
        body = b"" if document is None else json.dumps(document).encode()
        try:
            headers = {"authorization": f"Bearer {key}"}
            connection.request(method, target, body=body, headers=headers)
            answer = connection.getresponse()
            content = answer.read()
        except OSError as error:
            return 0, str(error)
        finally:
            connection.close()
        if answer.status != HTTP_OK:
            return answer.status, content.decode()
        return answer.status, json.loads(content)

    def find_leader(self) -> int:
        """Return the number of the replica that answers as the leader, or 0."""
        for number, control in enumerate(self.controls, 1):
            started = self.running_controls.get(control.name)
            if started is None or started.has_ended():
                continue
            status, answer = self.call_operator_api("GET", "/v1/members", number=number)
            if status == HTTP_OK and answer["leader"] == control.name:
                read_status, _ = self.call_operator_api(
                    "GET", "/v1/configuration", number=number
                )
                if read_status == HTTP_OK:
                    return number
        return 0

    def wait_for_leader(self, other_than: int = 0) -> int:
        """Wait until a replica leads and return its number."""
        leaders: list[int] = []

        def has_leader() -> bool:
            leaders.append(self.find_leader())
            return leaders[-1] not in (0, other_than)

        wait_until(has_leader, "a control replica leads")
        return leaders[-1]

    def wait_for_upstreams(self, service: str, count: int) -> None:
        """Wait until every running entry has registered enough upstreams."""
        for name, started in self.running_entries.items():
            wait_until(
                lambda s=started: len(self.registration_log_lines(s, service)) >= count,  # type: ignore[misc]
                f"{count} upstreams of {service} on {name}",
            )

    def registration_log_lines(self, started: StartedProcess, service: str) -> set[str]:
        """Return the log lines of an entry on registered upstreams of a service."""
        lines = started.log_lines("upstream_registered")
        return {line for line in lines if f"service={service}" in line}

    @staticmethod
    def wait_until_started(started: StartedProcess) -> None:
        """Wait until a daemon has logged its start."""
        wait_until(
            lambda: bool(started.log_lines("started")) or started.has_ended(),
            f"{started.name} started",
        )
        assert not started.has_ended(), started.log.read_text()[-2000:]

    @staticmethod
    def peer_settings(
        name: str, data_centre: str, host: str, port: int
    ) -> dict[str, object]:
        """Return a peer as an item of a settings file."""
        return {"name": name, "data_centre": data_centre, "host": host, "port": port}

    def close(self) -> None:
        """Kill all processes."""
        self.processes.close()
