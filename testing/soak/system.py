"""The processes of a soak run, and the faults applied to them."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from chervilstage.protocol.load_plan import format_mark
from chervilstage.state.load_plan import Mark
from testing.support.process_cluster import (
    CONTROL_PORT,
    OPERATOR_PORT,
    NodeAddress,
    ProcessCluster,
)
from testing.support.processes import ROOT, StartedProcess, unique_host, wait_until
from testing.support.request_calls import (
    STANDIN_PORT,
    StandinUpstream,
    new_key,
    send_booking,
    wait_for_bookings,
)

from .proxy import Fault
from .schedule import CONTROLS, DATA_CENTRES, Event, EventKind

LAYOUT = [DATA_CENTRES[0], DATA_CENTRES[0], DATA_CENTRES[1], DATA_CENTRES[1]]
SERVICES = ("alley-desk", "alley-desk", "league-ledger")
WORK_MS = 10.0
ANSWER_DELAY_MS = 300.0
# Feeds stay open until the end of a planned stop.
DRAIN_SECONDS = 4.0
SHED_SHARE = 0.3
# The start of a record whose write was interrupted.
TORN_RECORD = b"\x07torn"
RECOVERY_SECONDS = 60.0
HTTP_OK = 200

EndEvent = Callable[[], None]


class OperatorCommand(NamedTuple):
    """An operator's command that is not accepted yet."""

    operation: str
    data_centre: str
    is_sent: bool = False


class Soak:
    """A small system behind a proxy: entries, replicas and stand-in upstreams.

    :param folder: folder of settings, logs, data and marks.
    """

    def __init__(self, *, folder: Path) -> None:
        self.folder = folder
        self.marks = folder / "marks"
        self.cluster = ProcessCluster(folder=folder, layout=LAYOUT, controls=CONTROLS)
        self.upstreams: list[StandinUpstream] = []
        self.highest_revision = 0
        self.findings: list[str] = []
        self.pending_commands: list[OperatorCommand] = []
        self.command_attempts = 0
        self.proxy_host = unique_host()
        self.proxy: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start everything and wait until requests are answered."""
        cluster = self.cluster
        for number in range(1, CONTROLS + 1):
            cluster.start_control(number)
        self.start_proxy()
        for entry in cluster.entries:
            self.start_entry(entry)
        cluster.apply_lakeshore()
        for data_centre in DATA_CENTRES:
            for service in SERVICES:
                self.start_upstream(service, data_centre)
        for service in set(SERVICES):
            count = SERVICES.count(service) * len(DATA_CENTRES)
            cluster.wait_for_upstreams(service, count)
        wait_for_bookings(cluster)

    def start_proxy(self) -> None:
        """Start the proxy with one link for each entry and replica."""
        links = [
            f"{number}/{n}={self.proxy_host}:{self.link_port(number, n)}"
            f"={control.host}:{CONTROL_PORT}"
            for number in range(len(LAYOUT))
            for n, control in enumerate(self.cluster.controls)
        ]
        self.proxy = subprocess.Popen(
            [sys.executable, "-m", "testing.soak.proxy", *links],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"},
        )
        assert self.proxy.stdout is not None
        for _ in links:
            self.proxy.stdout.readline()

    @staticmethod
    def link_port(entry: int, control: int) -> int:
        """Return the port of the link between an entry and a replica."""
        return CONTROL_PORT + 1 + entry * CONTROLS + control

    def start_entry(self, entry: NodeAddress) -> StartedProcess:
        """Start an entry that reaches the replicas through the proxy."""
        number = self.cluster.entries.index(entry)
        replicas = [
            ProcessCluster.peer_settings(
                c.name, c.data_centre, self.proxy_host, self.link_port(number, n)
            )
            for n, c in enumerate(self.cluster.controls)
        ]
        return self.cluster.start_entry(
            entry, replicas=replicas, drain_seconds=DRAIN_SECONDS
        )

    def start_upstream(self, service: str, data_centre: str) -> None:
        """Start a cold stand-in."""
        host, number = unique_host(), len(self.upstreams)
        started = self.cluster.start_upstream(
            service,
            data_centre,
            *("--host", host, "--control-port", str(STANDIN_PORT)),
            *("--work-ms", str(WORK_MS), "--cold", "--linger-seconds", "30"),
            *("--counters-file", str(self.folder / f"upstream-{number}.json")),
        )
        self.upstreams.append(StandinUpstream(started=started, host=host))

    def mark(self, word: str, name: str) -> None:
        """Record an event and its time in the marks file of the load tool."""
        with self.marks.open("a") as file:
            file.write(format_mark(Mark(at=time.time(), word=word, name=name)) + "\n")

    def start_event(self, event: Event) -> EndEvent:
        """Start an event and return the function that ends it."""
        kind, number = event.kind, event.number
        if kind.target == "link":
            return self.apply_link_fault(
                number, Fault(kind.value.removeprefix("link-"))
            )
        if kind.target == "entry":
            return self.apply_entry_fault(self.cluster.entries[number], kind)
        if kind is EventKind.CONTROL_ALL:
            ends = [self.apply_control_fault(n, kind) for n in range(1, CONTROLS + 1)]
            return lambda: [end() for end in ends] and None
        if kind.target == "control":
            return self.apply_control_fault(number + 1, kind)
        if kind is EventKind.CENTRE_OUT:
            return self.take_data_centre_out(DATA_CENTRES[number])
        return self.apply_upstream_fault(self.upstreams[number], kind)

    def apply_link_fault(self, entry: int, fault: Fault) -> EndEvent:
        """Apply a fault to the links between an entry and the replicas."""

        def set_fault(fault: Fault) -> None:
            assert self.proxy is not None and self.proxy.stdin is not None
            for n in range(CONTROLS):
                self.proxy.stdin.write(f"{entry}/{n} {fault}\n".encode())
            self.proxy.stdin.flush()

        set_fault(fault)
        return lambda: set_fault(Fault.NONE)

    def apply_entry_fault(self, entry: NodeAddress, kind: EventKind) -> EndEvent:
        """Kill, pause or stop an entry."""
        process = self.cluster.running_entries[entry.name].process

        def restart() -> None:
            process.wait()
            self.start_entry(entry)

        def resume() -> None:
            # The verdict blames a mark for broken flows only for a limited time.
            self.mark("entry-killed", entry.host)
            process.send_signal(signal.SIGCONT)

        if kind is EventKind.ENTRY_STOP:
            process.terminate()
            return restart
        self.mark("entry-killed", entry.host)
        if kind is EventKind.ENTRY_PAUSE:
            process.send_signal(signal.SIGSTOP)
            return resume
        process.kill()
        return restart

    def apply_control_fault(self, number: int, kind: EventKind) -> EndEvent:
        """Kill, pause or stop a replica; CONTROL_TORN leaves a half-written record."""
        cluster = self.cluster
        process = cluster.running_controls[cluster.controls[number - 1].name].process

        def restart() -> None:
            process.wait()
            if kind is EventKind.CONTROL_TORN:
                for log in cluster.data_folder(number).glob("log-*"):
                    with log.open("ab") as file:
                        file.write(TORN_RECORD)
            cluster.start_control(number)

        if kind is EventKind.CONTROL_PAUSE:
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        if kind is EventKind.CONTROL_STOP:
            process.terminate()
        else:
            process.kill()
        return restart

    def apply_upstream_fault(
        self, upstream: StandinUpstream, kind: EventKind
    ) -> EndEvent:
        """Pause an upstream, make it faulty, or make it leave."""
        process = upstream.started.process
        if kind is EventKind.UPSTREAM_LEAVE:
            process.terminate()
            return lambda: None
        if kind is EventKind.UPSTREAM_PAUSE:
            self.mark_killed(upstream)
            process.send_signal(signal.SIGSTOP)
            return lambda: process.send_signal(signal.SIGCONT)
        upstream.set_faults(
            silence_open=True, late_ms=ANSWER_DELAY_MS, shed_share=SHED_SHARE, cold=True
        )
        return lambda: upstream.set_faults(late_ms=0, shed_share=0)

    def mark_killed(self, upstream: StandinUpstream) -> None:
        """Record that an upstream was killed or paused, so that its flows may move."""
        address = upstream.started.log_field("standin_listening", "datagrams")
        self.mark("upstream-killed", address or "")

    def take_data_centre_out(self, data_centre: str) -> EndEvent:
        """Take a data centre out of service; the command is retried until accepted."""
        self.pending_commands.append(
            OperatorCommand(operation="out", data_centre=data_centre)
        )
        return lambda: self.pending_commands.append(
            OperatorCommand(operation="back", data_centre=data_centre)
        )

    def try_pending_command(self) -> None:
        """Send the first pending command to one replica.

        A paused replica does not answer, so the next attempt asks another one.
        """
        if not self.pending_commands:
            return
        command = self.pending_commands[0]
        if not command.is_sent:
            self.mark(command.operation, command.data_centre)
            self.pending_commands[0] = command._replace(is_sent=True)
        self.command_attempts += 1
        control = self.cluster.controls[self.command_attempts % CONTROLS]
        completed = self.cluster.processes.run(
            "ctl",
            command.operation,
            command.data_centre,
            *("--control", f"{control.host}:{OPERATOR_PORT}"),
            *("--key-file", str(self.cluster.key_file)),
        )
        if completed.returncode == 0:
            self.pending_commands.pop(0)
            self.check_revision()

    def check_revision(self) -> None:
        """Check that no replica with a majority returns an older configuration."""
        for number in range(1, CONTROLS + 1):
            status, answer = self.cluster.call_operator_api(
                "GET", "/v1/configuration", number=number
            )
            if status != HTTP_OK:
                continue
            revision = answer["revision"]
            if revision < self.highest_revision:
                self.findings.append(
                    f"control-{number} shows {revision} after {self.highest_revision}"
                )
            self.highest_revision = max(self.highest_revision, revision)

    def wait_recovered(self) -> None:
        """Wait until every entry answers bookings of both home data centres."""
        for entry in self.cluster.entries:
            for home in DATA_CENTRES:
                wait_until(
                    lambda e=entry, h=home: _can_book(e, h),  # type: ignore[misc]
                    f"a booking of {home} through {entry.name} after the faults",
                    RECOVERY_SECONDS,
                )
        self.check_revision()

    def close(self) -> None:
        """Stop all processes of the run."""
        self.cluster.close()
        if self.proxy is not None:
            self.proxy.kill()
            self.proxy.wait()


def _can_book(entry: NodeAddress, home: str) -> bool:
    try:
        return send_booking(entry.host, new_key(home), 1).status == HTTP_OK
    except (OSError, ValueError, json.JSONDecodeError):
        return False
