"""Reading of datagram sockets."""

from __future__ import annotations

import anyio
from testtools import TestCase
from testtools.matchers import Equals

from chervilstage.transport.datagrams import (
    bound_address,
    open_datagram_socket,
    receive_datagrams,
)


class ReceiveTests(TestCase):
    """Guards against a crash at a planned stop while datagrams still arrive."""

    def test_reading_ends_when_the_socket_is_closed(self) -> None:
        received: list[bytes] = []

        async def main() -> None:
            sock = open_datagram_socket("127.0.0.1", 0)
            address = bound_address(sock)

            def take(data: bytes, sender: tuple[str, int]) -> None:
                received.append(data)
                sock.close()

            with open_datagram_socket("127.0.0.1", 0) as other:
                for data in (b"first", b"second"):
                    other.sendto(data, tuple(address))
                with anyio.fail_after(5):
                    await receive_datagrams(sock, take)

        anyio.run(main)
        self.assertThat(received, Equals([b"first"]))
