"""The datagram socket of callers' packets."""

from __future__ import annotations

import socket
import time
from contextlib import suppress

import anyio

from chervilstage.state.counters import Counters
from chervilstage.state.types import Address
from chervilstage.transport.datagrams import bound_address, open_datagram_socket
from chervilstage.transport.token_relay import TokenRelay
from testing.support.token_relays import FRONT, RelayDriver, make_record, opening_codec

# Callers give an opening packet up after this time.
ATTEMPT_SECONDS = 1.4


def test_an_opening_packet_that_waited_longer_than_its_caller_reaches_no_upstream() -> (
    None
):
    """Guards against a second answer to a caller whose flow is open elsewhere."""
    upstream = open_datagram_socket("127.0.0.1", 0)
    record = make_record(1)
    identity = record.identity._replace(address=bound_address(upstream))
    driver = RelayDriver(records=[record._replace(identity=identity)])
    relay = TokenRelay(
        address=Address(host="127.0.0.1", port=0),
        state=driver.state,
        codec=opening_codec(FRONT),
        counters=Counters(),
    )
    caller = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    caller.sendto(b"opening", bound_address(relay.sock))
    time.sleep(ATTEMPT_SECONDS + 0.2)
    received = []

    async def main() -> None:
        async with anyio.create_task_group() as group:
            await relay.start(group)
            await anyio.sleep(0.1)
            group.cancel_scope.cancel()

    anyio.run(main)
    with suppress(BlockingIOError):
        received.append(upstream.recv(100))
    for sock in (caller, upstream, relay.sock):
        sock.close()
    assert received == []
