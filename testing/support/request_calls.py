"""Requests of callers, and stand-in upstreams that count the runs of each key."""

from __future__ import annotations

import http.client
import json
import time
import uuid
from typing import Any, NamedTuple

from chervilstage.coordination.rendezvous import rendezvous_order

from .process_cluster import NodeAddress, ProcessCluster
from .processes import StartedProcess, unique_host, wait_until

TCP_PORT = 8001
STANDIN_PORT = 7600


class Reply(NamedTuple):
    """The answer that a caller received."""

    status: int
    outcome: str
    code: str
    body: bytes

    def field(self, name: str) -> Any:
        """Return a field of the stand-in's answer."""
        assert self.status == 200, self
        return json.loads(self.body)[name]


class StandinUpstream(NamedTuple):
    """A stand-in upstream and its control address."""

    started: StartedProcess
    host: str

    def report(self) -> dict[str, Any]:
        """Return the counters of the stand-in."""
        connection = http.client.HTTPConnection(self.host, STANDIN_PORT, timeout=10)
        connection.request("GET", "/v1/report")
        report: dict[str, Any] = json.loads(connection.getresponse().read())
        return report

    def set_faults(self, **faults: object) -> None:
        """Set the faults that the stand-in simulates."""
        connection = http.client.HTTPConnection(self.host, STANDIN_PORT, timeout=10)
        connection.request("POST", "/v1/faults", body=json.dumps(faults))
        assert connection.getresponse().status == 204


def start_upstream(
    cluster: ProcessCluster,
    service: str,
    data_centre: str,
    work_ms: float,
    slots: int = 4,
) -> StandinUpstream:
    """Start a stand-in upstream with a control port."""
    host = unique_host()
    options = ["--host", host, "--control-port", str(STANDIN_PORT)]
    options += ["--work-ms", str(work_ms), "--slots", str(slots)]
    started = cluster.start_upstream(service, data_centre, *options)
    return StandinUpstream(started=started, host=host)


def new_key(home: str, age_ms: int = 0) -> str:
    """Return a key whose timestamp is now or some time ago."""
    stamp = time.time_ns() // 1_000_000 - age_ms
    return f"v1.{stamp}.{home}.{uuid.uuid4().hex}"


def key_owned_by(cluster: ProcessCluster, entry: NodeAddress) -> str:
    """Return a new key that an entry owns while all of its data centre is up."""
    names = [e.name for e in cluster.entries if e.data_centre == entry.data_centre]
    while True:
        key = new_key(entry.data_centre)
        if rendezvous_order(key, names)[0] == entry.name:
            return key


def send(
    host: str,
    method: str = "POST",
    path: str = "/bookings",
    *,
    body: bytes = b"",
    port: int = TCP_PORT,
    **fields: object,
) -> Reply:
    """Send a request and return its reply.

    :param fields: header fields; underscores stand for hyphens.
    """
    headers = {name.replace("_", "-"): str(value) for name, value in fields.items()}
    connection = http.client.HTTPConnection(host, port, timeout=30)
    try:
        connection.request(method, path, body=body, headers=headers)
        answer = connection.getresponse()
        return Reply(
            status=answer.status,
            outcome=answer.headers.get("Chervilstage-Outcome", ""),
            code=answer.headers.get("Chervilstage-Code", ""),
            body=answer.read(),
        )
    finally:
        connection.close()


def send_booking(
    host: str, key: str, attempt: int = 2, timeout_ms: int = 5000
) -> Reply:
    """Send a booking with an idempotency key."""
    return send(
        host,
        idempotency_key=key,
        chervilstage_attempt=attempt,
        chervilstage_timeout_ms=timeout_ms,
    )


def wait_for_bookings(cluster: ProcessCluster) -> None:
    """Wait until every entry accepts bookings with keys of every data centre."""
    for entry in cluster.entries:
        for home in sorted({e.data_centre for e in cluster.entries}):
            wait_until(
                lambda e=entry, h=home: (
                    send_booking(e.host, new_key(h), 1).status == 200
                ),  # type: ignore[misc]
                f"bookings of {home} through {entry.name}",
            )
