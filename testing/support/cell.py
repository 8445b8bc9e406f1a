"""A small system of processes: control, entries and stand-in upstreams."""

from __future__ import annotations

from pathlib import Path
from typing import NamedTuple

from .processes import ROOT, Processes, Started, unique_host, wait_until

PEER_PORT = 7200
PLATFORM_PORT = 7100
METRICS_PORT = 7300
CONTROL_PORT = 7400
OPERATOR_PORT = 7500
KEY = "key-of-the-test-processes-0123456789"


class EntryHost(NamedTuple):
    """Name, data centre and address of an entry."""

    name: str
    data_centre: str
    host: str


class Cell:
    """One control process, entries and upstreams on loopback.

    :param folder: where settings, logs and data go.
    :param layout: the data centre of each entry.
    """

    def __init__(self, *, folder: Path, layout: list[str]) -> None:
        self.folder = folder
        self.processes = Processes(folder=folder)
        self.key_file = folder / "shared.key"
        self.key_file.write_text(KEY)
        self.control_host = unique_host()
        self.entries = [
            EntryHost(name=f"entry-{n}", data_centre=dc, host=unique_host())
            for n, dc in enumerate(layout, 1)
        ]
        self.running: dict[str, Started] = {}

    def start_control(self) -> Started:
        """Start the control process."""
        started = self.processes.start_with_settings(
            "control",
            "control",
            {
                "name": "control-1",
                "data_centre": self.entries[0].data_centre,
                "host": self.control_host,
                "port": CONTROL_PORT,
                "operator_port": OPERATOR_PORT,
                "metrics_port": METRICS_PORT,
                "data_folder": str(self.folder / "data"),
                "key_file": str(self.key_file),
                "operator_key_file": str(self.key_file),
            },
        )
        self.wait_started(started)
        return started

    def start_entry(self, entry: EntryHost) -> Started:
        """Start one entry."""
        settings: dict[str, object] = {
            "name": entry.name,
            "data_centre": entry.data_centre,
            "host": entry.host,
            "peer_port": PEER_PORT,
            "platform_port": PLATFORM_PORT,
            "metrics_port": METRICS_PORT,
            "key_file": str(self.key_file),
            "peers": [
                self.peer(e.name, e.data_centre, e.host, PEER_PORT)
                for e in self.entries
                if e is not entry
            ],
            "replicas": [
                self.peer(
                    "control-1",
                    self.entries[0].data_centre,
                    self.control_host,
                    CONTROL_PORT,
                )
            ],
        }
        started = self.processes.start_with_settings(entry.name, "entry", settings)
        self.running[entry.name] = started
        return started

    def start_upstream(self, service: str, data_centre: str, *options: str) -> Started:
        """Start a stand-in upstream that announces itself to its data centre."""
        arguments = ["--host", unique_host(), "--service", service]
        arguments += ["--data-centre", data_centre, *options]
        for entry in self.entries:
            if entry.data_centre == data_centre:
                arguments += ["--entry", f"{entry.host}:{PLATFORM_PORT}"]
        return self.processes.start(f"{service}-{data_centre}", "standin", arguments)

    def ctl(self, command: str, *arguments: str) -> str:
        """Run ``chervilstagectl`` and return its output.

        :raises AssertionError: it failed.
        """
        done = self.processes.run(
            "ctl",
            command,
            *arguments,
            "--control",
            f"{self.control_host}:{OPERATOR_PORT}",
            "--key-file",
            str(self.key_file),
        )
        assert done.returncode == 0, f"{command}: {done.stdout}{done.stderr}"
        return done.stdout

    def start_all(self) -> None:
        """Start control and entries and put the Lakeshore configuration in force."""
        self.start_control()
        for entry in self.entries:
            self.start_entry(entry)
        for started in self.running.values():
            self.wait_started(started)
        lakeshore = ROOT / "demo" / "lakeshore"
        self.ctl(
            "apply", str(lakeshore / "inventory.toml"), str(lakeshore / "rules.toml")
        )
        for started in self.running.values():
            wait_until(
                lambda s=started: bool(s.lines("configuration_in_force")),  # type: ignore[misc]
                f"configuration in force on {started.name}",
            )

    def wait_registered(self, service: str, count: int) -> None:
        """Wait until every entry knows that many upstreams of a service."""
        for name, started in self.running.items():
            wait_until(
                lambda s=started: len(self.registered(s, service)) >= count,  # type: ignore[misc]
                f"{count} upstreams of {service} on {name}",
            )

    def registered(self, started: Started, service: str) -> set[str]:
        """Return the upstream addresses that an entry has logged as registered."""
        lines = started.lines("upstream_registered")
        return {line for line in lines if f"service={service}" in line}

    @staticmethod
    def wait_started(started: Started) -> None:
        """Wait until a daemon says that it has started."""
        wait_until(
            lambda: bool(started.lines("started")) or started.ended(),
            f"{started.name} started",
        )
        assert not started.ended(), started.log.read_text()[-2000:]

    @staticmethod
    def peer(name: str, data_centre: str, host: str, port: int) -> dict[str, object]:
        """Return the settings of a peer."""
        return {"name": name, "data_centre": data_centre, "host": host, "port": port}

    def close(self) -> None:
        """End all processes."""
        self.processes.close()
