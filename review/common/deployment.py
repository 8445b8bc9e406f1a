"""A small deployment of the project's own programs on loopback addresses.

Each machine has an address of its own in 127.0.0.0/8 and runs one process, started with the command of
deploy/system.toml and a settings file as DEPLOY.md shows it. The module also has the stand-in of the operator.
"""

import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
METRICS_PORT = 9465
REGION = "great-lakes"
ZONES = ("gl-erie", "gl-huron", "gl-superior")
BOUNDS = {
    "SeedLagS": 3, "ReuseAfterS": 2, "ContactMs": 4000, "AckTimeoutMs": 5000, "CatchUpS": 4, "DrainMs": 3000,
    "GraceS": 6, "LossSlackMs": 200, "ConfigPropagationMs": 3000, "DowngradeSlackMs": 250, "StretchMs": 12000,
    "ColdBurstFactor": 1.5, "ColdSlack": 5, "EvacuationDeadlineMs": 5000, "RecoveryS": 12, "FlowStrayMs": 2000,
    "FlowLifetimeS": 60,
}  # fmt: skip
CALL_SECONDS = 1.0  # "a second without a response"


class CannotRun(Exception):
    """The case could not be set up; the script exits with 2."""


class Record:
    """Writes lines with the time since the start to record.txt and to standard output."""

    def __init__(self, folder):
        self.file = (Path(folder) / "record.txt").open("w")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        line = f"{time.monotonic() - self.started:8.3f}  {text}"
        with self.lock:
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


class Machine:
    """A machine with one process."""

    def __init__(self, name, host, zone, role):
        self.name, self.host, self.zone, self.role = name, host, zone, role
        self.process = None
        self.started_at = 0.0

    def is_running(self):
        return self.process is not None and self.process.poll() is None


class Deployment:
    """Machines, their settings and their processes."""

    def __init__(self, record):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(20, 120)}.{random.randint(1, 250)}"
        self.machines = []
        self.log_files = []
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {role: roles[role]["run"].split() for role in ("control", "entry")}
        base = self._free_ports()
        self.ports = {"control": base, "ready": base + 1, "datagram": base + 2, "internal": base + 10}

    def _free_ports(self):
        """Return a port such that the next 30 are free; the addresses are of this run alone."""
        for _ in range(50):
            base = random.randint(20000, 30000)
            try:
                for port in range(base, base + 30):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as sock:
                            sock.bind((f"{self.net}.1", port))
                return base
            except OSError:
                continue
        raise CannotRun("no free ports")

    def add(self, name, zone, role):
        machine = Machine(name, f"{self.net}.{10 + len(self.machines)}", zone, role)
        self.machines.append(machine)
        return machine

    def control_address(self, machine):
        return f"{machine.host}:{self.ports['control']}"

    def write_settings(self, machine, seeds, bootstrap):
        """Write the settings file of a machine as the platform does, in one step."""
        is_core = machine.role == "control"
        data = self.folder / f"data-{machine.name}"
        listen = (
            {"Control": self.control_address(machine)}
            if is_core
            else {
                "DatagramAddress": f"{machine.host}:{self.ports['datagram']}",
                "Ready": f"{machine.host}:{self.ports['ready']}",
            }
        )
        if is_core:
            data.mkdir(exist_ok=True)
        settings = {
            "NodeName": machine.name,
            "Role": machine.role,
            "MachineClass": "core" if is_core else "front",
            "Serves": ["control" if is_core else "front"],
            "IpAddress": machine.host,
            "Zone": machine.zone,
            "Region": REGION,
            "Zones": {zone: REGION for zone in ZONES},
            "Listen": listen,
            "InternalPorts": [self.ports["internal"], self.ports["internal"] + 15],
            "Seeds": [self.control_address(seed) for seed in seeds],
            "Bootstrap": bootstrap,
            "CountsTowardTolerance": is_core,
            "Limits": {
                "CpuShare": 0.645 if is_core else 0.473, "Cores": 1, "MemoryMb": 296, "FdLimit": 4096,
                "LinkMbps": 1000.0, "DiskMb": 128 if is_core else 0,
            },
            "DataDirectory": str(data) if is_core else None,
            "Discovery": "registry",
            "Entry": "announcement",
            "HeartbeatIntervalMs": 1200,
            "Contracts": ["base", "drain", "config", "cost", "recover", "flows", "places"],
            "Tolerance": {"Machines": 1, "Zones": 1, "Regions": 0},
            "Bounds": BOUNDS,
            "config_mode": "highest",
            "HashScheme": "steady",
            "ForwardingMode": "echo",
        }  # fmt: skip
        path = self.folder / f"{machine.name}.json"
        new = path.with_suffix(".new")
        new.write_text(json.dumps(settings))
        new.replace(path)
        return path

    def start(self, machine, seeds, bootstrap):
        """Start the process of a machine with the command of the deploy file."""
        path = self.write_settings(machine, seeds, bootstrap)
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment |= {"PYTHONPATH": "target/deps", "CHERVILSTAGE_NODE_FILE": str(path)}
        log = (self.folder / f"{machine.name}.log").open("ab")
        self.log_files.append(log)
        machine.process = subprocess.Popen(
            self.commands[machine.role], cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        machine.started_at = time.monotonic()
        self.record(f"start {machine.name} ({machine.host}, {machine.zone}), Bootstrap {str(bootstrap).lower()}")

    def power_off(self, machine):
        """Take a machine's power: its process is gone at once, its disk is kept."""
        machine.process.send_signal(signal.SIGKILL)
        machine.process.wait()
        self.record(f"power off: {machine.name}")

    def lose_disk(self, machine):
        """Empty the data folder of a machine that is off."""
        shutil.rmtree(self.folder / f"data-{machine.name}")
        self.record(f"disk lost: {machine.name}")

    def terminate(self, machine, seconds=8):
        """Stop a process as a planned restart does."""
        machine.process.send_signal(signal.SIGTERM)
        try:
            machine.process.wait(seconds)
        except subprocess.TimeoutExpired:
            machine.process.kill()
            machine.process.wait()
        self.record(f"stopped by SIGTERM: {machine.name}")

    def call(self, machine, method, path, body=None, seconds=CALL_SECONDS):
        """Send one call to a control daemon; return the status (0: no response) and the body."""
        connection = http.client.HTTPConnection(machine.host, self.ports["control"], timeout=seconds)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json"} if body else {})
            response = connection.getresponse()
            return response.status, response.read()
        except (OSError, http.client.HTTPException):
            return 0, b""
        finally:
            connection.close()

    def order(self, machines, method, path, body, seconds):
        """Send an order as the operator does, to one daemon after the other; return who acknowledged it."""
        deadline, pause, tried = time.monotonic() + seconds, 0.05, {}
        while time.monotonic() < deadline:
            for machine in machines:
                status, _ = self.call(machine, method, path, body)
                if status == 200:
                    self.record(f"{method} {path}: acknowledged by {machine.name}")
                    return machine
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{method} {path} was refused with {status}")
                tried[f"{machine.name} {status or 'no response'}"] = True
            time.sleep(pause)
            pause = min(2 * pause, 0.5)
        self.record(f"{method} {path}: not acknowledged in {seconds:.0f} s; responses: {', '.join(tried)}")
        return None

    def read_version(self, machines):
        """Read the configuration back at each daemon; return the version that each gave, None without a 200."""
        versions = {}
        for machine in machines:
            status, body = self.call(machine, "GET", "/configuration/get")
            versions[machine.name] = json.loads(body)["Version"] if status == 200 else None
        return versions

    def gauge(self, machine, name):
        """Return a figure from a control daemon's metrics page, None if there is none."""
        connection = http.client.HTTPConnection(machine.host, METRICS_PORT, timeout=CALL_SECONDS)
        try:
            connection.request("GET", "/metrics")
            for line in connection.getresponse().read().decode().splitlines():
                if line.split(" ")[0].endswith(name):
                    return float(line.split()[-1])
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()
        return None

    def leader(self, machines, seconds=10):
        """Return the control daemon that leads, as its metrics say; used to place the disruption only."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            for machine in machines:
                if machine.is_running() and self.gauge(machine, "replica_leads") == 1.0:
                    return machine
            time.sleep(0.1)
        raise CannotRun("no control daemon leads")

    def copy_logs(self, words):
        """Copy the log lines that hold one of the words into the record."""
        for machine in self.machines:
            path = self.folder / f"{machine.name}.log"
            if path.exists():
                for line in path.read_text(errors="replace").splitlines():
                    if any(word in line for word in words):
                        self.record(f"log of {machine.name}: {line[:300]}")

    def close(self):
        """End all processes that were started here, and remove the temporary folder."""
        for machine in self.machines:
            if machine.is_running():
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        for log in self.log_files:
            log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(version, routes=2, host="127.250.0.1"):
    """Return a configuration with one service and some routes."""
    return json.dumps(
        {
            "Version": version,
            "Routes": [
                {
                    "Name": f"r-{index}", "Host": host, "PathPrefix": f"/{8443 + index}/", "Kind": "safe",
                    "TimeoutMs": 2500, "AimMs": 250, "Priority": 2, "Service": "alley", "Attempts": 2,
                }
                for index in range(routes)
            ],
            "Services": [
                {
                    "Name": "alley", "HealthPath": "/health", "ConnectionLimit": 2000, "Protocol": "h1", "Tls": False,
                    "ColdStartS": 2.0, "ColdPerS": 0.0,
                }
            ],
            "Limits": {"HeaderBytes": 16384, "BodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        }
    ).encode()  # fmt: skip


def run_case(folder, case):
    """Run a case and return the exit status: 1 broken, 0 held, 2 could not run."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))  # so that all processes are ended
    record = Record(folder)
    record(f"TROUBLE={int(TROUBLE)}")
    deployment = None
    try:
        deployment = Deployment(record)
        broken = case(deployment, record)
        record("RESULT: the rule was broken" if broken else "RESULT: the rule held")
        return 1 if broken else 0
    except CannotRun as error:
        record(f"RESULT: could not run: {error}")
        return 2
    except Exception as error:  # a fault of this script is no result
        record(f"RESULT: could not run: {error!r}")
        return 2
    finally:
        if deployment is not None:
            deployment.close()
