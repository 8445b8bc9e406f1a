"""When a call arrived, and whether its caller still waits for the answer."""

from __future__ import annotations

import select
from collections.abc import Callable
from functools import partial
from math import inf
from typing import NamedTuple

import anyio
from anyio.abc import ByteStream, SocketAttribute

from .arrival_bound import STALL_SECONDS, ArrivalBound
from .clock import replica_clock

CHECK_SECONDS = 0.2
# By then, sockets that were readable after a stall have been read.
SETTLED_SECONDS = 0.5


class CallArrival(NamedTuple):
    """When a call arrived at the earliest, and whether its caller has left since.

    ``at`` is in seconds of the replica clock; a call of this process has not waited.
    """

    at: float = inf
    has_left: Callable[[], bool] = lambda: False

    def waited(self, now: float) -> float:
        """Return the seconds that the call may have waited."""
        return max(0.0, now - self.at)


def arrival_of(stream: ByteStream, arrivals: ArrivalBound | None) -> CallArrival:
    """Return the arrival of a call that has just been read from a stream.

    :param arrivals: bounds how long it may have waited, if stalls are watched.
    """
    now = replica_clock()
    waited = arrivals.note_read(0, now) if arrivals else 0.0
    return CallArrival(at=now - waited, has_left=partial(has_left, stream))


def has_left(stream: ByteStream) -> bool:
    """Tell whether the other end of a connection has closed it.

    An end that closed only its sending side counts as gone. What it sent before that
    may still be unread.
    """
    sock = stream.extra(SocketAttribute.raw_socket, None)
    if sock is None:
        return False
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def idle_arrivals() -> ArrivalBound:
    """Return the bound of a server to which nothing has been sent yet."""
    now = replica_clock()
    arrivals = ArrivalBound(now=now)
    arrivals.note_drained(now)
    return arrivals


async def watch_arrivals(arrivals: ArrivalBound) -> None:
    """Take note of stalls of the loop until cancelled."""
    settled_at = replica_clock()
    while True:
        due = replica_clock() + CHECK_SECONDS
        await anyio.sleep(CHECK_SECONDS)
        now = replica_clock()
        if now - due >= STALL_SECONDS:
            settled_at = now + SETTLED_SECONDS
        if now >= settled_at:
            arrivals.note_drained(now)
        else:
            arrivals.note_timer(due, now)
