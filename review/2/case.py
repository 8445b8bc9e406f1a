"""A configuration that is no UTF-8 ends each control daemon that it is sent to, in place of a 4xx."""

import re
import sys
import threading
import time
from pathlib import Path

from review.common.deployment import TROUBLE, ZONES, configuration, run_case

INVALID = 3  # invalid configurations; the site file has up to 8 on a day
GAP_S = 8.0
RESEND_S = 7.0
RESTART_S = 1.0  # "a short delay"
EXCUSED_S = 1.0  # an end "within a second of" a start isn't counted
VALID_AFTER_S = 1.0
ACK_TIMEOUT_S = 5
ERROR = re.compile("UnicodeDecodeError: [a-z0-9' -]+")
CLEAR = (400, 409, 412, 413, 422)


def send_invalid(deployment, record, core, body):
    """Send an invalid configuration as the operator does, until a response is clear."""
    deadline, pause = time.monotonic() + RESEND_S, 0.2
    while time.monotonic() < deadline:
        for machine in core:
            status, _ = deployment.call(machine, "POST", "/configuration/put", body)
            record(f"invalid configuration to {machine.name}: {status or 'no response'}")
            if status == 200 or status in CLEAR:
                return
            time.sleep(pause)
            pause = min(2 * pause, 1.0)


def watch(deployment, record, core, ends, stopped):
    """Start a process again after it has ended by itself, as the platform does."""
    while not stopped.wait(0.05):
        for machine in core:
            if not machine.is_running():
                ran = time.monotonic() - machine.started_at
                ends[machine.name] += ran > EXCUSED_S
                record(f"the process on {machine.name} has ended by itself after {ran:.1f} s, status "
                       f"{machine.process.returncode}")
                time.sleep(RESTART_S)
                deployment.start(machine, core, False)


def case(deployment, record):
    core = [deployment.add(f"core-{zone}-1", zone, "control") for zone in ZONES]
    for machine in core:
        deployment.start(machine, core, True)
    deployment.order(core, "POST", "/configuration/put", configuration(1), 20)
    time.sleep(4)
    ends = {machine.name: 0 for machine in core}
    stopped = threading.Event()
    watcher = threading.Thread(target=watch, args=(deployment, record, core, ends, stopped))
    watcher.start()
    late = 0
    try:
        for number in range(INVALID):
            version = 2 * number + 2
            began = time.monotonic()
            sender = None
            if TROUBLE:
                body = configuration(version).decode().encode("utf-16")
                sender = threading.Thread(target=send_invalid, args=(deployment, record, core, body))
                sender.start()
            time.sleep(VALID_AFTER_S)
            sent = time.monotonic()
            deployment.order(core, "POST", "/configuration/put", configuration(version + 1), 2 * ACK_TIMEOUT_S)
            seconds = time.monotonic() - sent
            late += seconds > ACK_TIMEOUT_S
            record(f"valid configuration {version + 1} of the other operator: {seconds:.1f} s")
            if sender:
                sender.join()
            time.sleep(max(0, began + GAP_S - time.monotonic()))
        time.sleep(3)
    finally:
        stopped.set()
        watcher.join()
    for machine in core:
        log = (deployment.folder / f"{machine.name}.log").read_text()
        record(f"errors in the log of {machine.name}: {sorted(set(ERROR.findall(log)))}")
    often = [name for name, count in ends.items() if count >= 3]
    record(f"processes that ended by themselves: {ends}; valid configurations late: {late} of {INVALID}")
    return len(often) >= len(core) / 2


sys.exit(run_case(Path(__file__).parent, case))
