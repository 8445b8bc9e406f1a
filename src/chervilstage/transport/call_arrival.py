"""When a call arrived, and whether its caller is still connected."""

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

STALL_CHECK_SECONDS = 0.2
# How long after a stall the loop takes to read all sockets that became readable.
CATCH_UP_SECONDS = 0.5


class CallArrival(NamedTuple):
    """The earliest arrival time of a call, and a check for a disconnected caller.

    The time is in seconds of the replica clock. The default is for a call that this
    process makes itself, which has not waited.
    """

    arrived_at: float = inf
    has_disconnected: Callable[[], bool] = lambda: False

    def max_wait_seconds(self, now: float) -> float:
        """Return the longest time that the call may have waited, in seconds."""
        return max(0.0, now - self.arrived_at)


def estimate_arrival(stream: ByteStream, arrivals: ArrivalBound | None) -> CallArrival:
    """Return the arrival of a call that has just been read from a stream.

    :param arrivals: bounds how long it may have waited, if stalls are tracked.
    """
    now = replica_clock()
    waited = arrivals.record_read(0, now) if arrivals else 0.0
    return CallArrival(
        arrived_at=now - waited, has_disconnected=partial(is_closed_by_peer, stream)
    )


def is_closed_by_peer(stream: ByteStream) -> bool:
    """Return whether the other end of a connection has closed it.

    An end that closed only its sending side counts as closed. Data that it sent before
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


def make_idle_bound() -> ArrivalBound:
    """Return the arrival bound of a server that no data has been sent to yet."""
    now = replica_clock()
    arrivals = ArrivalBound(now=now)
    arrivals.record_drained(now)
    return arrivals


async def track_stalls(arrivals: ArrivalBound) -> None:
    """Record stalls of the event loop until cancelled.

    Unless a stall was recent, all data that has arrived counts as read.
    """
    caught_up_at = replica_clock()
    while True:
        due = replica_clock() + STALL_CHECK_SECONDS
        await anyio.sleep(STALL_CHECK_SECONDS)
        now = replica_clock()
        if now - due >= STALL_SECONDS:
            caught_up_at = now + CATCH_UP_SECONDS
        if now >= caught_up_at:
            arrivals.record_drained(now)
        else:
            arrivals.record_timer(due, now)
