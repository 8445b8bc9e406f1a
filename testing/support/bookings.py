"""Waits until the entries answer requests that carry an idempotency key."""

from __future__ import annotations

import http.client
import secrets
import time

from chervilstage.coordination.load_schedule import make_idempotency_key

from .process_cluster import NodeAddress, ProcessCluster
from .processes import wait_until

TCP_PORT = 8001


def wait_for_bookings(cluster: ProcessCluster) -> None:
    """Wait until each entry answers a booking.

    The entries refuse keys that are stamped shortly after their first epoch, since
    records of an earlier group of entries could be lost.
    """
    for entry in cluster.entries:
        wait_until(lambda e=entry: _accepts_booking(e), f"a booking at {entry.name}")  # type: ignore[misc]


def _accepts_booking(entry: NodeAddress) -> bool:
    connection = http.client.HTTPConnection(entry.host, TCP_PORT, timeout=20)
    key = make_idempotency_key(
        time.time_ns() // 10**6, entry.data_centre, secrets.token_hex(8)
    )
    connection.request("POST", "/bookings", headers={"Idempotency-Key": key})
    return connection.getresponse().status == 200
